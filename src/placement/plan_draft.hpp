#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
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

    /// Loads new versions beside the old ones and then unloads the old ones;
    /// a model keeps a ready replica throughout.
    void roll_out_versions();
    /// When not all models fit: chooses the models with the highest demand per
    /// byte and gives them the replicas that they need on a part of the
    /// engines. The others are left to take turns on the rest.
    void keep_demanded_models();
    /// Gives a replica to each model that has none. With `make_room`, others
    /// are unloaded where that is needed and allowed.
    void load_missing_models(bool make_room);
    /// Loads adapters that are asked for at replicas that lack them. Where the
    /// memory or the slots of an engine are used up, adapters that nobody asks
    /// for are unloaded first.
    void load_adapters();
    /// Replaces old versions of adapters on one engine of an adapter at a
    /// time. After `load_adapters`, so that engines that lack the adapter get
    /// the new version first.
    void roll_out_adapters();
    /// Adds replicas where the gain per byte is worth the move.
    void add_replicas();

    std::vector<move> take_moves() { return std::move(moves_); }

private:
    static constexpr std::size_t unknown_model = static_cast<std::size_t>(-1);

    // Replicas of one model, of all versions.
    struct counts
    {
        int ready = 0;
        int loading = 0;
        int unloading = 0;
        // On engines that may return.
        int may_return = 0;
        // Those of `ready` that are not of the configured version.
        int outdated = 0;
        // Ready or coming on the engines that do not rotate.
        int non_rotating = 0;
    };
    // An adapter at an engine, by its demand.
    struct idle_adapter
    {
        model_id model;
        adapter_demand demand;
    };
    // A replica with an old version of an adapter.
    struct outdated_copy
    {
        std::size_t engine = 0;
        outdated_adapter adapter;
    };
    // Where an adapter is and could be, on usable engines.
    struct adapter_copies
    {
        // A command for the adapter is open.
        bool in_progress = false;
        // Replicas with the configured version, or with one that is not told.
        int current = 0;
        std::vector<outdated_copy> outdated;
        // Old versions at replicas that have the configured one as well.
        std::vector<outdated_copy> surplus;
        // Engines that lack the adapter and have room for it.
        std::vector<std::size_t> engines_with_room;
    };
    // Replicas and adapters of one engine that make room when they are
    // unloaded.
    struct eviction
    {
        std::size_t engine = 0;
        // Indexes in the engine's replicas.
        std::vector<std::size_t> victims;
        std::vector<idle_adapter> adapters;
        // Sum of the victims' utilisation; lower is better.
        double loss = 0;
        bool swap = false;
    };

    // Memory of an engine; 0 when it is not known.
    static std::int64_t memory_of(const engine_view& engine);
    // Whether one replica of each model fits, and as many bytes more.
    bool all_fit(std::int64_t extra_bytes) const;
    // Returns the memory of the other usable engines.
    std::int64_t choose_rotating_engines();
    void choose_kept_models(std::int64_t memory);
    int replicas_to_keep(const model_view& model, int have) const;
    // Replicas on the engines that do not rotate.
    int non_rotating_replicas(const model_id& model) const;
    bool lacks_kept(const model_id& model) const;
    bool may_use(std::size_t engine) const;
    std::optional<double> removal_loss_when_scarce(const model_view& owner,
        const model_view& wanted, bool allow_swap) const;
    counts count(const model_id& model) const;
    void count_replicas();
    void count_non_rotating();
    void unload_outdated(const model_view& model);
    bool rollout_under_way() const;
    // Adapters that may be unloaded, the least asked for first.
    std::vector<idle_adapter> idle_adapters(const engine_view& engine) const;
    void unload_adapter(engine_view& engine, const idle_adapter& which);
    bool has_slot(const engine_view& engine) const;
    bool may_load_adapter(
        const engine_view& engine, const adapter_demand& wanted) const;
    void load_adapter(engine_view& engine, const model_id& model,
        const adapter_demand& wanted);
    bool is_idle(const adapter_demand& adapter) const;
    adapter_copies copies_of(
        const model_id& model, const adapter_demand& wanted) const;
    void roll_out_adapter(const model_id& model, const adapter_demand& wanted);
    void unload_outdated_adapter(
        const model_id& model, const std::vector<outdated_copy>& copies);
    void make_room_for_adapter(
        engine_view& engine, const adapter_demand& wanted);
    // Whether the model may take the last replica of another one.
    bool may_swap(const model_view& model) const;
    const model_view& find(const model_id& model) const;
    bool may_load() const;
    bool may_load(const model_view& model) const;
    std::optional<std::size_t> engine_with_room(const model_view& model) const;
    bool load(const model_view& model);
    void unload(const eviction& where);
    std::optional<eviction> cheapest_eviction(
        const model_view& model, bool allow_swap) const;
    std::optional<eviction> eviction_at(
        std::size_t engine, const model_view& model, bool allow_swap) const;
    // Loss of tokens per second when a replica goes; none when it must stay.
    std::optional<double> removal_loss(std::size_t engine, std::size_t replica,
        const model_view& wanted, bool allow_swap) const;
    std::size_t index_of(const model_id& model) const;
    std::size_t index_of(const model_view& model) const;
    double gain_of_replica(const model_view& model) const;
    double throughput(const model_view& model, int replicas) const;
    void compute_engine_loads();
    /// Tokens per second that each replica of the model serves.
    double replica_load(std::size_t model) const;
    /// Tokens per second of the other models at the engine.
    double load_of_others(std::size_t engine, std::size_t model) const;
    /// Tokens per second that a replica of the model at this engine may serve
    /// beside the others there.
    double capacity_at(std::size_t engine, std::size_t model) const;
    std::vector<const model_view*> missing_models() const;

    cluster_view view_;
    const planner_limits& limits_;
    std::map<model_id, std::size_t> index_;
    // By the index of the model.
    std::vector<counts> counts_;
    // By engine: index of each replica's model, or `unknown_model`. Looking
    // the names up for each pair of a waiting model and an engine takes most
    // of the time of a plan for 1,580 engines.
    std::vector<std::vector<std::size_t>> models_at_;
    // By engine: tokens per second of all models that it holds.
    std::vector<double> engine_loads_;
    // By the index of the model: capacity of its replicas.
    std::vector<double> capacities_;
    // By engine: memory of the adapters that may be unloaded.
    std::vector<std::int64_t> idle_adapter_bytes_;
    // Whether not all models fit at once.
    bool scarce_ = false;
    bool loading_kept_ = false;
    bool rolling_out_ = false;
    // Whether an engine that may return has not reported yet.
    bool engine_unknown_ = false;
    std::set<std::size_t> rotating_;
    std::map<model_id, int> kept_;
    std::vector<move> moves_;
};

} // namespace tarragonquay::placement
