#pragma once

#include <set>
#include <vector>

#include "common/ids.hpp"
#include "placement/planner.hpp"

namespace tarragonquay::gateway
{

/// Part of its usual requests that an engine with a limit is assumed to serve.
inline constexpr double limited_capacity = 0.4;

/// By how much the demand for a model counts as larger than measured, since
/// some of the engines that hold it have named a limit: the planner then adds
/// replicas at other engines, and still counts those at limited ones.
inline double demand_factor(const model_id& model,
    const std::vector<placement::engine_view>& engines,
    const std::set<endpoint_id>& limited)
{
    double replicas = 0;
    double capacity = 0;
    for (const auto& engine : engines)
        for (const auto& each : engine.replicas)
            if (each.model == model && each.ready && engine.usable)
            {
                replicas += 1;
                capacity += limited.contains(engine.id) ? limited_capacity : 1;
            }
    return replicas > 0 ? replicas / capacity : 1;
}

} // namespace tarragonquay::gateway
