#pragma once

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "limits/limiter.hpp"

// Epochs, buckets, admission and settlement.
namespace tarragonquay::limits
{

template <share_policy Policy>
basic_limiter<Policy>::basic_limiter(instance_id local, std::string incarnation)
    : local_(std::move(local)),
      incarnation_(std::move(incarnation)),
      transfers_(incarnation_)
{
}

template <share_policy Policy>
std::int64_t basic_limiter<Policy>::initial_shares(
    const workspace_id& workspace) const
{
    return is_member_ ? Policy::initial_shares(workspace, members_, local_) : 0;
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
    reports_.clear_demands();
    // Refunds end with the epoch, because their shares may belong to another
    // instance in the next one.
    reservations_.clear();
    std::erase_if(
        buckets_, [](const auto& entry) { return entry.second.removed; });
    for (auto& [id, item] : buckets_)
    {
        item.bucket.drop_refunds();
        item.bucket.set_shares(
            std::min(item.bucket.shares(), initial_shares(id)));
    }
}

template <share_policy Policy>
void basic_limiter<Policy>::open_epoch(time_point /*now*/)
{
    open_ = true;
    has_shares_ = is_member_;
    for (auto& [id, item] : buckets_)
        item.bucket.set_shares(initial_shares(id));
}

// The bucket of a new workspace starts full. That of a workspace that was used
// before its removal starts empty; otherwise a time window could admit the
// burst twice.
template <share_policy Policy>
void basic_limiter<Policy>::create_bucket(
    const catalog::workspace& limit, bool used_before, time_point now)
{
    token_bucket bucket(limit, open_ ? initial_shares(limit.id) : 0, now);
    if (used_before)
        bucket.clear_level();
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
        return awaits_first_share()
                   ? fail(error_code::no_share,
                         fmt::format("this instance has no share of the rate "
                                     "of workspace {} yet",
                             workspace.str()))
                   : fail(error_code::rate_limited,
                         fmt::format(
                             "workspace {} exceeds its rate", workspace.str()));
    ++next_reservation_;
    from.last_admitted = now;
    reservations_.insert(id);
    return reservation{id, workspace, tokens, epoch_};
}

// The error for a request that can't be admitted at any time.
template <share_policy Policy>
result<reservation> basic_limiter<Policy>::permanent_refusal(
    const workspace_id& workspace, std::int64_t tokens) const
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.removed)
        return fail(error_code::not_found,
            fmt::format("workspace {} does not exist", workspace.str()));
    if (tokens < 0)
        return fail(error_code::invalid_argument,
            "the number of tokens must not be negative");
    return fail(error_code::request_exceeds_burst,
        fmt::format("{} tokens exceed the burst of {}", tokens,
            found->second.bucket.limit().burst_tokens));
}

template <share_policy Policy>
result<reservation> basic_limiter<Policy>::admit(
    const workspace_id& workspace, std::int64_t tokens, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.removed || tokens < 0 ||
        tokens > found->second.bucket.limit().burst_tokens)
        return permanent_refusal(workspace, tokens);
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
    each.had_no_share = each.had_no_share || awaits_first_share();
    return now < (each.had_no_share ? each.deadlines.without_share
                                    : each.deadlines.with_share);
}

// Waiting requests of a workspace are tried in order of arrival. A request that
// fits is admitted even when an earlier, larger one still waits: a single
// bucket would admit it too, and no request waits beyond its deadline.
template <share_policy Policy>
void basic_limiter<Policy>::serve_waiters(time_point now)
{
    std::vector<std::pair<admit_handler, result<reservation>>> completed;
    for (auto& entry : waiters_)
    {
        const auto& workspace = entry.first;
        auto& queue = entry.second;
        const auto found = buckets_.find(workspace);
        const bool exists = found != buckets_.end() && !found->second.removed;
        std::erase_if(queue,
            [&](waiter& each)
            {
                const bool admissible =
                    exists &&
                    each.tokens <= found->second.bucket.limit().burst_tokens;
                auto taken = admissible
                                 ? take(found->second, each.tokens, now)
                                 : permanent_refusal(workspace, each.tokens);
                if (!taken && admissible && may_wait(each, now))
                    return false;
                completed.emplace_back(
                    std::move(each.handler), std::move(taken));
                return true;
            });
    }
    std::erase_if(
        waiters_, [](const auto& entry) { return entry.second.empty(); });
    for (auto& [handler, outcome] : completed)
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

} // namespace tarragonquay::limits
