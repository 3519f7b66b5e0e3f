#pragma once

#include <algorithm>
#include <chrono>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// Passive health check of one endpoint, based on the results of the requests
/// that were sent to it. Active checks are not used: an endpoint may fail
/// requests while its check succeeds.
class endpoint_health
{
public:
    /// Consecutive failures after which the endpoint is suspended. A single
    /// failure may be caused by one connection.
    static constexpr int failures_to_suspend = 2;
    /// Duration of the first suspension; each further one without an answer in
    /// between is twice as long.
    static constexpr std::chrono::milliseconds initial_suspension{500};
    static constexpr std::chrono::milliseconds max_suspension{4'000};

    /// Records an answer of the endpoint; `success` is false for an error of
    /// its own.
    void record_answer(bool success)
    {
        consecutive_failures_ = 0;
        suspension_ = initial_suspension;
        suspended_until_ = {};
        error_share_ += newest_weight * ((success ? 0.0 : 1.0) - error_share_);
    }

    /// Records a connection failure, a timeout, or an invalid answer.
    void record_failure(time_point now)
    {
        error_share_ += newest_weight * (1.0 - error_share_);
        if (++consecutive_failures_ < failures_to_suspend)
            return;
        suspended_until_ = now + suspension_;
        suspension_ = std::min(suspension_ * 2, max_suspension);
    }

    bool suspended(time_point now) const { return now < suspended_until_; }
    time_point suspended_until() const { return suspended_until_; }
    /// Moving average of the share of requests that failed, from 0 to 1.
    double error_share() const { return error_share_; }

private:
    /// Averages over about the last ten results.
    static constexpr double newest_weight = 0.1;

    int consecutive_failures_ = 0;
    double error_share_ = 0;
    std::chrono::milliseconds suspension_ = initial_suspension;
    time_point suspended_until_{};
};

} // namespace tarragonquay::dispatch
