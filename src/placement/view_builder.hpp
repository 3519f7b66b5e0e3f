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

/// What a view is made from besides the ledger.
struct view_inputs
{
    std::set<endpoint_id> listed;
    std::set<endpoint_id> unusable;
    std::vector<catalog::model> models;
    std::vector<catalog::adapter> adapters;
    std::vector<routing::demand_entry> demand;
    /// Last load or unload of a model.
    std::map<model_id, time_point> last_moved_at;
    /// Commands that may still be expected to take effect. The memory of the
    /// others stays accounted, but nobody waits for them: a command that was
    /// lost on its way to an engine without fencing never ends.
    std::set<std::string> awaited;
    time_point now;
};

/// The planner's view of the ledger; `loads_allowed` is left to the caller.
cluster_view build_view(const ledger& accounts, const view_inputs& inputs);

} // namespace tarragonquay::placement
