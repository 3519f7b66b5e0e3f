#pragma once

#include <algorithm>
#include <cstdint>

namespace tarragonquay::dispatch
{

/// Measures how many prompt tokens an engine reads in a millisecond for one
/// model, from the times to the first event.
class prefill_rate
{
public:
    /// Tokens a millisecond that are assumed until something was measured.
    static constexpr double initial_tokens_per_ms = 30.0;
    /// Shorter prompts measure the fixed times instead of the reading.
    static constexpr std::int64_t least_sample_tokens = 1'000;

    /// `tokens` were to be read, including those of requests ahead.
    void observe(std::int64_t tokens, double elapsed_ms)
    {
        if (tokens < least_sample_tokens || elapsed_ms <= 0)
            return;
        const auto sample = std::clamp(static_cast<double>(tokens) / elapsed_ms,
            rate_ / largest_step, rate_ * largest_step);
        rate_ += newest_weight * (sample - rate_);
    }

    double tokens_per_ms() const { return rate_; }

private:
    /// Bounds what one odd sample, such as a wrong guess about the cache, can
    /// change.
    static constexpr double largest_step = 2.0;
    static constexpr double newest_weight = 0.05;

    double rate_ = initial_tokens_per_ms;
};

} // namespace tarragonquay::dispatch
