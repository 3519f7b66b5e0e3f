#pragma once

#include <time.h>

#include <chrono>
#include <concepts>
#include <cstdint>

namespace tarragonquay
{

/// Deadlines and measurements use the monotonic clock.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of the current time; decisions take it as a template parameter.
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

/// Counts the time that the machine was suspended as well, which the
/// monotonic clock does not. For leases, which lapse meanwhile.
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

/// A clock that tests move by hand.
class fake_clock
{
public:
    time_point now() const { return now_; }
    void advance(duration step) { now_ += step; }

private:
    // Starts away from the epoch so that "now minus some seconds" is valid.
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
