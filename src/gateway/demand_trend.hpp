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
    static constexpr double largest_growth = 2.5;

    void add(double demand, time_point now)
    {
        values_.push_back({demand, now});
        while (now - values_.front().at > window)
            values_.pop_front();
    }

    /// Demand after this many seconds, by the line through the values.
    double after(double seconds) const
    {
        if (values_.empty())
            return 0;
        const auto latest = values_.back().demand;
        return std::clamp(
            latest + slope() * seconds, 0.0, latest * largest_growth);
    }

private:
    struct value
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
        for (const auto& each : values_)
        {
            const std::chrono::duration<double> t =
                each.at - values_.front().at;
            sum_t += t.count();
            sum_d += each.demand;
            sum_tt += t.count() * t.count();
            sum_td += t.count() * each.demand;
        }
        const auto n = static_cast<double>(values_.size());
        const auto spread = n * sum_tt - sum_t * sum_t;
        return spread <= 0 ? 0 : (n * sum_td - sum_t * sum_d) / spread;
    }

    std::deque<value> values_;
};

} // namespace tarragonquay::gateway
