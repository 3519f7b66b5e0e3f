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

/// Demand for a model of a service, and for one of its adapters.
struct demanded_model
{
    service_id service;
    model_id model;
    /// Empty for the model itself.
    adapter_id adapter;

    auto operator<=>(const demanded_model&) const = default;
};

/// Measures the engine time that requests ask for, per model and adapter.
class model_demand
{
public:
    /// Time constant. Longer ones follow a shift of demand too late, since a
    /// load takes seconds on top.
    static constexpr double average_s = 2.0;

    /// A request that needs this much engine time.
    void add(const demanded_model& of, double engine_ms, time_point now)
    {
        auto& at = values_[of];
        at.engine_ms_per_s = decayed(at, now) + engine_ms / average_s;
        at.updated_at = now;
    }

    /// Engine time in milliseconds a second; drops what nobody asks for.
    std::vector<std::pair<demanded_model, double>> rates(time_point now)
    {
        constexpr double least = 1e-3;
        std::vector<std::pair<demanded_model, double>> out;
        std::erase_if(values_, [&](const auto& each)
            { return decayed(each.second, now) < least; });
        for (const auto& [of, value] : values_)
            out.emplace_back(of, decayed(value, now));
        return out;
    }

private:
    struct value
    {
        double engine_ms_per_s = 0;
        time_point updated_at;
    };

    static double decayed(const value& of, time_point now)
    {
        const std::chrono::duration<double> age = now - of.updated_at;
        return of.engine_ms_per_s * std::exp(-age.count() / average_s);
    }

    std::map<demanded_model, value> values_;
};

} // namespace tarragonquay::gateway
