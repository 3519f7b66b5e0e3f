#include "limits/share_policy.hpp"

#include <algorithm>

#include "common/digest.hpp"
#include "limits/types.hpp"

namespace tarragonquay::limits
{

namespace
{

std::int64_t equal_shares(
    const std::vector<instance_id>& members, const instance_id& instance)
{
    const auto found = std::find(members.begin(), members.end(), instance);
    if (found == members.end())
        return 0;
    const auto count = static_cast<std::int64_t>(members.size());
    // The first members get the remainder, so that the shares add up to
    // `total_shares` and can hold a request of the whole burst.
    const bool extra = found - members.begin() < total_shares % count;
    return total_shares / count + (extra ? 1 : 0);
}

} // namespace

std::int64_t transfer_policy::initial_shares(const workspace_id& /*workspace*/,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    return equal_shares(members, instance);
}

std::int64_t static_split_policy::initial_shares(
    const workspace_id& /*workspace*/, const std::vector<instance_id>& members,
    const instance_id& instance)
{
    return equal_shares(members, instance);
}

std::optional<instance_id> owner_grant_policy::owner(
    const workspace_id& workspace, const std::vector<instance_id>& members)
{
    std::optional<instance_id> best;
    std::uint64_t best_score = 0;
    for (const auto& member : members)
    {
        const auto score = fast_hash(member.str(), fast_hash(workspace.str()));
        if (!best || score > best_score)
        {
            best = member;
            best_score = score;
        }
    }
    return best;
}

std::int64_t owner_grant_policy::initial_shares(const workspace_id& workspace,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    return owner(workspace, members) == instance ? total_shares : 0;
}

} // namespace tarragonquay::limits
