#pragma once

#include <algorithm>
#include <chrono>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// Judges one endpoint by the results of the requests that were sent to it.
/// Health checks say nothing here: an endpoint may fail requests while its
/// check succeeds.
class endpoint_health
{
public:
    /// Failures in a row after which the endpoint gets no requests for a while.
    /// One may be an accident of a single connection.
    static constexpr int failures_to_suspend = 2;
    /// First suspension; each later one in a row is twice as long.
    static constexpr std::chrono::milliseconds first_suspension{500};
    static constexpr std::chrono::milliseconds longest_suspension{4'000};

    /// The endpoint answered, also with an error of its own.
    void record_answer(bool success)
    {
        failures_in_row_ = 0;
        suspension_ = first_suspension;
        suspended_until_ = {};
        error_share_ += newest_weight * ((success ? 0.0 : 1.0) - error_share_);
    }

    /// No connection, no answer in time, or an answer that can't be used.
    void record_failure(time_point now)
    {
        error_share_ += newest_weight * (1.0 - error_share_);
        if (++failures_in_row_ < failures_to_suspend)
            return;
        suspended_until_ = now + suspension_;
        suspension_ = std::min(suspension_ * 2, longest_suspension);
    }

    bool suspended(time_point now) const { return now < suspended_until_; }
    time_point suspended_until() const { return suspended_until_; }
    /// Share of the latest requests that failed, from 0 to 1.
    double error_share() const { return error_share_; }

private:
    /// About the last ten results count.
    static constexpr double newest_weight = 0.1;

    int failures_in_row_ = 0;
    double error_share_ = 0;
    std::chrono::milliseconds suspension_ = first_suspension;
    time_point suspended_until_{};
};

} // namespace tarragonquay::dispatch
