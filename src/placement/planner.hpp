#pragma once

#include <concepts>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "placement/types.hpp"

namespace tarragonquay::placement
{

/// A resident version of an adapter that is not the configured one.
struct outdated_adapter
{
    adapter_id id;
    std::string version;
    std::int64_t bytes = 0;

    auto operator<=>(const outdated_adapter&) const = default;
};

/// One version of a model on one engine, as the planner sees it.
struct replica_view
{
    model_id model;
    std::string version;
    std::int64_t bytes = 0;
    /// Serves requests and may be the model's only replica.
    bool ready = false;
    /// Is being loaded, or a load command is open.
    bool loading = false;
    /// An unload command is open.
    bool unloading = false;
    /// Resident in the configured version, or in a version that the engine does
    /// not report.
    std::set<adapter_id> adapters;
    std::set<outdated_adapter> outdated_adapters;

    auto operator<=>(const replica_view&) const = default;
};

struct engine_view
{
    endpoint_id id;
    std::int64_t free_bytes = 0;
    /// Neither leaving nor suspected, and its state is known.
    bool usable = false;
    /// Not usable now but not leaving, so its replicas may serve again.
    bool may_return = false;
    bool accepts_command = false;
    /// Gets no further command while one is open.
    bool one_command_at_a_time = false;
    /// Accepts no command until it restarts, because a command to it was lost.
    bool blocked = false;
    /// Running and waiting requests, as last reported.
    std::int64_t requests = 0;
    /// Models with a local copy of their weights. Loading them does not read
    /// from the weight store, so its limits don't apply.
    std::set<model_id> local_models;
    std::vector<replica_view> replicas;
    /// Adapters with an open load command.
    std::set<adapter_id> adapters_loading;
    /// Adapters with an open unload command.
    std::set<adapter_id> adapters_unloading;

    auto operator<=>(const engine_view&) const = default;
};

struct adapter_demand
{
    adapter_id id;
    std::string version;
    std::int64_t bytes = 0;
    double tokens_per_second = 0;
    std::int64_t waiting = 0;

    auto operator<=>(const adapter_demand&) const = default;
};

struct model_view
{
    model_id id;
    std::string version;
    std::int64_t bytes = 0;
    double tokens_per_second = 0;
    std::int64_t waiting = 0;
    /// Longest wait of a request, in seconds; 0 when none waits.
    double waiting_s = 0;
    /// Seconds since the last load or unload of a replica of this model.
    double unchanged_s = 0;
    std::vector<adapter_demand> adapters;

    auto operator<=>(const model_view&) const = default;
};

/// Input of the planner.
struct cluster_view
{
    std::vector<engine_view> engines;
    std::vector<model_view> models;
    std::int64_t loads_open = 0;
    std::int64_t unloads_open = 0;
    std::int64_t adapter_loads_open = 0;
    /// Loads from the weight store that the rate limit allows to start now.
    std::int64_t loads_allowed = 0;

    auto operator<=>(const cluster_view&) const = default;
};

struct planner_limits
{
    double loads_per_second = 1.0;
    std::int64_t concurrent_loads = 2;
    std::int64_t adapters_in_flight = 15;
    /// Adapters that an engine may hold; 0 means no limit but its memory.
    std::int64_t adapters_per_engine = 0;
    /// An adapter without waiting requests and with a demand below this (in
    /// tokens per second) may be unloaded. The 15 s average falls below the
    /// default about 90 s after a request of 500 tokens.
    double adapter_idle_below = 0.1;
    /// Tokens per second that one replica serves within the latency target.
    double replica_tokens_per_second = 2000;
    /// Utilisation of a model's replicas above which a replica is added.
    double add_above = 0.7;
    /// A replica may be removed when the remaining ones stay below this
    /// utilisation. The gap to `add_above` provides hysteresis.
    double remove_below = 0.4;
    /// Minimum gain in tokens per second served within the latency target that
    /// justifies loading one gigabyte.
    double min_gain_per_gigabyte = 5;
    /// Replicas of one model that may load at once. With 1, the effect of each
    /// replica is known before the next one is loaded.
    std::int64_t max_loading_replicas = 1;
    /// Replicas of one model that may load at once for each replica that its
    /// demand would keep fully busy, if that is more than
    /// `max_loading_replicas`.
    double loading_replicas_by_demand = 0;
    /// Loads a missing model without demand only after the replicas that busy
    /// models need. The weight store's rate is then spent on demand first.
    bool idle_models_last = false;
    /// Adds replicas to the models with the highest demand per replica first,
    /// and unloads replicas of less busy models for them. Without it, the
    /// models with the highest gain per byte come first; all models that are
    /// asked for much more than their replicas serve have the same gain.
    bool busiest_models_first = false;
    /// With `busiest_models_first`, a replica is unloaded for a busier model
    /// when the demand per remaining replica is at most this fraction of the
    /// busier model's. The gap keeps replicas from moving back and forth.
    double eviction_hysteresis = 0.5;
    /// With `busiest_models_first`, the last replica of a model with less
    /// demand (in tokens per second) may be unloaded for an overloaded model.
    double idle_below = 0;
    /// Replicas of a model are not unloaded within this time after its last
    /// load or unload.
    double min_residence_s = 4;
    /// Added to the minimum residence for each gigabyte, since larger models
    /// take longer to load.
    double residence_s_per_gigabyte = 0.2;
    /// A model that may have a replica on an engine that is suspected, or that
    /// has not reported since the lease was taken, replaces another model only
    /// after it has waited for this time. Most suspicions end within 3 s.
    double return_timeout_s = 5;
    // The rest applies when not all models fit at once. The values were chosen
    // on 17 models and 6 accelerators; see docs/measurements.md.
    /// Fraction of the memory, in whole engines, that models use in turn
    /// ("rotating" engines).
    double rotating_fraction = 0.17;
    /// A kept model has enough replicas to stay below `keep_above`, and loses
    /// one when the remaining ones stay below `keep_below`.
    double keep_above = 0.85;
    double keep_below = 0.6;
    /// Weight of the demand of a model that is already kept, relative to one
    /// that is not.
    double keep_preference = 1.5;
};

/// Decides which commands to send next, based on the view alone.
template <class Planner>
concept placement_planner = requires(const Planner& planner,
    const cluster_view& view, const planner_limits& limits)
{
    {
        planner.plan(view, limits)
        } -> std::same_as<std::vector<move>>;
};

/// Plans the next moves:
/// - Each model gets one replica first; then the replicas with the highest gain
///   per byte are added. A load is planned only once its memory is free.
/// - The last replica of a model is unloaded only for another model that has
///   waiting requests, and only when not all models fit at once
///   (`move::swap`). In that case, the models with the highest demand per byte
///   are kept on a part of the engines, and the others take turns on the rest.
/// - A new version of a model is loaded on another engine before the old one is
///   unloaded.
/// - An old version of an adapter is unloaded on one engine at a time, and the
///   new one is loaded there; an only copy is unloaded once it is not in use.
/// - Idle adapters are unloaded where their memory or slots are needed.
std::vector<move> plan(const cluster_view& view, const planner_limits& limits);

class demand_planner
{
public:
    std::vector<move> plan(
        const cluster_view& view, const planner_limits& limits) const
    {
        return placement::plan(view, limits);
    }
};

/// Baseline for comparisons: loads one replica of each model while there is
/// memory and never moves it afterwards.
class static_planner
{
public:
    std::vector<move> plan(
        const cluster_view& view, const planner_limits& limits) const;
};

static_assert(placement_planner<demand_planner>);
static_assert(placement_planner<static_planner>);

} // namespace tarragonquay::placement
