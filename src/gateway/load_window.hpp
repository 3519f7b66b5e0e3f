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
    void note_takeover(time_point now) { full_until_ = now + window; }

    /// Loads that may begin now.
    std::int64_t allowed(double loads_per_second, time_point now)
    {
        while (!begun_.empty() && now - begun_.front() >= window)
            begun_.pop_front();
        if (now < full_until_)
            return 0;
        const auto most = static_cast<std::int64_t>(
            loads_per_second *
            static_cast<double>(window / std::chrono::seconds(1)));
        return std::max<std::int64_t>(1, most) -
               static_cast<std::int64_t>(begun_.size());
    }

    void note_load(time_point now) { begun_.push_back(now); }

private:
    std::deque<time_point> begun_;
    time_point full_until_{};
};

} // namespace tarragonquay::gateway
