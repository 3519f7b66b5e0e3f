#pragma once

#include <algorithm>
#include <chrono>
#include <deque>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Follows the demand for one model and tells where it will be. A load takes
/// seconds, so a model whose demand is rising needs its replicas before the
/// demand is there.
class demand_trend
{
public:
    /// Time over which the slope is measured. Shorter ones take single requests
    /// for a trend.
    static constexpr std::chrono::seconds window{3};
    /// A rising demand is taken to grow to at most this many times its value.
    static constexpr double max_growth = 2.5;

    void add(double demand, time_point now)
    {
        samples_.push_back({demand, now});
        while (now - samples_.front().at > window)
            samples_.pop_front();
    }

    /// Demand after this many seconds, by the line through the values.
    double forecast(double seconds) const
    {
        if (samples_.empty())
            return 0;
        const auto latest = samples_.back().demand;
        return std::clamp(latest + slope() * seconds, 0.0, latest * max_growth);
    }

private:
    struct sample
    {
        double demand = 0;
        time_point at;
    };

    // Slope of the least-squares line, a second.
    double slope() const
    {
        double sum_t = 0;
        double sum_d = 0;
        double sum_tt = 0;
        double sum_td = 0;
        for (const auto& each : samples_)
        {
            const std::chrono::duration<double> t =
                each.at - samples_.front().at;
            sum_t += t.count();
            sum_d += each.demand;
            sum_tt += t.count() * t.count();
            sum_td += t.count() * each.demand;
        }
        const auto n = static_cast<double>(samples_.size());
        const auto spread = n * sum_tt - sum_t * sum_t;
        return spread <= 0 ? 0 : (n * sum_td - sum_t * sum_d) / spread;
    }

    std::deque<sample> samples_;
};

} // namespace tarragonquay::gateway
