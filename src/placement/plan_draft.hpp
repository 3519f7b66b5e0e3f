#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "placement/planner.hpp"

namespace tarragonquay::placement
{

/// Builds a plan on a copy of the view. Each decision updates the copy, so that
/// later decisions take it into account.
class plan_draft
{
public:
    plan_draft(const cluster_view& view, const planner_limits& limits);

    /// Loads new versions alongside the old ones and then unloads the old ones,
    /// so that each model always has a ready replica.
    void roll_out_versions();
    /// When not all models fit, keeps those with the highest demand per byte
    /// loaded, with the replicas that they need, on a part of the engines. The
    /// other models take turns on the remaining (rotating) engines.
    void keep_demanded_models();
    /// Loads a replica of each model that has none. With `make_room`, other
    /// models are unloaded where necessary and allowed.
    /// Which of the models without a replica are loaded.
    enum class missing_kind
    {
        all,
        /// Those with waiting requests.
        waiting
    };
    void load_missing_models(bool make_room, missing_kind kind);
    /// Loads adapters with demand on engines whose replicas lack them. Where an
    /// engine is out of memory or slots, idle adapters are unloaded first.
    void load_adapters();
    /// Replaces old versions of each adapter on one engine at a time. Must be
    /// called after `load_adapters`, so that engines that lack the adapter get
    /// the new version first.
    void roll_out_adapters();
    /// Adds replicas where the gain justifies the cost of the load.
    void add_replicas();

    /// Whether `add_replicas` has left a busy model without a replica that it
    /// needs, with `planner_limits::busiest_models_first`.
    bool overload_left() const { return overload_left_; }

    std::vector<move> take_moves() { return std::move(moves_); }

private:
    static constexpr std::size_t unknown_model = static_cast<std::size_t>(-1);

    // Replica counts of one model, over all versions.
    struct counts
    {
        int ready = 0;
        int loading = 0;
        int unloading = 0;
        // Ready replicas on engines that may return.
        int may_return = 0;
        // Ready replicas whose version is not the configured one.
        int outdated = 0;
        // Ready or loading on engines that are not rotating.
        int non_rotating = 0;
    };
    // A resident adapter that may be unloaded.
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
    // Copies of an adapter on usable engines, and engines that could load it.
    struct adapter_copies
    {
        // A command for the adapter is open.
        bool in_progress = false;
        // Replicas with the configured version or with an unreported one.
        int current = 0;
        std::vector<outdated_copy> outdated;
        // Old versions on replicas that also have the configured one.
        std::vector<outdated_copy> surplus;
        // Engines that lack the adapter and have room for it.
        std::vector<std::size_t> engines_with_room;
    };
    // Replicas and adapters to unload from one engine to free memory.
    struct eviction
    {
        std::size_t engine = 0;
        // Indexes into the engine's replicas.
        std::vector<std::size_t> victims;
        std::vector<idle_adapter> adapters;
        // Tokens per second lost by unloading the victims, plus penalties for
        // last replicas; lower is better.
        double loss = 0;
        bool swap = false;
    };

    // Memory of an engine in bytes; 0 when it is not known.
    static std::int64_t memory_of(const engine_view& engine);
    // Whether one replica of each model and `extra_bytes` fit in memory.
    bool all_fit(std::int64_t extra_bytes) const;
    // Returns the memory of the other usable engines in bytes.
    std::int64_t choose_rotating_engines();
    void choose_kept_models(std::int64_t memory);
    int replicas_to_keep(const model_view& model, int have) const;
    int non_rotating_replicas(const model_id& model) const;
    bool lacks_kept(const model_id& model) const;
    bool may_use(std::size_t engine) const;
    std::optional<double> removal_loss_when_scarce(const model_view& owner,
        const model_view& wanted, bool allow_swap) const;
    counts count(const model_id& model) const;
    void count_replicas();
    void count_non_rotating();
    void unload_outdated(const model_view& model);
    bool rollout_in_progress() const;
    // Adapters that may be unloaded, sorted by increasing demand.
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
    // Whether the last replica of another model may be unloaded for this one.
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
    // Tokens per second that are lost when a replica is unloaded, plus a
    // penalty for a last replica; nullopt when it must not be unloaded.
    std::optional<double> removal_loss(std::size_t engine, std::size_t replica,
        const model_view& wanted, bool allow_swap) const;
    std::size_t index_of(const model_id& model) const;
    std::size_t index_of(const model_view& model) const;
    double gain_of_replica(const model_view& model) const;
    // Adds replicas to the models with the highest demand per replica first.
    void relieve_busiest_models();
    // Demand for the model, per replica that is ready or loading.
    double demand_per_replica(std::size_t model) const;
    // Demand per remaining replica of the model when one of its replicas is
    // unloaded for a busier model; nullopt when it must not be unloaded.
    std::optional<double> removal_loss_for_busier(
        std::size_t owner, const model_view& wanted) const;
    double throughput(const model_view& model, int replicas) const;
    void compute_engine_loads();
    /// Demand for the model per replica, in tokens per second.
    double replica_load(std::size_t model) const;
    /// Load of the other models on the engine, in tokens per second.
    double load_of_others(std::size_t engine, std::size_t model) const;
    /// Tokens per second that a replica of the model can serve on this engine
    /// in addition to the load of the other models there.
    double capacity_at(std::size_t engine, std::size_t model) const;
    std::vector<const model_view*> missing_models(missing_kind kind) const;

    cluster_view view_;
    const planner_limits& limits_;
    std::map<model_id, std::size_t> index_;
    // By model index.
    std::vector<counts> counts_;
    // By engine: index of each replica's model, or `unknown_model`. Cached,
    // because looking up names for each pair of a waiting model and an engine
    // took most of the planning time with 1,580 engines.
    std::vector<std::vector<std::size_t>> models_at_;
    // By engine: load of all its replicas, in tokens per second.
    std::vector<double> engine_loads_;
    // By model index: capacity of its replicas, in tokens per second.
    std::vector<double> capacities_;
    // By engine: bytes of the adapters that may be unloaded.
    std::vector<std::int64_t> idle_adapter_bytes_;
    // Whether not all models fit at once.
    bool scarce_ = false;
    bool loading_kept_ = false;
    bool rolling_out_ = false;
    // Whether a busy model did not get a further replica that it needs.
    bool overload_left_ = false;
    // Whether an engine that may return has not reported yet.
    bool engine_unknown_ = false;
    std::set<std::size_t> rotating_;
    std::map<model_id, int> kept_;
    std::vector<move> moves_;
};

} // namespace tarragonquay::placement
