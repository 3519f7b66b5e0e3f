#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "placement/planner.hpp"

namespace tarragonquay::placement
{

/// A plan that is being made: a copy of the view that each decision updates,
/// so that later decisions see the earlier ones.
class plan_draft
{
public:
    plan_draft(const cluster_view& view, const planner_limits& limits);

    /// Gives a replica to each model that has none. With `make_room`, others
    /// are unloaded where that is needed and allowed.
    void load_missing_models(bool make_room);
    /// Loads adapters that are asked for at replicas that lack them.
    void load_adapters();
    /// Adds replicas where the gain per byte is worth the move.
    void add_replicas();

    std::vector<move> take_moves() { return std::move(moves_); }

private:
    struct counts
    {
        int ready = 0;
        int coming = 0;
        int going = 0;
    };
    // Replicas of one engine that make room when they are unloaded.
    struct room
    {
        std::size_t engine = 0;
        std::vector<model_id> victims;
        // Sum of the victims' utilisation; lower is better.
        double loss = 0;
        bool swap = false;
    };

    counts count(const model_id& model) const;
    const model_view& find(const model_id& model) const;
    bool may_load() const;
    std::optional<std::size_t> engine_with_room(const model_view& model) const;
    bool load(const model_view& model);
    void unload(const room& where);
    std::optional<room> cheapest_room(
        const model_view& model, bool allow_swap) const;
    std::optional<room> room_at(
        std::size_t engine, const model_view& model, bool allow_swap) const;
    // Loss of tokens per second when a replica goes; none when it must stay.
    std::optional<double> loss_without(const replica_view& replica,
        const model_view& wanted, bool allow_swap) const;
    double gain_of_replica(const model_view& model) const;
    double served(const model_view& model, int replicas) const;
    std::vector<const model_view*> missing() const;

    cluster_view view_;
    const planner_limits& limits_;
    std::map<model_id, std::size_t> index_;
    std::vector<move> moves_;
};

} // namespace tarragonquay::placement
