#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>

#include "common/clock.hpp"
#include "settings/gateway_settings.hpp"

namespace tarragonquay::gateway
{

/// Loads from the weight store that may start in one window.
struct load_limit
{
    /// What one lease holder starts.
    std::int64_t usual = 1;
    /// What the weight store tolerates.
    std::int64_t most = 1;
    std::chrono::milliseconds window{5'000};

    auto operator<=>(const load_limit&) const = default;

    static load_limit create(
        double loads_per_second, const settings::gateway_bounds& bounds)
    {
        constexpr double ms_per_s = 1'000;
        const auto loads = loads_per_second *
                           static_cast<double>(bounds.load_window_ms) /
                           ms_per_s;
        load_limit out;
        out.usual = std::max<std::int64_t>(1, static_cast<std::int64_t>(loads));
        out.most = std::max(
            out.usual, static_cast<std::int64_t>(
                           loads * bounds.load_overshoot + bounds.load_slack));
        out.window = std::chrono::milliseconds(bounds.load_window_ms);
        return out;
    }
};

/// Limits the loads from the weight store to its rate in every sliding window.
class load_window
{
public:
    /// Records that commands of a previous lease holder, which are not known
    /// here, may have started loads until then. While a window can contain such
    /// loads, only what the weight store tolerates beyond a holder's usual
    /// loads may start.
    void note_takeover(time_point previous_ended)
    {
        previous_ended_ = std::max(previous_ended_, previous_ended);
    }

    /// Number of loads that may start now.
    std::int64_t allowed(const load_limit& limit, time_point now)
    {
        while (
            !started_at_.empty() && now - started_at_.front() >= limit.window)
            started_at_.pop_front();
        const auto most = now < previous_ended_ + limit.window
                              ? limit.most - limit.usual
                              : limit.usual;
        return std::max<std::int64_t>(
            0, most - static_cast<std::int64_t>(started_at_.size()));
    }

    void note_load(time_point now) { started_at_.push_back(now); }

private:
    std::deque<time_point> started_at_;
    /// Far enough in the past for any window, also after its length is added.
    time_point previous_ended_ = time_point() - std::chrono::hours(1);
};

} // namespace tarragonquay::gateway
