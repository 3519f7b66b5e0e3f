#pragma once

#include <algorithm>
#include <chrono>
#include <deque>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Forecasts the demand for one model. A load takes seconds, so a model with
/// rising demand needs its replicas before the demand arrives.
class demand_trend
{
public:
    /// Time over which the slope is measured. A shorter window mistakes single
    /// requests for a trend.
    static constexpr std::chrono::seconds window{3};
    /// Upper bound of the forecast as a multiple of the current demand.
    static constexpr double max_growth = 2.5;

    void add(double demand, time_point now)
    {
        samples_.push_back({demand, now});
        while (now - samples_.front().at > window)
            samples_.pop_front();
    }

    /// Demand in this many seconds, extrapolated by the least-squares line
    /// through the samples.
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

    // Slope of the least-squares line, in demand per second.
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
