#include "gateway/fleet_reports.hpp"

#include <algorithm>

namespace tarragonquay::gateway
{

void fleet_reports::put_member(
    const instance_id& from, fleet_report report, time_point now)
{
    put(from, true, std::move(report), now);
}

void fleet_reports::put_group(
    const instance_id& relay, fleet_report report, time_point now)
{
    put(relay, false, std::move(report), now);
}

void fleet_reports::put(const instance_id& from, bool is_member,
    fleet_report report, time_point now)
{
    auto& at = sources_[from];
    // The first counter of a source, or the first after a timeout, does not
    // show when its units were admitted, so it only sets the base.
    const bool continues = at.alive && at.is_member == is_member &&
                           at.report.incarnation == report.incarnation;
    if (continues)
        credit(at, report);
    at.is_member = is_member;
    at.alive = true;
    at.report = std::move(report);
    at.reported_at = now;
}

void fleet_reports::credit(source& to, const fleet_report& report)
{
    for (const auto& each : report.demands)
    {
        const auto before =
            std::find_if(to.report.demands.begin(), to.report.demands.end(),
                [&](const limits::workspace_demand& earlier)
                { return earlier.workspace == each.workspace; });
        if (before != to.report.demands.end())
            to.credited[each.workspace] +=
                std::max(0.0, each.admitted_units - before->admitted_units);
    }
}

void fleet_reports::expire(time_point now)
{
    for (auto& [id, each] : sources_)
        if (each.alive && now - each.reported_at >= lifetime)
        {
            each.alive = false;
            each.report = {};
        }
}

std::vector<instance_id> fleet_reports::members() const
{
    std::vector<instance_id> out;
    for (const auto& [id, each] : sources_)
        if (each.alive && each.is_member)
            out.push_back(id);
    return out;
}

std::vector<instance_id> fleet_reports::groups() const
{
    std::vector<instance_id> out;
    for (const auto& [id, each] : sources_)
        if (each.alive && !each.is_member)
            out.push_back(id);
    return out;
}

template <class Predicate>
fleet_report fleet_reports::sum(const Predicate& is_included) const
{
    std::map<workspace_id, limits::workspace_demand> demands;
    std::map<endpoint_id, dispatch::endpoint_load> loads;
    std::map<demanded_model, double> models;
    fleet_report out;
    out.instances = 0;
    for (const auto& [id, each] : sources_)
    {
        if (!is_included(id, each))
            continue;
        for (const auto& [workspace, units] : each.credited)
            demands[workspace].admitted_units += units;
        if (!each.alive)
            continue;
        out.instances += each.report.instances;
        for (const auto& demand : each.report.demands)
            demands[demand.workspace].units_per_second +=
                demand.units_per_second;
        for (const auto& [endpoint, load] : each.report.loads)
        {
            auto& at = loads[endpoint];
            at.waiting_tokens += load.waiting_tokens;
            at.requests += load.requests;
        }
        for (const auto& [key, rate] : each.report.models)
            models[key] += rate;
    }
    for (auto& [workspace, demand] : demands)
    {
        demand.workspace = workspace;
        out.demands.push_back(demand);
    }
    out.loads.assign(loads.begin(), loads.end());
    out.models.assign(models.begin(), models.end());
    return out;
}

fleet_report fleet_reports::sums_excluding(const instance_id& receiver) const
{
    auto out = sum([&](const instance_id& id, const source& entry)
        { return id != receiver || !entry.is_member; });
    out.models.clear();
    return out;
}

fleet_report fleet_reports::group_sums() const
{
    return sum([](const instance_id&, const source& entry)
        { return entry.is_member; });
}

} // namespace tarragonquay::gateway
