#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "routing/types.hpp"

namespace tarragonquay::routing
{

/// Demand for a model, or for one of its adapters, at this instance.
struct demand_entry
{
    model_id model;
    /// Empty for requests without an adapter.
    adapter_id adapter;
    /// Tokens requested since the process started; the difference of two
    /// readings is the demand between them.
    std::int64_t tokens = 0;
    /// Moving average of the tokens requested per second.
    double tokens_per_second = 0;
    std::int64_t waiting = 0;
    /// Start of the longest wait; no value when nothing waits.
    std::optional<time_point> waiting_since;
};

/// Measures the demand by model and adapter.
class demand_meter
{
public:
    void requested(const request_spec& spec, time_point now);
    void started_waiting(const request_spec& spec, time_point now);
    void stopped_waiting(const request_spec& spec, time_point since);
    std::vector<demand_entry> entries(time_point now) const;

private:
    using key = std::pair<model_id, adapter_id>;
    struct counter
    {
        std::int64_t tokens = 0;
        double rate = 0;
        time_point updated_at;
        std::multiset<time_point> waits;
    };
    static double decayed(const counter& value, time_point now);

    std::map<key, counter> counters_;
};

} // namespace tarragonquay::routing
