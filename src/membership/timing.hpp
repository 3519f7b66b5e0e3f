#pragma once

#include "common/clock.hpp"
#include "membership/view_lease.hpp"

namespace tarragonquay::membership
{

inline constexpr duration heartbeat_interval = std::chrono::milliseconds(500);
/// A peer that sent nothing for this long gets a new connection.
inline constexpr duration reopen_after = std::chrono::seconds(2);
/// A member that sent nothing for this long is reported as silent.
inline constexpr duration suspicion_time = std::chrono::seconds(10);
/// Added to F, for clocks that run at different rates.
inline constexpr duration fencing_margin = std::chrono::seconds(1);
/// After this time an instance that has heard of nothing since holds no view
/// lease.
inline constexpr duration fencing_time = view_lease_validity + fencing_margin;

} // namespace tarragonquay::membership
