#pragma once

#include <chrono>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::gateway
{

/// Identifies a model of a service, or one of its adapters, for which demand is
/// measured.
struct demanded_model
{
    service_id service;
    model_id model;
    /// Empty for the model itself.
    adapter_id adapter;

    auto operator<=>(const demanded_model&) const = default;
};

/// Measures the engine time that requests need, per model and adapter.
class model_demand
{
public:
    /// Time constant of the exponential average. A longer one follows a shift
    /// of demand too late, since a load takes further seconds.
    static constexpr double time_constant_s = 2.0;

    /// Adds a request that needs this much engine time.
    void add(const demanded_model& key, double engine_ms, time_point now)
    {
        auto& entry = values_[key];
        entry.engine_ms_per_s =
            decayed(entry, now) + engine_ms / time_constant_s;
        entry.updated_at = now;
    }

    /// Demand in milliseconds of engine time per second; drops entries whose
    /// demand has decayed to almost zero.
    std::vector<std::pair<demanded_model, double>> rates(time_point now)
    {
        constexpr double min_rate = 1e-3;
        std::vector<std::pair<demanded_model, double>> out;
        std::erase_if(values_, [&](const auto& each)
            { return decayed(each.second, now) < min_rate; });
        for (const auto& [key, value] : values_)
            out.emplace_back(key, decayed(value, now));
        return out;
    }

private:
    struct value
    {
        double engine_ms_per_s = 0;
        time_point updated_at;
    };

    static double decayed(const value& entry, time_point now)
    {
        const std::chrono::duration<double> age = now - entry.updated_at;
        return entry.engine_ms_per_s * std::exp(-age.count() / time_constant_s);
    }

    std::map<demanded_model, value> values_;
};

} // namespace tarragonquay::gateway
