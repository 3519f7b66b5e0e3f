#include "limits/fleet_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <fmt/format.h>

namespace tarragonquay::limits
{

namespace
{

/// Time constant of the measured demand. Shorter ones let single requests move
/// the parts, longer ones are late when callers change their instance.
constexpr double demand_average_s = 2.0;
/// Part of each limit that is split evenly, for instances whose demand has
/// not been told yet.
constexpr double even_part = 0.2;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fleet_limiter::apply(
    const std::vector<routes::workspace>& workspaces, time_point now)
{
    std::map<workspace_id, bucket> next;
    for (const auto& each : workspaces)
    {
        const auto old = buckets_.find(each.id);
        bucket made;
        if (old != buckets_.end())
        {
            refill(old->second, now);
            made = old->second;
        }
        made.rate = each.rate_per_second;
        made.burst = each.burst;
        made.refilled_at = now;
        const auto capacity = part(made, now) * static_cast<double>(made.burst);
        made.level =
            old == buckets_.end() ? capacity : std::min(made.level, capacity);
        next.emplace(each.id, std::move(made));
    }
    buckets_ = std::move(next);
}

double fleet_limiter::decayed_demand(const bucket& of, time_point now)
{
    return of.demand *
           std::exp(-seconds(now - of.demand_at) / demand_average_s);
}

double fleet_limiter::part(const bucket& of, time_point now) const
{
    const auto count =
        static_cast<double>(std::max<std::int64_t>(1, instances_));
    const auto own = decayed_demand(of, now);
    auto all = own;
    for (const auto& [peer, demand] : of.peers)
        all += demand;
    const auto by_demand = all > 0 ? own / all : 1 / count;
    return even_part / count + (1 - even_part) * by_demand;
}

void fleet_limiter::refill(bucket& of, time_point now) const
{
    const auto elapsed = seconds(now - of.refilled_at);
    of.refilled_at = now;
    const auto share = part(of, now);
    of.level =
        std::min(of.level + elapsed * share * static_cast<double>(of.rate),
            share * static_cast<double>(of.burst));
}

result<void> fleet_limiter::admit(const workspace_id& workspace,
    std::int64_t units, time_point now, time_point& retry_at)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return {};
    auto& at = found->second;
    at.demand =
        decayed_demand(at, now) + static_cast<double>(units) / demand_average_s;
    at.demand_at = now;
    if (at.rate <= 0)
        return {};
    refill(at, now);
    const auto share = part(at, now);
    const auto needed = std::min(
        static_cast<double>(units), share * static_cast<double>(at.burst));
    if (at.level >= needed)
    {
        at.level -= static_cast<double>(units);
        return {};
    }
    const auto rate = std::max(share * static_cast<double>(at.rate), 1e-3);
    retry_at = now + std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(
                             std::min(60.0, (needed - at.level) / rate)));
    return fail(error_code::rate_limited,
        fmt::format("workspace {} has used its limit", workspace.str()));
}

void fleet_limiter::refund(
    const workspace_id& workspace, std::int64_t units, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return;
    found->second.level += static_cast<double>(units);
    refill(found->second, now);
}

std::int64_t fleet_limiter::cost(
    const routes::workspace& workspace, std::optional<std::int64_t> tokens)
{
    if (!workspace.limit_in_tokens)
        return 1;
    return tokens.value_or(workspace.tokens_of_plain_request);
}

void fleet_limiter::put_peer_demands(
    const instance_id& peer, const std::vector<workspace_demand>& demands)
{
    erase_peer(peer);
    for (const auto& each : demands)
        if (const auto found = buckets_.find(each.workspace);
            found != buckets_.end())
            found->second.peers[peer] = std::max(0.0, each.units_per_second);
}

void fleet_limiter::erase_peer(const instance_id& peer)
{
    for (auto& [workspace, each] : buckets_)
        each.peers.erase(peer);
}

std::vector<workspace_demand> fleet_limiter::own_demands(time_point now) const
{
    constexpr double least = 1e-3;
    std::vector<workspace_demand> out;
    for (const auto& [workspace, each] : buckets_)
        if (const auto demand = decayed_demand(each, now); demand > least)
            out.push_back({workspace, demand});
    return out;
}

} // namespace tarragonquay::limits
