#include "routing/demand.hpp"

#include <cmath>

namespace tarragonquay::routing
{
namespace
{

// Time constant of the moving average. Short compared with an hour, in which
// demand can change tenfold; long compared with the seconds that loading a
// model takes.
constexpr double averaging_s = 15.0;

} // namespace

double demand_meter::decayed(const counter& value, time_point now)
{
    const std::chrono::duration<double> age = now - value.updated_at;
    return value.rate * std::exp(-age.count() / averaging_s);
}

void demand_meter::requested(const request_spec& spec, time_point now)
{
    if (spec.model.empty())
        return;
    auto& value = counters_[{spec.model, spec.adapter}];
    value.rate = decayed(value, now) +
                 static_cast<double>(spec.cost_tokens) / averaging_s;
    value.updated_at = now;
    value.tokens += spec.cost_tokens;
}

void demand_meter::started_waiting(const request_spec& spec, time_point now)
{
    if (!spec.model.empty())
        counters_[{spec.model, spec.adapter}].waits.insert(now);
}

void demand_meter::stopped_waiting(const request_spec& spec, time_point since)
{
    const auto it = counters_.find({spec.model, spec.adapter});
    if (it == counters_.end())
        return;
    const auto wait = it->second.waits.find(since);
    if (wait != it->second.waits.end())
        it->second.waits.erase(wait);
}

std::vector<demand_entry> demand_meter::entries(time_point now) const
{
    std::vector<demand_entry> out;
    for (const auto& [id, value] : counters_)
    {
        demand_entry entry{id.first, id.second, value.tokens,
            decayed(value, now), static_cast<std::int64_t>(value.waits.size()),
            std::nullopt};
        if (!value.waits.empty())
            entry.waiting_since = *value.waits.begin();
        out.push_back(std::move(entry));
    }
    return out;
}

} // namespace tarragonquay::routing
