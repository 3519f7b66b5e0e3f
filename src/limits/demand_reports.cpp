#include "limits/demand_reports.hpp"

#include <algorithm>

#include "limits/token_bucket.hpp"

namespace tarragonquay::limits
{

namespace
{

// A member without a heartbeat for this long gets no shares of a stopping one.
// Heartbeats are sent every 500 ms.
constexpr duration max_heartbeat_age = std::chrono::seconds(2);

} // namespace

void demand_reports::record(const instance_id& from,
    const peer::Heartbeat& heartbeat,
    const std::function<bool(const workspace_id&)>& exists, time_point now)
{
    peers_[from] = {now, heartbeat.stopping()};
    for (const auto& demand : heartbeat.demands())
    {
        const workspace_id workspace(demand.workspace());
        if (exists(workspace))
            // These bounds prevent overflow of differences and products.
            demands_[workspace][from] = {
                std::clamp<std::int64_t>(
                    demand.requested_tokens(), 0, max_tokens),
                std::clamp<std::int64_t>(demand.level_tokens(), 0, max_tokens)};
    }
}

const demand_reports::peer_demand* demand_reports::find(
    const workspace_id& workspace, const instance_id& member) const
{
    const auto reports = demands_.find(workspace);
    if (reports == demands_.end())
        return nullptr;
    const auto found = reports->second.find(member);
    return found == reports->second.end() ? nullptr : &found->second;
}

std::int64_t demand_reports::level(
    const workspace_id& workspace, const instance_id& member) const
{
    const auto* report = find(workspace, member);
    return report == nullptr ? 0 : report->level_tokens;
}

std::optional<std::pair<instance_id, std::int64_t>>
demand_reports::take_largest_deficit(
    const workspace_id& workspace, std::int64_t min_tokens)
{
    const auto reports = demands_.find(workspace);
    if (reports == demands_.end())
        return std::nullopt;
    std::optional<std::pair<instance_id, std::int64_t>> largest;
    for (const auto& [member, report] : reports->second)
    {
        const auto deficit = report.requested_tokens - report.level_tokens;
        if (report.answered || deficit < min_tokens)
            continue;
        min_tokens = deficit;
        largest.emplace(member, deficit);
    }
    if (largest)
        reports->second.at(largest->first).answered = true;
    return largest;
}

std::map<instance_id, std::int64_t> demand_reports::successors(
    const workspace_id& workspace, const std::vector<instance_id>& others,
    time_point now) const
{
    std::map<instance_id, std::int64_t> serving;
    std::map<instance_id, std::int64_t> all;
    for (const auto& member : others)
    {
        // A member without demand gets a small weight, so that it can admit its
        // first requests.
        const auto* report = find(workspace, member);
        all[member] = 1;
        const auto status = peers_.find(member);
        if (status != peers_.end() && !status->second.stopping &&
            now - status->second.heard_at < max_heartbeat_age)
            serving[member] =
                1 + (report == nullptr ? 0 : report->requested_tokens);
    }
    return serving.empty() ? all : serving;
}

} // namespace tarragonquay::limits
