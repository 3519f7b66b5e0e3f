#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>

namespace tarragonquay::dispatch
{

/// The rate of requests that an endpoint accepts from all instances together,
/// as told among the instances. Each change that an instance hears from the
/// endpoint itself gets the next revision, so that no older word replaces a
/// newer one, whatever way and time it takes.
struct endpoint_limit
{
    /// 0 when the endpoint has never named a limit.
    std::int64_t revision = 0;
    /// No value when the endpoint takes any number.
    std::optional<double> requests_per_second;

    /// The limit after an answer of the endpoint.
    endpoint_limit after_answer(std::optional<double> named) const
    {
        return named == requests_per_second
                   ? *this
                   : endpoint_limit{revision + 1, named};
    }
    /// The newer of two limits. Of changes that two instances have heard at the
    /// same time, all instances choose the lower limit.
    endpoint_limit merged_with(const endpoint_limit& other) const
    {
        if (revision != other.revision)
            return revision > other.revision ? *this : other;
        return rate() <= other.rate() ? *this : other;
    }

    auto operator<=>(const endpoint_limit&) const = default;

private:
    double rate() const
    {
        return requests_per_second.value_or(
            std::numeric_limits<double>::infinity());
    }
};

} // namespace tarragonquay::dispatch
