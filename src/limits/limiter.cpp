#include "limits/limiter.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace tarragonquay::limits
{

namespace
{

constexpr duration request_interval = std::chrono::milliseconds(100);
// Receivers of transfers that are no members, and members. Twice the instances
// to design for.
constexpr std::size_t max_receivers = 1500;
// Smaller transfers cost more messages than they help.
constexpr std::int64_t min_balance_tokens = 16;

__extension__ using wide = __int128;

} // namespace

template <share_policy Policy>
basic_limiter<Policy>::basic_limiter(instance_id local, std::string incarnation)
    : local_(std::move(local)),
      incarnation_(std::move(incarnation)),
      transfers_(incarnation_)
{
}

template <share_policy Policy>
std::int64_t basic_limiter<Policy>::allotment(
    const workspace_id& workspace) const
{
    return is_member_ ? Policy::allotment(workspace, members_, local_) : 0;
}

template <share_policy Policy>
void basic_limiter<Policy>::apply(const limits_view& view, time_point now)
{
    for (auto& [id, item] : buckets_)
        item.bucket.refill(now);
    if (view.epoch != epoch_)
        close_epoch(view, now);
    apply_workspaces(view, now);
    if (view.epoch_open && !open_)
        open_epoch(now);
    serve_waiters(now);
}

template <share_policy Policy>
void basic_limiter<Policy>::close_epoch(
    const limits_view& view, time_point /*now*/)
{
    epoch_ = view.epoch;
    open_ = false;
    members_.clear();
    incarnations_.clear();
    guests_.clear();
    is_member_ = false;
    for (const auto& member : view.members)
    {
        members_.push_back(member.instance);
        incarnations_[member.instance] = member.incarnation;
        is_member_ = is_member_ || (member.instance == local_ &&
                                       member.incarnation == incarnation_);
    }
    has_shares_ = has_shares_ && is_member_;
    std::sort(members_.begin(), members_.end());
    transfers_.begin_epoch(epoch_);
    reports_.forget_demands();
    // Refunds end with the epoch, because their shares may have moved.
    reservations_.clear();
    std::erase_if(
        buckets_, [](const auto& entry) { return entry.second.removed; });
    for (auto& [id, item] : buckets_)
    {
        item.bucket.forget_refunds();
        item.bucket.set_shares(std::min(item.bucket.shares(), allotment(id)));
    }
}

template <share_policy Policy>
void basic_limiter<Policy>::open_epoch(time_point /*now*/)
{
    open_ = true;
    has_shares_ = is_member_;
    for (auto& [id, item] : buckets_)
        item.bucket.set_shares(allotment(id));
}

// A new workspace starts with its whole burst. One that was used before its
// removal starts empty; otherwise its tokens in a window could be its burst
// twice.
template <share_policy Policy>
void basic_limiter<Policy>::create_bucket(
    const catalog::workspace& limit, bool used_before, time_point now)
{
    token_bucket bucket(limit, open_ ? allotment(limit.id) : 0, now);
    if (used_before)
        bucket.empty();
    buckets_.emplace(limit.id, workspace_state{bucket, false, 0, now});
}

template <share_policy Policy>
void basic_limiter<Policy>::apply_workspaces(
    const limits_view& view, time_point now)
{
    std::set<workspace_id> present;
    for (const auto& limit : view.workspaces)
    {
        present.insert(limit.id);
        const auto found = buckets_.find(limit.id);
        if (found != buckets_.end())
            found->second.bucket.set_limit(limit);
        else
            create_bucket(limit, view.used_before.contains(limit.id), now);
    }
    for (auto& [id, item] : buckets_)
        item.removed = !present.contains(id);
}

template <share_policy Policy>
result<reservation> basic_limiter<Policy>::take(
    workspace_state& from, std::int64_t tokens, time_point now)
{
    const auto& workspace = from.bucket.limit().id;
    from.bucket.refill(now);
    const auto id = next_reservation_;
    if (!from.bucket.take(id, tokens))
        return awaits_share()
                   ? fail(error_code::no_share,
                         fmt::format("this instance has no share of the rate "
                                     "of workspace {} yet",
                             workspace.str()))
                   : fail(error_code::rate_limited,
                         fmt::format("workspace {} has used its rate",
                             workspace.str()));
    ++next_reservation_;
    from.last_admitted = now;
    reservations_.insert(id);
    return reservation{id, workspace, tokens, epoch_};
}

// Why these tokens can't be admitted at any time.
template <share_policy Policy>
result<reservation> basic_limiter<Policy>::refusal(
    const workspace_id& workspace, std::int64_t tokens) const
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.removed)
        return fail(error_code::not_found,
            fmt::format("workspace {} does not exist", workspace.str()));
    if (tokens < 0)
        return fail(error_code::invalid_argument,
            "a request needs a number of tokens that is not negative");
    return fail(error_code::request_exceeds_burst,
        fmt::format("{} tokens are more than the burst of {}", tokens,
            found->second.bucket.limit().burst_tokens));
}

template <share_policy Policy>
result<reservation> basic_limiter<Policy>::admit(
    const workspace_id& workspace, std::int64_t tokens, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.removed || tokens < 0 ||
        tokens > found->second.bucket.limit().burst_tokens)
        return refusal(workspace, tokens);
    found->second.requested_tokens += tokens;
    return take(found->second, tokens, now);
}

template <share_policy Policy>
void basic_limiter<Policy>::admit_before(const workspace_id& workspace,
    std::int64_t tokens, const admission_deadlines& deadlines, time_point now,
    admit_handler handler)
{
    auto admitted = admit(workspace, tokens, now);
    waiter each{tokens, deadlines, {}};
    const bool lacks_tokens =
        !admitted && (admitted.error().code() == error_code::rate_limited ||
                         admitted.error().code() == error_code::no_share);
    if (!lacks_tokens || !may_wait(each, now))
    {
        handler(std::move(admitted));
        return;
    }
    each.handler = std::move(handler);
    waiters_[workspace].push_back(std::move(each));
}

template <share_policy Policy>
bool basic_limiter<Policy>::may_wait(waiter& each, time_point now) const
{
    each.had_no_share = each.had_no_share || awaits_share();
    return now < (each.had_no_share ? each.deadlines.without_share
                                    : each.deadlines.usual);
}

// Waiting requests of a workspace are tried in order of arrival. One that
// fits is served although an earlier, larger one still waits: a single bucket
// would admit it, and no request waits beyond its deadline.
template <share_policy Policy>
void basic_limiter<Policy>::serve_waiters(time_point now)
{
    std::vector<std::pair<admit_handler, result<reservation>>> done;
    for (auto& entry : waiters_)
    {
        const auto& workspace = entry.first;
        auto& queue = entry.second;
        const auto found = buckets_.find(workspace);
        const bool exists = found != buckets_.end() && !found->second.removed;
        std::erase_if(queue,
            [&](waiter& each)
            {
                const bool possible =
                    exists &&
                    each.tokens <= found->second.bucket.limit().burst_tokens;
                auto taken = possible ? take(found->second, each.tokens, now)
                                      : refusal(workspace, each.tokens);
                if (!taken && possible && may_wait(each, now))
                    return false;
                done.emplace_back(std::move(each.handler), std::move(taken));
                return true;
            });
    }
    std::erase_if(
        waiters_, [](const auto& entry) { return entry.second.empty(); });
    for (auto& [handler, outcome] : done)
        handler(std::move(outcome));
}

template <share_policy Policy>
void basic_limiter<Policy>::settle(
    const reservation& reserved, std::int64_t used, time_point now)
{
    const bool open = reservations_.erase(reserved.id) > 0;
    const auto found = buckets_.find(reserved.workspace);
    if (found == buckets_.end() || (!open && reserved.epoch == epoch_))
        return;
    auto& bucket = found->second.bucket;
    bucket.refill(now);
    bucket.settle(reserved.id, reserved.tokens, used);
    serve_waiters(now);
}

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
               transfers_.receivers() < max_receivers);
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
        const auto neediest =
            reports_.take_neediest(workspace, min_balance_tokens);
        if (!neediest)
            continue;
        auto& bucket = item.bucket;
        bucket.refill(now);
        const auto own_need = item.requested_tokens * millitokens_per_token;
        const auto spare = (bucket.level() - own_need) / 2;
        if (spare >= min_balance_tokens * millitokens_per_token)
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
        wide weights = 0;
        for (const auto& [member, weight] : receivers)
            weights += weight;
        const auto part = [&weights](std::int64_t whole, std::int64_t weight)
        { return static_cast<std::int64_t>(wide(whole) * weight / weights); };
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
        next = now + request_interval;
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

template <share_policy Policy>
std::vector<outgoing_message> basic_limiter<Policy>::tick(time_point now)
{
    serve_waiters(now);
    if (!may_move())
        return {};
    if (handing_over_)
        donate_everything(now);
    else if (Policy::grant_time > duration::zero())
        return_grants(now);
    else
        balance(now);
    return take_messages(now);
}

template <share_policy Policy>
std::vector<outgoing_message> basic_limiter<Policy>::take_messages(
    time_point now)
{
    std::vector<outgoing_message> messages;
    if (!may_move())
        return messages;
    if (!handing_over_)
        request_level(now, messages);
    for (auto& transfer : transfers_.due(now))
        messages.push_back(std::move(transfer));
    return messages;
}

template <share_policy Policy>
std::vector<peer::Workspace_demand> basic_limiter<Policy>::take_demands(
    time_point now)
{
    std::vector<peer::Workspace_demand> result;
    for (auto& [workspace, item] : buckets_)
    {
        if (item.removed)
            continue;
        item.bucket.refill(now);
        peer::Workspace_demand demand;
        demand.set_workspace(workspace.str());
        demand.set_requested_tokens(item.requested_tokens);
        demand.set_level_tokens(std::max<std::int64_t>(item.bucket.level(), 0) /
                                millitokens_per_token);
        demand.set_shares(item.bucket.shares());
        item.requested_tokens = 0;
        result.push_back(std::move(demand));
    }
    return result;
}

template <share_policy Policy>
bucket_state basic_limiter<Policy>::state(
    const workspace_id& workspace, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return {};
    auto& bucket = found->second.bucket;
    bucket.refill(now);
    return {bucket.shares(), bucket.level()};
}

template class basic_limiter<transfer_policy>;
template class basic_limiter<static_split_policy>;
template class basic_limiter<owner_grant_policy>;

} // namespace tarragonquay::limits
