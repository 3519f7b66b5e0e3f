#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// Measures how long the runs of a kind of request take in proportion to their
/// sizes.
class run_time
{
public:
    /// Records a run that has ended. Runs without a size are ignored.
    void observe(std::int64_t size, duration taken)
    {
        if (size <= 0)
            return;
        const auto sample =
            std::chrono::duration<double, std::milli>(taken).count() /
            static_cast<double>(size);
        if (!measured_)
        {
            measured_ = true;
            mean_ms_ = sample;
            deviation_ms_ = sample / 2;
            return;
        }
        const auto difference = sample - mean_ms_;
        mean_ms_ += mean_weight * difference;
        deviation_ms_ +=
            deviation_weight * (std::abs(difference) - deviation_ms_);
    }

    /// A time that few runs of this size exceed; none before the first
    /// measurement.
    std::optional<duration> upper_estimate(std::int64_t size) const
    {
        if (!measured_ || size <= 0)
            return std::nullopt;
        const std::chrono::duration<double, std::milli> estimate(
            (mean_ms_ + deviations * deviation_ms_) *
            static_cast<double>(size));
        return std::chrono::duration_cast<duration>(estimate);
    }

private:
    // Weights of the newest run, and the distance of the estimate from the mean
    // in mean deviations, as in the retransmission timer of TCP (RFC 6298).
    static constexpr double mean_weight = 1.0 / 8;
    static constexpr double deviation_weight = 1.0 / 4;
    static constexpr double deviations = 4;

    bool measured_ = false;
    /// For one unit of the size.
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
};

} // namespace tarragonquay::dispatch
