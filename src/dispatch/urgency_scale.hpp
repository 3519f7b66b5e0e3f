#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// Ranks requests by the time that is left until their answers are due, in
/// comparison with the recent requests of the same service. Engines know few
/// levels of priority; with fixed boundaries between them, whether a long
/// prompt waits for a short one would depend on which side of a boundary their
/// routes' latency targets are.
class urgency_scale
{
public:
    static constexpr int levels = 4;
    static constexpr int least_urgent = levels - 1;

    /// Records a request that is answered in time within `left`.
    void add(duration left)
    {
        for (auto& each : shares_)
            each *= 1 - newest_weight;
        shares_[bin(left)] += newest_weight;
    }

    /// The level of such a request, 0 for the most urgent one: the share of
    /// the recent requests that are due earlier. A request that can't be
    /// answered in time yields to those that can.
    int level(duration left) const
    {
        if (left <= duration::zero())
            return least_urgent;
        double earlier = 0;
        double all = 0;
        for (std::size_t i = 0; i < bins; ++i)
        {
            earlier += i < bin(left) ? shares_[i] : 0;
            all += shares_[i];
        }
        return all <= 0 ? 0
                        : std::min(least_urgent,
                              static_cast<int>(levels * earlier / all));
    }

private:
    /// Averages over about the last 200 requests.
    static constexpr double newest_weight = 0.005;
    /// The first bin holds all times below 10 ms, the last one those from 40 s
    /// on.
    static constexpr std::size_t bins = 50;
    static constexpr double first_bin_ms = 10;
    static constexpr double bins_per_doubling = 4;

    static std::size_t bin(duration left)
    {
        const auto ms = std::chrono::duration<double, std::milli>(left).count();
        const auto index = 1 + bins_per_doubling *
                                   std::log2(std::max(ms, 1e-3) / first_bin_ms);
        return static_cast<std::size_t>(
            std::clamp(index, 0.0, static_cast<double>(bins - 1)));
    }

    std::array<double, bins> shares_{};
};

} // namespace tarragonquay::dispatch
