#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "limits/limiter.hpp"

// Shares and level that move between instances.
namespace tarragonquay::limits
{

namespace limiter_detail
{

inline constexpr duration request_interval = std::chrono::milliseconds(100);
/// Receivers of transfers that are no members, and members. Twice the instances
/// to design for.
inline constexpr std::size_t max_receivers = 1500;
/// Smaller transfers cost more messages than they help.
inline constexpr std::int64_t min_balance_tokens = 16;

__extension__ using wide = __int128;

} // namespace limiter_detail

template <share_policy Policy>
bool basic_limiter<Policy>::may_move() const
{
    return Policy::moves_shares && open_;
}

template <share_policy Policy>
share_receiver basic_limiter<Policy>::member_receiver(
    const instance_id& member) const
{
    return {member, incarnations_.at(member)};
}

template <share_policy Policy>
bool basic_limiter<Policy>::is_member(const share_receiver& who) const
{
    const auto found = incarnations_.find(who.instance);
    return found != incarnations_.end() && found->second == who.incarnation;
}

// Any process can ask in the name of instances that do not exist, and each
// receiver is remembered until the epoch ends.
template <share_policy Policy>
bool basic_limiter<Policy>::may_give(const share_receiver& to) const
{
    return transfers_.may_send(to) &&
           (is_member(to) || transfers_.has_sent(to) ||
               transfers_.receivers() < limiter_detail::max_receivers);
}

template <share_policy Policy>
bool basic_limiter<Policy>::is_known(const std::string& incarnation) const
{
    const auto same = [&](const auto& entry)
    { return entry.second == incarnation; };
    return std::any_of(incarnations_.begin(), incarnations_.end(), same) ||
           std::any_of(guests_.begin(), guests_.end(), same);
}

// The donor lowers its share and level before the transfer exists, so a
// lost message loses capacity and never creates any.
template <share_policy Policy>
void basic_limiter<Policy>::donate(const workspace_id& workspace,
    token_bucket& from, const share_receiver& to, std::int64_t shares,
    std::int64_t level, time_point now)
{
    if (shares <= 0 || shares > from.shares() || !may_give(to))
        return;
    // Set before the transfer exists, so that no acknowledgement of the next
    // membership change can lack it.
    if (!is_member(to))
    {
        guests_[to.instance] = to.incarnation;
        if (given_guests_.epoch != epoch_)
            given_guests_ = {epoch_, {}};
        given_guests_.incarnations.insert(to.incarnation);
    }
    const auto given = from.give(shares, level);
    transfers_.send(to, workspace, shares, given, now);
}

// Gives the level with as many shares as can hold it.
template <share_policy Policy>
void basic_limiter<Policy>::donate_level(const workspace_id& workspace,
    token_bucket& from, const share_receiver& to, std::int64_t level,
    time_point now)
{
    const auto given = std::min(level, from.level());
    if (given > 0)
        donate(workspace, from, to, from.shares_for(given), given, now);
}

template <share_policy Policy>
bool basic_limiter<Policy>::on_transfer(
    const peer::Share_transfer& transfer, time_point now)
{
    const auto found = buckets_.find(workspace_id(transfer.workspace()));
    // A bucket that does not exist yet takes the transfer when it is sent
    // again, after the workspace has been applied here.
    if (!may_move() || found == buckets_.end())
        return false;
    const auto verdict = transfers_.receive(transfer,
        [&](const std::string& incarnation) { return is_known(incarnation); });
    if (verdict == share_transfers::verdict::accepted)
    {
        auto& bucket = found->second.bucket;
        bucket.refill(now);
        bucket.receive(transfer.shares(), transfer.level_millitokens());
        serve_waiters(now);
    }
    return verdict != share_transfers::verdict::refused;
}

template <share_policy Policy>
void basic_limiter<Policy>::on_transfer_ack(const peer::Share_transfer_ack& ack)
{
    transfers_.acknowledge(ack.transfer_id());
}

template <share_policy Policy>
void basic_limiter<Policy>::on_request(const instance_id& from,
    const std::string& incarnation, const peer::Share_request& request,
    time_point now)
{
    const workspace_id workspace(request.workspace());
    const auto found = buckets_.find(workspace);
    if (!may_move() || request.epoch() != epoch_ || found == buckets_.end() ||
        from == local_ || incarnation.empty())
        return;
    // Of two members that collect level for large requests, the one with the
    // lower id goes first; otherwise each could hold what the other needs.
    if (waiters_.contains(workspace) && local_ < from)
        return;
    auto& bucket = found->second.bucket;
    bucket.refill(now);
    donate_level(workspace, bucket, {from, incarnation},
        request.level_millitokens(), now);
}

template <share_policy Policy>
void basic_limiter<Policy>::on_demands(
    const instance_id& from, const peer::Heartbeat& heartbeat, time_point now)
{
    if (!std::binary_search(members_.begin(), members_.end(), from))
        return;
    reports_.record(
        from, heartbeat,
        [&](const workspace_id& workspace)
        { return buckets_.contains(workspace); },
        now);
}

// Gives up to half of the level that this instance does not need to the
// member that lacks most.
template <share_policy Policy>
void basic_limiter<Policy>::balance(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        if (waiters_.contains(workspace))
            continue;
        const auto neediest = reports_.take_neediest(
            workspace, limiter_detail::min_balance_tokens);
        if (!neediest)
            continue;
        auto& bucket = item.bucket;
        bucket.refill(now);
        const auto own_need = item.requested_tokens * millitokens_per_token;
        const auto spare = (bucket.level() - own_need) / 2;
        if (spare >= limiter_detail::min_balance_tokens * millitokens_per_token)
            donate_level(workspace, bucket, member_receiver(neediest->first),
                std::min(spare, neediest->second * millitokens_per_token), now);
    }
}

template <share_policy Policy>
void basic_limiter<Policy>::return_grants(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        const auto owner = owner_grant_policy::owner(workspace, members_);
        if (!owner || *owner == local_ || item.bucket.shares() == 0 ||
            waiters_.contains(workspace) ||
            now - item.last_admitted < Policy::grant_time)
            continue;
        auto& bucket = item.bucket;
        bucket.refill(now);
        donate(workspace, bucket, member_receiver(*owner), bucket.shares(),
            bucket.level(), now);
    }
}

template <share_policy Policy>
void basic_limiter<Policy>::donate_everything(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        auto& bucket = item.bucket;
        bucket.refill(now);
        const auto receivers =
            reports_.successors(workspace, other_members(), now);
        limiter_detail::wide weights = 0;
        for (const auto& [member, weight] : receivers)
            weights += weight;
        const auto part = [&weights](std::int64_t whole, std::int64_t weight)
        {
            return static_cast<std::int64_t>(
                limiter_detail::wide(whole) * weight / weights);
        };
        // A debt is not handed over; it lowers what this instance gives.
        for (const auto& [member, weight] : receivers)
        {
            donate(workspace, bucket, member_receiver(member),
                part(bucket.shares(), weight),
                part(std::max<std::int64_t>(bucket.level(), 0), weight), now);
            weights -= weight;
        }
    }
}

template <share_policy Policy>
bool basic_limiter<Policy>::handed_over() const
{
    return transfers_.all_acknowledged() &&
           std::all_of(buckets_.begin(), buckets_.end(),
               [](const auto& entry)
               { return entry.second.bucket.shares() == 0; });
}

template <share_policy Policy>
std::vector<instance_id> basic_limiter<Policy>::other_members() const
{
    auto others = members_;
    std::erase(others, local_);
    return others;
}

// All other members, and the guests that got shares from here; those that
// reported most level come first.
template <share_policy Policy>
std::vector<instance_id> basic_limiter<Policy>::donors(
    const workspace_id& workspace) const
{
    if constexpr (Policy::grant_time > duration::zero())
    {
        // Only the owner grants; it asks the others for what it has granted.
        const auto owner = Policy::owner(workspace, members_);
        if (owner && *owner != local_)
            return {*owner};
    }
    auto result = other_members();
    for (const auto& [guest, incarnation] : guests_)
    {
        if (!incarnations_.contains(guest))
            result.push_back(guest);
    }
    std::stable_sort(result.begin(), result.end(),
        [&](const instance_id& a, const instance_id& b) {
            return reports_.level(workspace, a) > reports_.level(workspace, b);
        });
    return result;
}

template <share_policy Policy>
void basic_limiter<Policy>::request_level(
    time_point now, std::vector<outgoing_message>& messages)
{
    for (auto& [workspace, queue] : waiters_)
    {
        const auto found = buckets_.find(workspace);
        auto& next = next_request_[workspace];
        if (found == buckets_.end() || queue.empty() || now < next)
            continue;
        next = now + limiter_detail::request_interval;
        auto& bucket = found->second.bucket;
        bucket.refill(now);
        const auto lacking =
            queue.front().tokens * millitokens_per_token - bucket.level();
        if (lacking <= 0)
            continue;
        // Members seldom tell a guest their level, and each would give all
        // that it lacks. The first request asks each for a part.
        const bool evenly = !is_member_ && !queue.front().requested;
        queue.front().requested = true;
        ask_donors(workspace, lacking, evenly, messages);
    }
}

// Asks the members with most level first, and no more members than their
// reports say are needed. When the reports are not enough, the rest is asked
// of every other member, since reports are old.
template <share_policy Policy>
void basic_limiter<Policy>::ask_donors(const workspace_id& workspace,
    std::int64_t lacking, bool evenly,
    std::vector<outgoing_message>& messages) const
{
    const auto asked_members = donors(workspace);
    const auto count = static_cast<std::int64_t>(asked_members.size());
    if (evenly && count > 0)
        lacking = (lacking + count - 1) / count;
    for (const auto& donor : asked_members)
    {
        if (lacking <= 0)
            return;
        const auto reported =
            evenly ? 0
                   : reports_.level(workspace, donor) * millitokens_per_token;
        const auto asked = reported > 0 ? std::min(lacking, reported) : lacking;
        lacking -= reported > 0 ? asked : 0;
        peer::Envelope envelope;
        auto& request = *envelope.mutable_share_request();
        request.set_workspace(workspace.str());
        request.set_epoch(epoch_);
        request.set_level_millitokens(asked);
        messages.push_back({donor, std::move(envelope)});
    }
}

} // namespace tarragonquay::limits
