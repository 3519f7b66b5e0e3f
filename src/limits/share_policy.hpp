#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::limits
{

/// Decides how many shares of a workspace a member has when an epoch opens, and
/// whether instances may transfer shares during the epoch.
template <class Policy>
concept share_policy = requires(const workspace_id& workspace,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    {
        Policy::initial_shares(workspace, members, instance)
        } -> std::same_as<std::int64_t>;
    {
        Policy::transfers_shares
        } -> std::convertible_to<bool>;
    {
        Policy::grant_time
        } -> std::convertible_to<duration>;
};

/// Equal initial shares, which are then transferred to where the demand is.
struct transfer_policy
{
    static constexpr bool transfers_shares = true;
    /// Time after which unused shares return to the owner; zero because this
    /// policy has no owner.
    static constexpr duration grant_time = duration::zero();
    static std::int64_t initial_shares(const workspace_id& workspace,
        const std::vector<instance_id>& members, const instance_id& instance);
};

/// Equal shares that are never transferred.
struct static_split_policy
{
    static constexpr bool transfers_shares = false;
    static constexpr duration grant_time = duration::zero();
    static std::int64_t initial_shares(const workspace_id& workspace,
        const std::vector<instance_id>& members, const instance_id& instance);
};

/// One member owns all shares of a workspace and grants them to others; shares
/// that are unused for `grant_time` return to it.
struct owner_grant_policy
{
    static constexpr bool transfers_shares = true;
    static constexpr duration grant_time = std::chrono::seconds(1);
    static std::int64_t initial_shares(const workspace_id& workspace,
        const std::vector<instance_id>& members, const instance_id& instance);
    /// The member with the highest hash of workspace and member (rendezvous
    /// hashing); none when there are no members.
    static std::optional<instance_id> owner(
        const workspace_id& workspace, const std::vector<instance_id>& members);
};

} // namespace tarragonquay::limits
