#include "limits/fleet_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

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
/// Requests up to this part of the burst may use a reserve that the others
/// leave alone. They take little of the limit, and would otherwise be refused
/// as often as requests that cost fifty times as much.
constexpr double small_request = 0.01;
constexpr double small_reserve = 0.2;
/// An instance that restarts is back sooner.
constexpr std::chrono::seconds lost_peer_memory{10};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fleet_limiter::apply(
    const std::vector<routes::workspace>& workspaces, time_point now)
{
    std::map<workspace_id, account> next;
    for (const auto& each : workspaces)
    {
        // A new account starts empty: what the others have admitted lately is
        // not known here. It fills within the time of a burst.
        account made;
        made.refilled_at = now;
        if (const auto old = accounts_.find(each.id); old != accounts_.end())
        {
            refill(old->second, now);
            made = old->second;
        }
        made.rate = each.rate_per_second;
        made.burst = each.burst;
        refill(made, now);
        next.emplace(each.id, std::move(made));
    }
    accounts_ = std::move(next);
}

double fleet_limiter::decayed_demand(const account& of, time_point now)
{
    return of.demand *
           std::exp(-seconds(now - of.demand_at) / demand_average_s);
}

double fleet_limiter::demand_of_all(const account& of, time_point now) const
{
    auto all = decayed_demand(of, now);
    for (const auto& [peer, told] : of.peers)
        all += told.units_per_second;
    return all;
}

double fleet_limiter::part_of(const account& of, time_point now) const
{
    const auto count = static_cast<double>(other_instances() + 1);
    const auto all = demand_of_all(of, now);
    const auto by_demand = all > 0 ? decayed_demand(of, now) / all : 1 / count;
    return even_part / count + (1 - even_part) * by_demand;
}

std::int64_t fleet_limiter::other_instances() const
{
    std::int64_t out = 0;
    for (const auto& [id, each] : peers_)
        out += each.instances;
    return out;
}

bool fleet_limiter::cut_off() const
{
    std::int64_t lost = 0;
    for (const auto& [id, each] : peers_)
        lost += each.lost_at ? each.instances : 0;
    return 2 * lost > other_instances();
}

void fleet_limiter::refill(account& of, time_point now) const
{
    const auto elapsed = seconds(now - of.refilled_at);
    of.refilled_at = now;
    const auto rate = static_cast<double>(of.rate);
    const auto burst = static_cast<double>(of.burst);
    const auto part = part_of(of, now);
    of.whole = std::min(of.whole + elapsed * rate, burst);
    // While the common account decides, the part may not fall behind so far
    // that it refuses long after it begins to decide.
    of.part = std::clamp(
        of.part + elapsed * part * rate, -part * burst, part * burst);
}

void fleet_limiter::take(account& from, double units)
{
    from.whole -= units;
    from.part -= units;
    from.admitted += units;
}

result<void> fleet_limiter::admit(const workspace_id& workspace,
    std::int64_t units, time_point now, time_point& retry_at)
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end())
        return {};
    auto& at = found->second;
    const auto wanted = static_cast<double>(units);
    at.demand = decayed_demand(at, now) + wanted / demand_average_s;
    at.demand_at = now;
    if (at.rate <= 0)
        return {};
    forget_lost_peers(now);
    refill(at, now);
    const bool shared = !cut_off();
    const auto level = shared ? at.whole : at.part;
    const auto burst =
        (shared ? 1.0 : part_of(at, now)) * static_cast<double>(at.burst);
    const bool small = wanted <= small_request * burst;
    if (level > (small ? -small_reserve * burst : 0))
    {
        take(at, wanted);
        return {};
    }
    const auto rate = std::max(
        (shared ? 1.0 : part_of(at, now)) * static_cast<double>(at.rate), 1e-3);
    constexpr double longest_wait_s = 60.0;
    retry_at = now + std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(
                             std::min(longest_wait_s, -level / rate)));
    return fail(error_code::rate_limited,
        fmt::format("workspace {} has used its limit", workspace.str()));
}

limit_state fleet_limiter::state(
    const workspace_id& workspace, time_point now) const
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end())
        return {};
    const auto& of = found->second;
    const bool shared = !cut_off();
    return {of.rate, of.burst, shared ? of.whole : of.part,
        demand_of_all(of, now), shared ? 1.0 : part_of(of, now)};
}

void fleet_limiter::refund(
    const workspace_id& workspace, std::int64_t units, time_point now)
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end())
        return;
    take(found->second, -static_cast<double>(units));
    refill(found->second, now);
}

std::int64_t fleet_limiter::cost(
    const routes::workspace& workspace, std::optional<std::int64_t> tokens)
{
    if (!workspace.limit_in_tokens)
        return 1;
    return tokens.value_or(workspace.default_request_tokens);
}

void fleet_limiter::put_peer_demands(const instance_id& from,
    std::int64_t incarnation, const std::vector<workspace_demand>& demands,
    time_point now, std::int64_t instances)
{
    auto& sender = peers_[from];
    const bool same_process = sender.incarnation == incarnation;
    sender = {incarnation, instances, std::nullopt};
    for (auto& [workspace, each] : accounts_)
        if (const auto told = each.peers.find(from); told != each.peers.end())
            told->second.units_per_second = 0;
    for (const auto& each : demands)
    {
        const auto found = accounts_.find(each.workspace);
        if (found == accounts_.end())
            continue;
        auto& at = found->second;
        const auto known = at.peers.find(from);
        // The first count says nothing about when it was admitted.
        if (known != at.peers.end() && same_process)
        {
            refill(at, now);
            at.whole -= std::max(
                0.0, each.admitted_units - known->second.admitted_units);
        }
        at.peers[from] = {
            std::max(0.0, each.units_per_second), each.admitted_units};
    }
}

void fleet_limiter::erase_peer(const instance_id& peer)
{
    peers_.erase(peer);
    for (auto& [workspace, each] : accounts_)
        each.peers.erase(peer);
}

void fleet_limiter::mark_peer_lost(const instance_id& from, time_point now)
{
    if (const auto found = peers_.find(from); found != peers_.end())
        found->second.lost_at = now;
}

void fleet_limiter::forget_lost_peers(time_point now)
{
    if (cut_off())
        return;
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        const auto& lost_at = it->second.lost_at;
        if (!lost_at || now - *lost_at < lost_peer_memory)
        {
            ++it;
            continue;
        }
        const auto gone = it->first;
        ++it;
        erase_peer(gone);
    }
}

std::vector<workspace_demand> fleet_limiter::own_demands(time_point now) const
{
    std::vector<workspace_demand> out;
    for (const auto& [workspace, each] : accounts_)
        if (each.admitted != 0 || each.demand > 0)
            out.push_back(
                {workspace, decayed_demand(each, now), each.admitted});
    return out;
}

} // namespace tarragonquay::limits
