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
    /// Serves now and may be counted as the last replica.
    bool ready = false;
    /// Is loading, or a load command is open.
    bool loading = false;
    /// An unload command is open.
    bool unloading = false;
    /// Resident in the configured version, or in one that the engine does not
    /// tell.
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
    /// Not usable now, but not leaving either; its replicas may serve again.
    bool may_return = false;
    bool accepts_command = false;
    /// Gets no further command before the open one has ended.
    bool one_command_at_a_time = false;
    /// Accepts no command before its next restart, since a command to it was
    /// lost.
    bool blocked = false;
    /// Requests that run or wait there, as last reported.
    std::int64_t requests = 0;
    /// Models whose weights have a copy beside the engine. Their loads take
    /// nothing from the weight store, so its limits don't hold for them.
    std::set<model_id> local_models;
    std::vector<replica_view> replicas;
    /// Adapters whose load command is open.
    std::set<adapter_id> adapters_loading;
    /// Adapters whose unload command is open.
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
    /// Age of the longest wait; 0 when nothing waits.
    double waiting_s = 0;
    /// Time since the last load or unload of a replica of this model.
    double unchanged_s = 0;
    std::vector<adapter_demand> adapters;

    auto operator<=>(const model_view&) const = default;
};

/// Everything that a plan depends on.
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
    /// Adapters that an engine may hold; 0 when only its memory limits them.
    std::int64_t adapters_per_engine = 0;
    /// An adapter without waiting requests and with a lower demand may be
    /// unloaded. The average over 15 s falls below it about 90 s after a
    /// request of 500 tokens.
    double adapter_idle_below = 0.1;
    /// Tokens that one replica serves in a second within the latency target.
    double replica_tokens_per_second = 2000;
    /// A replica is added above this utilisation of the model's replicas.
    double add_above = 0.7;
    /// A replica may be given up when the rest stays below this utilisation.
    /// The gap to `add_above` is the hysteresis.
    double remove_below = 0.4;
    /// Gain in tokens per second served in time that a moved gigabyte must
    /// bring; the cost of the move.
    double min_gain_per_gigabyte = 5;
    /// Replicas of one model that may be on their way at once. With one, each
    /// shows what it brings before the next one is loaded.
    std::int64_t max_loading_replicas = 1;
    /// Replicas younger than this are not taken away from a model.
    double min_residence_s = 4;
    /// Added to the residence for each gigabyte, since a larger model takes
    /// longer to load.
    double residence_s_per_gigabyte = 0.2;
    /// A model that may have a replica on an engine that is suspected, or that
    /// has not reported since the lease was taken, takes the place of another
    /// model only after a wait of this length. Most suspicions end within 3 s.
    double return_timeout_s = 5;
    // The rest applies when not all models fit at once. The values were chosen
    // on 17 models and 6 accelerators; see docs/measurements.md.
    /// Part of the memory, in whole engines, in which models take turns.
    double rotating_fraction = 0.17;
    /// A model keeps enough replicas to stay below this utilisation, and gives
    /// one up when the rest stays below the second figure.
    double keep_above = 0.85;
    double keep_below = 0.6;
    /// Weight of a model that is kept already over one that is not.
    double keep_preference = 1.5;
};

/// Decides which commands to give next, from the view alone.
template <class Planner>
concept placement_planner = requires(const Planner& planner,
    const cluster_view& view, const planner_limits& limits)
{
    {
        planner.plan(view, limits)
        } -> std::same_as<std::vector<move>>;
};

/// One replica for each model first, then the replica with the highest gain
/// per byte. A load that needs memory is planned only once the memory is
/// free. Takes the last replica of a model only for another model that waits,
/// and only when all models do not fit at once (`move::swap`). In that case,
/// the models with the highest demand per byte are kept on a part of the
/// engines, and the others take turns on the rest. A new version of a model is
/// loaded on another engine before the old one is unloaded. An old version of
/// an adapter is unloaded on one engine at a time, and the new one is loaded
/// there; an only copy goes once nobody uses it. Adapters that
/// nobody asks for are unloaded where their memory or slots are needed.
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

/// Baseline: gives each model one replica while there is memory and never
/// moves it afterwards.
class static_planner
{
public:
    std::vector<move> plan(
        const cluster_view& view, const planner_limits& limits) const;
};

static_assert(placement_planner<demand_planner>);
static_assert(placement_planner<static_planner>);

} // namespace tarragonquay::placement
