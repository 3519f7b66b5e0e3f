#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::routing
{

/// Measures how many tokens of a queue are dispatched per second while requests
/// wait.
class dispatch_rate_meter
{
public:
    void dispatched(std::int64_t tokens) { tokens_ += tokens; }

    /// Must be called before the queue changes; `backlog` is whether requests
    /// wait. Windows without a backlog are discarded, since they do not show
    /// the capacity.
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

    /// Tokens per second; no value when unknown.
    std::optional<double> rate() const { return rate_; }

private:
    std::optional<double> rate_;
    std::optional<time_point> window_start_;
    time_point measured_at_{};
    std::int64_t tokens_ = 0;
};

/// Time until this many tokens are dispatched; at most an hour.
inline duration dispatch_time(std::int64_t tokens, double tokens_per_second)
{
    // Avoids an overflow of the duration at a rate near zero.
    constexpr double max_s = 3600;
    constexpr double min_rate = 1e-3;
    const auto seconds = std::min(max_s,
        static_cast<double>(tokens) / std::max(min_rate, tokens_per_second));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

/// Measures the recent dispatch rate of each workspace, and computes which part
/// of a queue's rate is available to one of them.
class usage_meter
{
public:
    void dispatched(
        const workspace_id& workspace, std::int64_t tokens, time_point now)
    {
        auto& value = usage_[workspace];
        value.rate =
            decayed(value, now) + static_cast<double>(tokens) / averaging_s;
        value.updated_at = now;
    }

    /// Tokens per second that the other workspaces leave, but at least an equal
    /// share, which the fair queue guarantees whatever the others request.
    double available(
        const workspace_id& workspace, double rate, time_point now) const
    {
        double others = 0;
        int active = 1;
        for (const auto& [id, value] : usage_)
        {
            const auto used = decayed(value, now);
            if (id == workspace || used < min_active_rate)
                continue;
            others += used;
            ++active;
        }
        return std::max(rate / active, rate - others);
    }

private:
    static constexpr double averaging_s = 5.0;
    static constexpr double min_active_rate = 1.0;
    struct usage
    {
        double rate = 0;
        time_point updated_at;
    };
    static double decayed(const usage& value, time_point now)
    {
        const std::chrono::duration<double> age = now - value.updated_at;
        return value.rate * std::exp(-age.count() / averaging_s);
    }

    std::map<workspace_id, usage> usage_;
};

/// Moving average of the time between the dispatch of a request and its end,
/// scaled by the maximum output. The average accounts for answers that end
/// before their maximum, as most do.
class service_time
{
public:
    void completed(duration taken, std::int64_t output_tokens, time_point now)
    {
        constexpr double newest_weight = 0.05;
        const std::chrono::duration<double> seconds = taken;
        const auto weight = known(now) ? newest_weight : 1.0;
        seconds_ =
            seconds_.value_or(0) * (1 - weight) + seconds.count() * weight;
        tokens_ = tokens_ * (1 - weight) +
                  static_cast<double>(output_tokens) * weight;
        measured_at_ = now;
    }

    /// Whether a request ended recently. Without this limit, an estimate that
    /// refuses every request could never be corrected.
    bool known(time_point now) const
    {
        constexpr std::chrono::seconds expiry{5};
        return seconds_ && now - measured_at_ <= expiry;
    }

    /// Zero when no recent measurement exists.
    duration expected(std::int64_t output_tokens, time_point now) const
    {
        if (!known(now))
            return duration::zero();
        auto seconds = seconds_.value_or(0);
        // A maximum far above the usual one says little about the length of the
        // answer; without this bound such requests were always refused. With a
        // bound of 4, answers of six times the usual length were started
        // although they missed their deadline.
        constexpr double max_ratio = 8.0;
        if (output_tokens > 0 && tokens_ >= 1)
            seconds *= std::min(
                max_ratio, static_cast<double>(output_tokens) / tokens_);
        constexpr double max_s = 3600;
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::min(max_s, seconds)));
    }

private:
    std::optional<double> seconds_;
    double tokens_ = 0;
    time_point measured_at_{};
};

} // namespace tarragonquay::routing
