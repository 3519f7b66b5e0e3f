#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

#include "common/ids.hpp"

namespace tarragonquay::limits
{

/// All shares of one workspace, summed over members and transfers.
inline constexpr std::int64_t total_shares = 1'000'000;

/// Tokens taken from a workspace's bucket for one request; settled once.
struct reservation
{
    std::uint64_t id = 0;
    workspace_id workspace;
    std::int64_t tokens = 0;
    /// Epoch of the bucket that the tokens came from.
    std::int64_t epoch = 0;

    auto operator<=>(const reservation&) const = default;
};

/// Instances that got shares of an epoch without being members of it.
struct guest_list
{
    /// 0 when there are none.
    std::int64_t epoch = 0;
    /// All of them; empty when they are not known.
    std::set<std::string> incarnations;

    auto operator<=>(const guest_list&) const = default;
};

} // namespace tarragonquay::limits
