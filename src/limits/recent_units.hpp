#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/clock.hpp"

namespace tarragonquay::limits
{

/// Units counted in slots of 250 ms, over the last nine seconds: the window of
/// a limit and the time that reports may take.
class recent_units
{
public:
    static constexpr std::chrono::milliseconds slot_time{250};
    static constexpr std::int64_t slots = 36;

    void add(double units, time_point now) { slot(now) += units; }
    /// Replaces the units of the current slot.
    void put(double units, time_point now) { slot(now) = units; }

    /// Sum of the slots whose age in slots is within [`from`, `to`); the
    /// current slot has age 0.
    double sum(std::int64_t from, std::int64_t to, time_point now) const;
    /// Average per second, weighted by e^(-age / `time_constant_s`), of the
    /// slots of at least the age `from`.
    double average(
        std::int64_t from, double time_constant_s, time_point now) const;

private:
    static std::int64_t index(time_point now)
    {
        return now.time_since_epoch() / slot_time;
    }
    /// The current slot, after the slots that have expired were cleared.
    double& slot(time_point now);
    /// Units of the slot of this age; 0 when it holds older ones.
    double at(std::int64_t age, std::int64_t current) const;

    std::array<double, static_cast<std::size_t>(slots)> units_{};
    std::int64_t latest_ = 0;
};

} // namespace tarragonquay::limits
