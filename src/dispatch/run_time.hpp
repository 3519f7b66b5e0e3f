#pragma once

#include <algorithm>
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
    /// Larger sizes count as this one. A size is what a caller states, so a
    /// single request must not outweigh all others.
    static constexpr std::int64_t max_size = 1 << 16;
    static constexpr std::chrono::hours max_estimate{24};

    /// Records a run that has ended. Runs without a size are ignored.
    void observe(std::int64_t size, duration taken)
    {
        if (size <= 0)
            return;
        const auto weight = static_cast<double>(std::min(size, max_size));
        const auto taken_ms =
            std::chrono::duration<double, std::milli>(taken).count();
        const auto deviation_ms =
            size_ == 0 ? taken_ms / 2 : std::abs(taken_ms - mean_ms() * weight);
        size_ = decay * size_ + weight;
        taken_ms_ = decay * taken_ms_ + taken_ms;
        deviation_ms_ = decay * deviation_ms_ + deviation_ms;
    }

    /// A time that few runs of this size exceed; none before the first
    /// measurement.
    std::optional<duration> upper_estimate(std::int64_t size) const
    {
        if (size_ == 0 || size <= 0)
            return std::nullopt;
        const std::chrono::duration<double, std::milli> estimate(
            (mean_ms() + deviations * deviation_ms_ / size_) *
            static_cast<double>(std::min(size, max_size)));
        return std::chrono::duration_cast<duration>(
            std::min<std::chrono::duration<double, std::milli>>(
                estimate, max_estimate));
    }

private:
    // What is left of a measurement after the next one, and the distance of the
    // estimate from the mean in mean deviations, as in the retransmission timer
    // of TCP (RFC 6298).
    static constexpr double decay = 7.0 / 8;
    static constexpr double deviations = 4;

    double mean_ms() const { return taken_ms_ / size_; }

    // Decaying sums, so that large runs count for more than small ones.
    double size_ = 0;
    double taken_ms_ = 0;
    double deviation_ms_ = 0;
};

} // namespace tarragonquay::dispatch
