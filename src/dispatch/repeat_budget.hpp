#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// Limits of the repeated sends to one service, summed over all instances.
struct repeat_limits
{
    /// Repeats per request in the window.
    double ratio = 0.2;
    std::int64_t window_ms = 10'000;
    /// Repeats beyond the ratio in a window, over all instances.
    double slack = 0;

    auto operator<=>(const repeat_limits&) const = default;
};

/// Counts requests and repeats of one service at one instance in a sliding
/// window. Each instance uses only its own requests and an equal part of the
/// slack, so that the sum over all instances stays within the limits without
/// coordination.
class repeat_budget
{
public:
    /// Fraction of the budget that is used; the rest allows for requests that
    /// are counted here but not where the limits are checked.
    static constexpr double usable_fraction = 0.8;

    void count_request(time_point now)
    {
        advance(now);
        ++requests_[current_];
    }

    /// Whether the budget has a repeat left.
    bool has_repeat(
        const repeat_limits& limits, std::int64_t instances, time_point now)
    {
        advance(now, limits.window_ms);
        const auto allowed =
            usable_fraction *
            (limits.ratio * static_cast<double>(sum(requests_)) +
                limits.slack /
                    static_cast<double>(std::max<std::int64_t>(1, instances)));
        return static_cast<double>(sum(repeats_)) + 1 <= allowed;
    }

    /// Takes one repeat from the budget; returns false when it is used up.
    bool take(
        const repeat_limits& limits, std::int64_t instances, time_point now)
    {
        if (!has_repeat(limits, instances, now))
            return false;
        ++repeats_[current_];
        return true;
    }

private:
    static constexpr std::size_t slots = 20;
    using counts = std::array<std::int64_t, slots>;

    static std::int64_t sum(const counts& values)
    {
        std::int64_t out = 0;
        for (const auto value : values)
            out += value;
        return out;
    }

    void advance(time_point now, std::int64_t window_ms = 0)
    {
        if (window_ms > 0)
            slot_length_ = std::chrono::milliseconds(window_ms) / slots;
        if (now - slot_begin_ > slot_length_ * 2 * slots)
            slot_begin_ = now - slot_length_ * 2 * slots;
        while (now - slot_begin_ >= slot_length_)
        {
            slot_begin_ += slot_length_;
            current_ = (current_ + 1) % slots;
            requests_[current_] = 0;
            repeats_[current_] = 0;
        }
    }

    counts requests_{};
    counts repeats_{};
    std::size_t current_ = 0;
    duration slot_length_ = std::chrono::milliseconds(500);
    time_point slot_begin_{};
};

} // namespace tarragonquay::dispatch
