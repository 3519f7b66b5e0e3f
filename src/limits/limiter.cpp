#include "limits/limiter.hpp"

#include <algorithm>
#include <utility>

#include "limits/limiter_admission.ipp"
#include "limits/limiter_transfers.ipp"

namespace tarragonquay::limits
{

template <share_policy Policy>
std::vector<outgoing_message> basic_limiter<Policy>::tick(time_point now)
{
    serve_waiters(now);
    if (!may_transfer_shares())
        return {};
    if (handing_over_)
        donate_everything(now);
    else if (Policy::grant_time > duration::zero())
        return_unused_grants(now);
    else
        balance_levels(now);
    return take_messages(now);
}

template <share_policy Policy>
std::vector<outgoing_message> basic_limiter<Policy>::take_messages(
    time_point now)
{
    std::vector<outgoing_message> messages;
    if (!may_transfer_shares())
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
