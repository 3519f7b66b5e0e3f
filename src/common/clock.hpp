#pragma once

#include <time.h>

#include <chrono>
#include <concepts>
#include <cstdint>

namespace tarragonquay
{

/// Point in time of the monotonic clock, used for deadlines and measurements.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of the current time. Classes that depend on the time take it as a
/// template parameter, so that tests can control it.
template <class Clock>
concept clock_source = requires(const Clock& clock)
{
    {
        clock.now()
        } -> std::convertible_to<time_point>;
};

/// The machine's monotonic clock.
class steady_clock_source
{
public:
    time_point now() const { return std::chrono::steady_clock::now(); }
};

/// Also counts the time during which the machine is suspended, unlike the
/// monotonic clock. For leases, which expire during a suspend as well.
class suspend_aware_clock
{
public:
    time_point now() const
    {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    }
};

/// Clock that tests advance explicitly.
class fake_clock
{
public:
    time_point now() const { return now_; }
    void advance(duration step) { now_ += step; }

private:
    // Starts after the epoch, so that a few seconds can be subtracted from it.
    time_point now_{std::chrono::hours(1)};
};

/// Milliseconds since the Unix epoch, for values that leave the process.
inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace tarragonquay
