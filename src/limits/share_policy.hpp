#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::limits
{

/// Decides how many shares of a workspace a member has when an epoch opens,
/// and whether they move within the epoch.
template <class Policy>
concept share_policy = requires(const workspace_id& workspace,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    {
        Policy::allotment(workspace, members, instance)
        } -> std::same_as<std::int64_t>;
    {
        Policy::moves_shares
        } -> std::convertible_to<bool>;
    {
        Policy::grant_time
        } -> std::convertible_to<duration>;
};

/// Equal parts, and shares move to where the demand is.
struct transfer_policy
{
    static constexpr bool moves_shares = true;
    /// Time after which unused shares go back to the owner; none here.
    static constexpr duration grant_time = duration::zero();
    static std::int64_t allotment(const workspace_id& workspace,
        const std::vector<instance_id>& members, const instance_id& instance);
};

/// Equal parts that never move.
struct static_split_policy
{
    static constexpr bool moves_shares = false;
    static constexpr duration grant_time = duration::zero();
    static std::int64_t allotment(const workspace_id& workspace,
        const std::vector<instance_id>& members, const instance_id& instance);
};

/// One member owns all shares of a workspace and grants them for a while.
struct owner_grant_policy
{
    static constexpr bool moves_shares = true;
    static constexpr duration grant_time = std::chrono::seconds(1);
    static std::int64_t allotment(const workspace_id& workspace,
        const std::vector<instance_id>& members, const instance_id& instance);
    static std::optional<instance_id> owner(
        const workspace_id& workspace, const std::vector<instance_id>& members);
};

} // namespace tarragonquay::limits
