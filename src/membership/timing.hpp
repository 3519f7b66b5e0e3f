#pragma once

#include "common/clock.hpp"
#include "membership/view_lease.hpp"

namespace tarragonquay::membership
{

inline constexpr duration heartbeat_interval = std::chrono::milliseconds(500);
/// The connection to a peer that has sent nothing for this long is reopened.
inline constexpr duration reopen_after = std::chrono::seconds(2);
/// A member that has sent nothing for this long is reported as silent.
inline constexpr duration suspicion_time = std::chrono::seconds(10);
/// Added to the view lease validity to allow for clock drift.
inline constexpr duration fencing_margin = std::chrono::seconds(1);
/// An instance that has not received anything for this long can't hold a view
/// lease.
inline constexpr duration fencing_time = view_lease_validity + fencing_margin;

} // namespace tarragonquay::membership
