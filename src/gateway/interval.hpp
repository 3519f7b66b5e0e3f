#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Longest interval that is taken from a configuration or a caller.
inline constexpr std::chrono::milliseconds max_interval{std::chrono::hours(24)};

/// Returns the end of an interval. Intervals of a configuration or a caller can
/// have any length; longer ones than `max_interval` would overflow the clock.
inline time_point end_of_interval(time_point from, std::int64_t interval_ms)
{
    return from + std::chrono::milliseconds(std::clamp<std::int64_t>(
                      interval_ms, 0, max_interval.count()));
}

} // namespace tarragonquay::gateway
