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

/// Time constant of the demand average. With shorter ones, single requests
/// shift the fractions; longer ones react late when callers change their
/// instance.
constexpr double demand_time_constant_s = 2.0;
/// Fraction of each limit that a partitioned fleet splits evenly, for instances
/// whose demand has not been reported. While reports arrive, it would be unused
/// at instances without demand.
constexpr double even_split_fraction = 0.2;
/// Requests that cost at most this fraction of the burst may use a reserve that
/// others may not. They take little of the limit, and would otherwise be
/// refused as often as requests that cost fifty times as much.
constexpr double small_request_burst_fraction = 0.01;
/// They also cost at most this fraction of the largest recent request: if all
/// requests are small, the reserve would only add to the burst.
constexpr double small_request_cost_fraction = 0.25;
/// Size of that reserve, as a fraction of the burst. It adds to what a spike
/// exceeds.
constexpr double small_request_reserve_fraction = 0.1;
/// Fraction of each limit that a connected fleet splits evenly, so that an
/// instance whose demand is not known to the others yet may admit something.
constexpr double connected_even_fraction = 0.05;
/// The window in which a limit is checked. A tenth of it may be exceeded; that
/// is left for requests that exceed the rest of a share.
constexpr std::int64_t window_slots = 8'000 / recent_units::slot_time.count();
/// Reports are up to 0.75 s old in a fleet with relays, and the next ones come
/// 0.25 s later.
constexpr std::int64_t unreported_slots =
    1'000 / recent_units::slot_time.count();
/// Number of requests in the window at which half of the share of an instance
/// follows its demand; the rest is split evenly.
constexpr double even_requests = 10;
/// Standard deviations of the units of random arrivals that an instance may
/// admit above the expected ones. In the model of 65 instances at 0.9 of the
/// rate, fewer than 1 in 1,000 requests are refused; with 4.75, a jump to five
/// times the rate exceeds the bound in a fleet of 295.
constexpr double random_arrivals_margin = 4.5;
/// Admitted units of one second, relative to the rate, that are a spike.
constexpr double spike_rate_factor = 1.8;
/// Demand, relative to the rate, that is a spike. Requests that arrive at
/// random at 0.9 of the rate rarely reach it; with 1.25, a spike to six times
/// the rate exceeds the bound in a fleet of 295.
constexpr double spike_demand_factor = 1.15;
/// Number of smaller requests after which a large one no longer counts.
constexpr double largest_cost_requests = 20;
/// How long the demand of a lost peer counts; a restart takes less time.
constexpr std::chrono::seconds lost_peer_retention{10};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double slots_s(std::int64_t slots)
{
    return seconds(recent_units::slot_time * slots);
}

} // namespace

void fleet_limiter::apply(
    const std::vector<routes::workspace>& workspaces, time_point now)
{
    std::map<workspace_id, bucket> next;
    for (const auto& each : workspaces)
    {
        // A new bucket starts empty, because it is unknown what the others have
        // admitted recently. It is full after burst / rate.
        bucket updated;
        updated.refilled_at = now;
        if (const auto old = buckets_.find(each.id); old != buckets_.end())
        {
            refill(old->second, now);
            updated = old->second;
        }
        updated.rate = each.rate_per_second;
        updated.burst = each.burst;
        refill(updated, now);
        next.emplace(each.id, std::move(updated));
    }
    buckets_ = std::move(next);
}

double fleet_limiter::decayed_demand(const bucket& limit, time_point now)
{
    return limit.demand *
           std::exp(-seconds(now - limit.demand_at) / demand_time_constant_s);
}

double fleet_limiter::demand_of_all(const bucket& limit, time_point now) const
{
    auto all = decayed_demand(limit, now);
    for (const auto& [peer, reported] : limit.peers)
        all += reported.units_per_second;
    return all;
}

double fleet_limiter::local_fraction(const bucket& limit, time_point now) const
{
    const auto count = static_cast<double>(other_instances() + 1);
    const auto all = demand_of_all(limit, now);
    // Own demand of the time of the reports: after a spike, the sum of all
    // fractions would exceed the limit until the next reports.
    const auto others = all - decayed_demand(limit, now);
    const auto own = limit.own_requested.average(
        unreported_slots - 1, demand_time_constant_s, now);
    const auto by_demand = own + others > 0 ? own / (own + others) : 1 / count;
    const auto even =
        partitioned() ? even_split_fraction : connected_even_fraction;
    return even / count + (1 - even) * by_demand;
}

std::int64_t fleet_limiter::other_instances() const
{
    std::int64_t out = 0;
    for (const auto& [id, each] : peers_)
        out += each.instances;
    return out;
}

bool fleet_limiter::partitioned() const
{
    std::int64_t lost = 0;
    for (const auto& [id, each] : peers_)
        lost += each.lost_at ? each.instances : 0;
    return 2 * lost > other_instances();
}

void fleet_limiter::refill(bucket& limit, time_point now) const
{
    const auto elapsed = seconds(now - limit.refilled_at);
    limit.refilled_at = now;
    const auto rate = static_cast<double>(limit.rate);
    const auto burst = static_cast<double>(limit.burst);
    const auto fraction = local_fraction(limit, now);
    limit.global_level = std::min(limit.global_level + elapsed * rate, burst);
    // The local levels of all instances must not exceed the global level, or
    // all of them would be full when a debt has been repaid.
    const auto whole =
        partitioned() ? burst : std::clamp(limit.global_level, 0.0, burst);
    limit.local_level = std::min(
        limit.local_level + elapsed * fraction * rate, fraction * whole);
    // While the global level alone decides, the debt of the local level is
    // bounded, so that requests are not refused for long when the local level
    // takes over.
    if (!partitioned() && !limit.contended)
        limit.local_level = std::max(limit.local_level, -fraction * burst);
}

bool fleet_limiter::oversubscribed(const bucket& limit, time_point now) const
{
    return demand_of_all(limit, now) > static_cast<double>(limit.rate);
}

void fleet_limiter::update_contention(bucket& limit, time_point now) const
{
    // The demand alone is no sign: at 0.9 of the rate, the average of requests
    // that arrive at random exceeds the rate for a tenth of the time.
    limit.contended = oversubscribed(limit, now) &&
                      (limit.contended || limit.global_level <= 0);
}

fleet_limiter::budget fleet_limiter::unreported_budget(
    const bucket& limit, time_point now) const
{
    const auto rate = static_cast<double>(limit.rate);
    const auto allowed =
        rate * slots_s(window_slots) + static_cast<double>(limit.burst);
    const auto known =
        limit.others_admitted.sum(0, window_slots + 1 - unreported_slots, now) +
        limit.own_admitted.sum(unreported_slots, window_slots, now);
    const auto own = limit.own_requested.sum(
        unreported_slots, window_slots + unreported_slots, now);
    const auto others = limit.others_requested.sum(0, window_slots, now);
    const auto even = 1 / static_cast<double>(other_instances() + 1);
    const auto by_demand = own + others > 0 ? own / (own + others) : even;
    // Single requests shift the demand of instances with about one request per
    // second.
    const auto known_requests =
        limit.largest_cost > 0 ? own / limit.largest_cost : 0;
    const auto weight = known_requests / (known_requests + even_requests);
    const auto fraction = (1 - weight) * even + weight * by_demand;
    auto share = fraction * std::max(0.0, allowed - known);
    if (demand_of_all(limit, now) < spike_demand_factor * rate &&
        !spiked_recently(limit, now))
    {
        const auto expected = fraction *
                              std::min(rate, demand_of_all(limit, now)) *
                              slots_s(unreported_slots);
        share = std::max(
            share, expected + random_arrivals_margin *
                                  std::sqrt(expected * limit.largest_cost));
    }
    return {share, share - limit.own_admitted.sum(0, unreported_slots, now)};
}

bool fleet_limiter::spiked_recently(const bucket& limit, time_point now)
{
    const auto most = spike_rate_factor * static_cast<double>(limit.rate) *
                      slots_s(unreported_slots);
    for (std::int64_t from = 0; from <= window_slots - unreported_slots; ++from)
        if (limit.others_admitted.sum(from, from + unreported_slots, now) +
                limit.own_admitted.sum(
                    from + unreported_slots, from + 2 * unreported_slots, now) >
            most)
            return true;
    return false;
}

time_point fleet_limiter::budget_returns_at(
    double units, const bucket& limit, time_point now) const
{
    const auto share = unreported_budget(limit, now).share;
    for (std::int64_t passed = 1; passed < unreported_slots; ++passed)
    {
        const auto left =
            share - limit.own_admitted.sum(0, unreported_slots - passed, now);
        if (left > 0 && left >= std::min(units, share) / 2)
            return now + passed * recent_units::slot_time;
    }
    return now + unreported_slots * recent_units::slot_time;
}

bool fleet_limiter::has_budget_for(
    double units, const bucket& limit, time_point now) const
{
    // Rounds to the nearest request. A request that is larger than the share is
    // admitted when at least half of the share is left.
    const auto budget = unreported_budget(limit, now);
    return budget.left > 0 && budget.left >= std::min(units, budget.share) / 2;
}

fleet_limiter::deciding_level fleet_limiter::current_level(
    const bucket& limit, time_point now) const
{
    const bool connected = !partitioned();
    const bool decides_globally =
        connected &&
        (!limit.contended || limit.global_level <= limit.local_level);
    if (decides_globally)
        return {limit.global_level, 1.0};
    return {limit.local_level, local_fraction(limit, now)};
}

void fleet_limiter::take(bucket& from, double units, time_point now)
{
    from.global_level -= units;
    from.local_level -= units;
    from.admitted += units;
    from.own_admitted.add(units, now);
}

result<void> fleet_limiter::admit(const workspace_id& workspace,
    std::int64_t units, time_point now, time_point& retry_at)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return {};
    auto& target = found->second;
    const auto wanted = static_cast<double>(units);
    target.demand =
        decayed_demand(target, now) + wanted / demand_time_constant_s;
    target.demand_at = now;
    target.own_requested.add(wanted, now);
    target.largest_cost =
        std::max(wanted, target.largest_cost + (wanted - target.largest_cost) /
                                                   largest_cost_requests);
    if (target.rate <= 0)
        return {};
    forget_lost_peers(now);
    refill(target, now);
    update_contention(target, now);
    const auto level = current_level(target, now);
    const auto burst = level.fraction * static_cast<double>(target.burst);
    const bool small =
        wanted <=
            small_request_burst_fraction * static_cast<double>(target.burst) &&
        wanted <= target.largest_cost * small_request_cost_fraction;
    const bool has_budget =
        partitioned() || has_budget_for(wanted, target, now);
    if (has_budget &&
        level.units > (small ? -small_request_reserve_fraction * burst : 0))
    {
        take(target, wanted, now);
        return {};
    }
    const auto rate =
        std::max(level.fraction * static_cast<double>(target.rate), 1e-3);
    constexpr double max_retry_delay_s = 60.0;
    const auto level_returns_at =
        now +
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            std::min(max_retry_delay_s, -level.units / rate)));
    retry_at = has_budget ? level_returns_at
                          : std::max(level_returns_at,
                                budget_returns_at(wanted, target, now));
    return fail(error_code::rate_limited,
        fmt::format("workspace {} exceeds its rate", workspace.str()));
}

limit_state fleet_limiter::state(
    const workspace_id& workspace, time_point now) const
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return {};
    const auto& limit = found->second;
    const auto level = current_level(limit, now);
    return {limit.rate, limit.burst, level.units, demand_of_all(limit, now),
        level.fraction,
        limit.rate > 0 && !partitioned() && level.units > 0 &&
            !has_budget_for(limit.largest_cost, limit, now)};
}

void fleet_limiter::charge(
    const workspace_id& workspace, std::int64_t units, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.rate <= 0)
        return;
    refill(found->second, now);
    take(found->second, static_cast<double>(units), now);
}

void fleet_limiter::refund(
    const workspace_id& workspace, std::int64_t units, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return;
    take(found->second, -static_cast<double>(units), now);
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
    for (auto& [workspace, each] : buckets_)
        if (const auto reported = each.peers.find(from);
            reported != each.peers.end())
            reported->second.units_per_second = 0;
    for (const auto& each : demands)
    {
        const auto found = buckets_.find(each.workspace);
        if (found == buckets_.end())
            continue;
        auto& target = found->second;
        const auto known = target.peers.find(from);
        // The first report does not tell when its units were admitted.
        if (known != target.peers.end() && same_process)
        {
            refill(target, now);
            const auto admitted = std::max(
                0.0, each.admitted_units - known->second.admitted_units);
            target.global_level -= admitted;
            target.others_admitted.add(admitted, now);
        }
        target.peers[from] = {
            std::max(0.0, each.units_per_second), each.admitted_units};
    }
    for (auto& [workspace, each] : buckets_)
    {
        double requested = 0;
        for (const auto& [peer, reported] : each.peers)
            requested += reported.units_per_second;
        each.others_requested.put(
            requested * seconds(recent_units::slot_time), now);
    }
}

void fleet_limiter::erase_peer(const instance_id& peer)
{
    peers_.erase(peer);
    for (auto& [workspace, each] : buckets_)
        each.peers.erase(peer);
}

void fleet_limiter::mark_peer_lost(const instance_id& from, time_point now)
{
    if (const auto found = peers_.find(from); found != peers_.end())
        found->second.lost_at = now;
}

void fleet_limiter::forget_lost_peers(time_point now)
{
    if (partitioned())
        return;
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        const auto& lost_at = it->second.lost_at;
        if (!lost_at || now - *lost_at < lost_peer_retention)
        {
            ++it;
            continue;
        }
        const auto expired = it->first;
        ++it;
        erase_peer(expired);
    }
}

std::vector<workspace_demand> fleet_limiter::own_demands(time_point now) const
{
    std::vector<workspace_demand> out;
    for (const auto& [workspace, each] : buckets_)
        if (each.admitted != 0 || each.demand > 0)
            out.push_back(
                {workspace, decayed_demand(each, now), each.admitted});
    return out;
}

} // namespace tarragonquay::limits
