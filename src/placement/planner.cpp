#include "placement/planner.hpp"

#include "placement/plan_draft.hpp"

namespace tarragonquay::placement
{

std::vector<move> plan(const cluster_view& view, const planner_limits& limits)
{
    plan_draft draft(view, limits);
    draft.roll_out_versions();
    draft.keep_demanded_models();
    using kind = plan_draft::missing_kind;
    draft.load_missing_models(
        true, limits.idle_models_last ? kind::waiting : kind::all);
    draft.load_adapters();
    draft.roll_out_adapters();
    draft.add_replicas();
    // A model without demand would take a place that a busy model waits for.
    if (limits.idle_models_last && !draft.overload_left())
        draft.load_missing_models(true, kind::all);
    return draft.take_moves();
}

std::vector<move> static_planner::plan(
    const cluster_view& view, const planner_limits& limits) const
{
    plan_draft draft(view, limits);
    draft.load_missing_models(false, plan_draft::missing_kind::all);
    draft.load_adapters();
    return draft.take_moves();
}

} // namespace tarragonquay::placement
