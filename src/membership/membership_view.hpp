#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "catalog/types.hpp"

namespace tarragonquay::membership
{

/// The part of the applied configuration that the membership uses.
struct membership_view
{
    std::int64_t applied_revision = 0;
    std::vector<catalog::member> members;
    std::vector<catalog::member> previous_members;
    std::int64_t membership_revision = 0;
    std::int64_t epoch = 0;
    bool epoch_open = false;

    bool operator==(const membership_view&) const = default;
};

/// Whether `members` contains the same instance and incarnation as `wanted`.
inline bool contains(
    const std::vector<catalog::member>& members, const catalog::member& wanted)
{
    return std::any_of(members.begin(), members.end(),
        [&](const catalog::member& member)
        {
            return member.instance == wanted.instance &&
                   member.incarnation == wanted.incarnation;
        });
}

} // namespace tarragonquay::membership
