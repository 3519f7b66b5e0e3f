#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "limits/limiter.hpp"

// Transfers of shares and level between instances.
namespace tarragonquay::limits
{

namespace limiter_detail
{

/// Interval between requests for level, for each workspace.
inline constexpr duration request_interval = std::chrono::milliseconds(100);
/// Maximum number of receivers of transfers, members and guests together. The
/// system is designed for half as many instances.
inline constexpr std::size_t max_receivers = 1500;
/// Smaller transfers are not worth their messages.
inline constexpr std::int64_t min_balance_tokens = 16;

__extension__ using int128 = __int128;

} // namespace limiter_detail

template <share_policy Policy>
bool basic_limiter<Policy>::may_transfer_shares() const
{
    return Policy::transfers_shares && open_;
}

template <share_policy Policy>
share_receiver basic_limiter<Policy>::member_receiver(
    const instance_id& member) const
{
    return {member, incarnations_.at(member)};
}

template <share_policy Policy>
bool basic_limiter<Policy>::is_member(const share_receiver& receiver) const
{
    const auto found = incarnations_.find(receiver.instance);
    return found != incarnations_.end() &&
           found->second == receiver.incarnation;
}

// The number of receivers is bounded because each is stored until the epoch
// ends, and any process can send requests in the name of instances that do not
// exist.
template <share_policy Policy>
bool basic_limiter<Policy>::may_transfer_to(const share_receiver& to) const
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

// The shares and level are removed here before the transfer is created, so that
// a lost message can only lose capacity, never create it.
template <share_policy Policy>
void basic_limiter<Policy>::donate(const workspace_id& workspace,
    token_bucket& from, const share_receiver& to, std::int64_t shares,
    std::int64_t level, time_point now)
{
    if (shares <= 0 || shares > from.shares() || !may_transfer_to(to))
        return;
    // The guest is recorded before the transfer is created, so that every later
    // acknowledgement of a membership change includes it.
    if (!is_member(to))
    {
        guests_[to.instance] = to.incarnation;
        if (given_guests_.epoch != epoch_)
            given_guests_ = {epoch_, {}};
        given_guests_.incarnations.insert(to.incarnation);
    }
    const auto removed = from.remove_shares(shares, level);
    transfers_.send(to, workspace, shares, removed, now);
}

// Transfers the level together with the smallest number of shares that can hold
// it.
template <share_policy Policy>
void basic_limiter<Policy>::donate_level(const workspace_id& workspace,
    token_bucket& from, const share_receiver& to, std::int64_t level,
    time_point now)
{
    const auto available = std::min(level, from.level());
    if (available > 0)
        donate(workspace, from, to, from.shares_for(available), available, now);
}

template <share_policy Policy>
bool basic_limiter<Policy>::on_transfer(
    const peer::Share_transfer& transfer, time_point now)
{
    const auto found = buckets_.find(workspace_id(transfer.workspace()));
    // Without a bucket, the transfer is not acknowledged, so it is resent until
    // the workspace has been applied here.
    if (!may_transfer_shares() || found == buckets_.end())
        return false;
    const auto status = transfers_.receive(transfer,
        [&](const std::string& incarnation) { return is_known(incarnation); });
    if (status == share_transfers::receive_status::accepted)
    {
        auto& bucket = found->second.bucket;
        bucket.refill(now);
        bucket.add_shares(transfer.shares(), transfer.level_millitokens());
        serve_waiters(now);
    }
    return status != share_transfers::receive_status::rejected;
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
    if (!may_transfer_shares() || request.epoch() != epoch_ ||
        found == buckets_.end() || from == local_ || incarnation.empty())
        return;
    // When two members collect level for large requests, the one with the lower
    // id keeps its level; otherwise each could hold what the other needs.
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

// Transfers up to half of the level that this instance does not need to the
// member with the largest deficit.
template <share_policy Policy>
void basic_limiter<Policy>::balance_levels(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        if (waiters_.contains(workspace))
            continue;
        const auto largest_deficit = reports_.take_largest_deficit(
            workspace, limiter_detail::min_balance_tokens);
        if (!largest_deficit)
            continue;
        auto& bucket = item.bucket;
        bucket.refill(now);
        const auto own_need = item.requested_tokens * millitokens_per_token;
        const auto spare = (bucket.level() - own_need) / 2;
        if (spare >= limiter_detail::min_balance_tokens * millitokens_per_token)
            donate_level(workspace, bucket,
                member_receiver(largest_deficit->first),
                std::min(
                    spare, largest_deficit->second * millitokens_per_token),
                now);
    }
}

template <share_policy Policy>
void basic_limiter<Policy>::return_unused_grants(time_point now)
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
        limiter_detail::int128 weights = 0;
        for (const auto& [member, weight] : receivers)
            weights += weight;
        const auto part = [&weights](std::int64_t whole, std::int64_t weight)
        {
            return static_cast<std::int64_t>(
                limiter_detail::int128(whole) * weight / weights);
        };
        // Debt is not transferred; it has already lowered the level that is
        // divided here.
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

// All other members, and the guests that received shares from this instance, in
// descending order of their reported level.
template <share_policy Policy>
std::vector<instance_id> basic_limiter<Policy>::donors(
    const workspace_id& workspace) const
{
    if constexpr (Policy::grant_time > duration::zero())
    {
        // Members request level from the owner only; the owner requests it from
        // the members that it granted shares to.
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
        const auto deficit =
            queue.front().tokens * millitokens_per_token - bucket.level();
        if (deficit <= 0)
            continue;
        // A guest rarely receives level reports, so each member would be asked
        // for the whole deficit and give it. The first request of a guest is
        // therefore split evenly.
        const bool split_evenly = !is_member_ && !queue.front().requested;
        queue.front().requested = true;
        request_from_donors(workspace, deficit, split_evenly, messages);
    }
}

// Requests the deficit from the donors with the highest reported levels first,
// and from no more donors than needed according to the reports. If the reports
// do not cover the deficit, every remaining donor is asked for the rest, since
// reports may be outdated.
template <share_policy Policy>
void basic_limiter<Policy>::request_from_donors(const workspace_id& workspace,
    std::int64_t deficit, bool split_evenly,
    std::vector<outgoing_message>& messages) const
{
    const auto asked_donors = donors(workspace);
    const auto count = static_cast<std::int64_t>(asked_donors.size());
    if (split_evenly && count > 0)
        deficit = (deficit + count - 1) / count;
    for (const auto& donor : asked_donors)
    {
        if (deficit <= 0)
            return;
        const auto reported = split_evenly ? 0
                                           : reports_.level(workspace, donor) *
                                                 millitokens_per_token;
        const auto asked = reported > 0 ? std::min(deficit, reported) : deficit;
        deficit -= reported > 0 ? asked : 0;
        peer::Envelope envelope;
        auto& request = *envelope.mutable_share_request();
        request.set_workspace(workspace.str());
        request.set_epoch(epoch_);
        request.set_level_millitokens(asked);
        messages.push_back({donor, std::move(envelope)});
    }
}

} // namespace tarragonquay::limits
