#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// How many requests an endpoint with a given rate may get from all instances
/// together in any window: rate x window x overshoot + slack.
struct request_bound
{
    duration window{};
    double overshoot = 1;
    double slack = 0;
    /// Requests that are sent within `window` + `arrival_spread` may arrive
    /// within `window`, since some of them wait for a connection.
    duration arrival_spread{};
    /// Left free in a fleet with more instances than places, where one holder
    /// may replace another before the latter knows.
    std::size_t free_places = 0;

    double allowed(double rate) const
    {
        return rate * seconds(window) * overshoot + slack;
    }
    /// Requests that instances may send at once, beyond those that come at the
    /// rate.
    double excess(double rate) const
    {
        return rate * ((overshoot - 1) * seconds(window) -
                          seconds(arrival_spread)) +
               slack;
    }
    /// The largest rate that keeps the bound when each of the holders sends one
    /// request at once.
    double sustainable_rate(double rate, std::size_t holders) const
    {
        if (excess(rate) >= 1)
            return rate;
        const auto at_once = static_cast<double>(holders);
        return std::clamp(
            (allowed(rate) - at_once) / seconds(window + arrival_spread), 0.0,
            rate);
    }
    /// Unused places of this time may be used at once, where the part of an
    /// instance is larger. Uses a quarter of what the overshoot leaves.
    duration max_burst() const
    {
        constexpr double used_part = 0.25;
        const auto left =
            (overshoot - 1) * seconds(window) - seconds(arrival_spread);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::max(0.0, left) * used_part));
    }

    auto operator<=>(const request_bound&) const = default;

private:
    static double seconds(duration value)
    {
        return std::chrono::duration<double>(value).count();
    }
};

/// The bound of the limits that endpoints name.
inline constexpr request_bound advertised_limit_bound{
    std::chrono::seconds(4), 1.5, 5, duration::zero(), 2};

/// The bound of an endpoint that warms up. No place is left free, because a
/// holder waits until all instances know of it (see recent_fleets).
inline constexpr request_bound warm_up_bound(double overshoot, double slack)
{
    // A connection within the site is open within a few milliseconds; the rest
    // covers a thread that is busy meanwhile.
    constexpr std::chrono::milliseconds arrival_spread{100};
    return {std::chrono::seconds(1), overshoot, slack, arrival_spread, 0};
}

} // namespace tarragonquay::dispatch
