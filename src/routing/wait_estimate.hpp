#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "common/clock.hpp"

namespace tarragonquay::routing
{

/// Measures how many tokens of a queue are dispatched in a second while
/// requests wait, and estimates waiting times from that.
class wait_estimate
{
public:
    void dispatched(std::int64_t tokens) { tokens_ += tokens; }

    /// Call before a change of the queue; `backlog` tells whether requests
    /// wait. A window without a backlog says nothing about the capacity.
    void observe(bool backlog, time_point now)
    {
        using namespace std::chrono_literals;
        constexpr duration window = 500ms;
        constexpr double newest_weight = 0.3;
        // Without a backlog for this long, the measured rate is out of date.
        constexpr duration expiry = 30s;
        if (!backlog)
        {
            window_start_.reset();
            tokens_ = 0;
            if (now - measured_at_ > expiry)
                rate_.reset();
            return;
        }
        if (!window_start_)
        {
            window_start_ = now;
            tokens_ = 0;
            return;
        }
        const std::chrono::duration<double> length = now - *window_start_;
        if (length < window)
            return;
        const auto measured = static_cast<double>(tokens_) / length.count();
        rate_ = rate_ ? *rate_ + newest_weight * (measured - *rate_) : measured;
        measured_at_ = now;
        window_start_ = now;
        tokens_ = 0;
    }

    /// Time until this many tokens are dispatched; no value when unknown.
    std::optional<duration> time_for(std::int64_t tokens) const
    {
        if (!rate_)
            return std::nullopt;
        // Avoids an overflow of the duration at a rate near zero.
        constexpr double longest_s = 3600;
        const auto seconds = std::min(
            longest_s, static_cast<double>(tokens) / std::max(1e-3, *rate_));
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds));
    }

private:
    std::optional<double> rate_;
    std::optional<time_point> window_start_;
    time_point measured_at_{};
    std::int64_t tokens_ = 0;
};

} // namespace tarragonquay::routing
