#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Limits the loads from the weight store to its rate in every sliding window.
class load_window
{
public:
    /// Length of the window over which the rate is limited.
    static constexpr std::chrono::seconds window{5};

    /// Records that commands of a previous lease holder, which are not known
    /// here, may have started loads until now.
    void note_takeover(time_point now) { blocked_until_ = now + window; }

    /// Number of loads that may start now.
    std::int64_t allowed(double loads_per_second, time_point now)
    {
        while (!started_at_.empty() && now - started_at_.front() >= window)
            started_at_.pop_front();
        if (now < blocked_until_)
            return 0;
        const auto limit = static_cast<std::int64_t>(
            loads_per_second *
            static_cast<double>(window / std::chrono::seconds(1)));
        return std::max<std::int64_t>(1, limit) -
               static_cast<std::int64_t>(started_at_.size());
    }

    void note_load(time_point now) { started_at_.push_back(now); }

private:
    std::deque<time_point> started_at_;
    time_point blocked_until_{};
};

} // namespace tarragonquay::gateway
