#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "placement/ledger.hpp"
#include "placement/planner.hpp"
#include "routing/demand.hpp"

namespace tarragonquay::placement
{

/// Input of `build_view` besides the ledger.
struct view_inputs
{
    std::set<endpoint_id> listed;
    std::set<endpoint_id> unusable;
    std::vector<catalog::model> models;
    std::vector<catalog::adapter> adapters;
    std::vector<routing::demand_entry> demand;
    /// Time of the last load or unload of a replica of the model.
    std::map<model_id, time_point> last_moved_at;
    /// Ids of commands that are expected to take effect. The memory of other
    /// open commands stays accounted, but the planner does not wait for them: a
    /// command lost on its way to an engine without fencing stays open until
    /// the engine restarts.
    std::set<std::string> awaited;
    time_point now;
};

/// Builds the planner's input; the caller sets `loads_allowed`.
cluster_view build_view(const ledger& accounts, const view_inputs& inputs);

} // namespace tarragonquay::placement
