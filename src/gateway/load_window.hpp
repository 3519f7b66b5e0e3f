#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Keeps the loads from the weight store within its rate in every window.
class load_window
{
public:
    /// The rate is judged over this time.
    static constexpr std::chrono::seconds window{5};

    /// Notes that commands of an earlier holder, which are not known here, may
    /// have begun loads until now.
    void note_takeover(time_point now) { blocked_until_ = now + window; }

    /// Loads that may begin now.
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
