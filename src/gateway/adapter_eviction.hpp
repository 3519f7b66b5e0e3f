#pragma once

#include <chrono>
#include <cmath>
#include <map>

#include "common/clock.hpp"
#include "gateway/model_demand.hpp"

namespace tarragonquay::gateway
{

/// Decides which adapters may be unloaded for requested ones. An engine unloads
/// an adapter that is in use only when its streams have ended, and accepts no
/// other command until then, so adapters that are probably not in use are
/// preferred.
class adapter_eviction
{
public:
    /// Approximate time for which a request uses its adapter.
    static constexpr double use_s = 2.0;
    /// A request that has been waiting for this long may replace an adapter in
    /// use, so that a rarely requested adapter gets its turn.
    static constexpr std::chrono::milliseconds replacement_delay{1'000};
    /// A request that is not repeated for this long is forgotten; waiting
    /// requests are repeated several times a second, callers return later.
    static constexpr std::chrono::milliseconds retention{2'000};

    /// Whether an adapter with this demand, in requests per second as averaged
    /// by model_demand, is probably in use: its latest request came within
    /// `use_s`.
    static bool is_in_use(double demand)
    {
        constexpr auto tau = model_demand::time_constant_s;
        return demand >= std::exp(-use_s / tau) / tau;
    }

    /// Records a request for an adapter that no engine holds.
    void note_request(const demanded_model& requested, time_point now)
    {
        std::erase_if(waiting_, [now](const auto& each)
            { return now - each.second.latest >= retention; });
        waiting_.emplace(requested, wait{now, now}).first->second.latest = now;
    }
    void note_loaded(const demanded_model& loaded) { waiting_.erase(loaded); }

    /// Whether an adapter with this demand may be unloaded for the requested
    /// one.
    bool may_evict(
        const demanded_model& requested, double demand, time_point now) const
    {
        if (!is_in_use(demand))
            return true;
        const auto found = waiting_.find(requested);
        return found != waiting_.end() &&
               now - found->second.since >= replacement_delay;
    }

private:
    struct wait
    {
        time_point since;
        time_point latest;
    };

    std::map<demanded_model, wait> waiting_;
};

} // namespace tarragonquay::gateway
