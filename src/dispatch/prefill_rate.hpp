#pragma once

#include <algorithm>
#include <cstdint>

namespace tarragonquay::dispatch
{

/// Measures how many prompt tokens per millisecond an engine reads for one
/// model, based on the times to the first event.
class prefill_rate
{
public:
    /// Rate that is assumed before the first measurement.
    static constexpr double initial_tokens_per_ms = 30.0;
    /// With fewer tokens, fixed delays outweigh the time of reading.
    static constexpr std::int64_t min_sample_tokens = 1'000;

    /// Records that `tokens`, including those of requests ahead, were read
    /// within `elapsed_ms`.
    void observe(std::int64_t tokens, double elapsed_ms)
    {
        if (tokens < min_sample_tokens || elapsed_ms <= 0)
            return;
        const auto sample = std::clamp(static_cast<double>(tokens) / elapsed_ms,
            rate_ / max_step_factor, rate_ * max_step_factor);
        rate_ += newest_weight * (sample - rate_);
    }

    double tokens_per_ms() const { return rate_; }

private:
    /// Limits the effect of an outlier, such as one caused by a wrong
    /// prediction of the cache.
    static constexpr double max_step_factor = 2.0;
    static constexpr double newest_weight = 0.05;

    double rate_ = initial_tokens_per_ms;
};

} // namespace tarragonquay::dispatch
