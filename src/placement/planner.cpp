#include "placement/planner.hpp"

#include "placement/plan_draft.hpp"

namespace tarragonquay::placement
{

std::vector<move> plan(const cluster_view& view, const planner_limits& limits)
{
    plan_draft draft(view, limits);
    draft.roll_out_versions();
    draft.keep_demanded_models();
    draft.load_missing_models(true);
    draft.load_adapters();
    draft.roll_out_adapters();
    draft.add_replicas();
    return draft.take_moves();
}

std::vector<move> static_planner::plan(
    const cluster_view& view, const planner_limits& limits) const
{
    plan_draft draft(view, limits);
    draft.load_missing_models(false);
    draft.load_adapters();
    return draft.take_moves();
}

} // namespace tarragonquay::placement
