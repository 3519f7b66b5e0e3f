#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

#include "common/ids.hpp"

namespace tarragonquay::limits
{

/// Shares of one workspace, summed over all instances and transfers in flight.
inline constexpr std::int64_t total_shares = 1'000'000;

/// Tokens taken from a workspace's bucket for one request. A reservation is
/// settled exactly once, with the tokens that the request used.
struct reservation
{
    std::uint64_t id = 0;
    workspace_id workspace;
    std::int64_t tokens = 0;
    /// Epoch in which the tokens were taken.
    std::int64_t epoch = 0;

    auto operator<=>(const reservation&) const = default;
};

/// Instances (guests) that received shares in an epoch without being members of
/// it.
struct guest_list
{
    /// 0 when there are no guests.
    std::int64_t epoch = 0;
    /// Incarnations of all guests; empty when they are unknown.
    std::set<std::string> incarnations;

    auto operator<=>(const guest_list&) const = default;
};

} // namespace tarragonquay::limits
