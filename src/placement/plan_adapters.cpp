#include "placement/plan_draft.hpp"

#include <algorithm>

namespace tarragonquay::placement
{

std::vector<plan_draft::idle_adapter> plan_draft::idle_adapters(
    const engine_view& engine) const
{
    std::vector<idle_adapter> out;
    for (const auto& replica : engine.replicas)
    {
        const auto it = index_.find(replica.model);
        if (replica.adapters.empty() || it == index_.end())
            continue;
        for (const auto& each : view_.models[it->second].adapters)
            if (replica.adapters.contains(each.id) && each.waiting == 0 &&
                each.tokens_per_second < limits_.adapter_idle_below &&
                !engine.adapters_going.contains(each.id))
                out.push_back({replica.model, each});
    }
    std::stable_sort(out.begin(), out.end(),
        [](const idle_adapter& a, const idle_adapter& b)
        { return a.demand.tokens_per_second < b.demand.tokens_per_second; });
    return out;
}

void plan_draft::unload_adapter(engine_view& engine, const idle_adapter& which)
{
    if (!engine.accepts_command)
        return;
    engine.accepts_command = !engine.one_command_at_a_time;
    engine.adapters_going.insert(which.demand.id);
    moves_.push_back({command_kind::unload_adapter, engine.id, which.model,
        which.demand.id, which.demand.version, which.demand.bytes, false});
}

bool plan_draft::has_slot(const engine_view& engine) const
{
    auto used = engine.adapters_coming.size();
    for (const auto& replica : engine.replicas)
        used += replica.adapters.size();
    return limits_.adapters_per_engine <= 0 ||
           static_cast<std::int64_t>(used) < limits_.adapters_per_engine;
}

void plan_draft::make_room_for_adapter(
    engine_view& engine, const adapter_demand& wanted)
{
    const bool idle = wanted.waiting == 0 &&
                      wanted.tokens_per_second < limits_.adapter_idle_below;
    // An unload that is under way shows first what it brings.
    if (idle || !engine.adapters_going.empty())
        return;
    const auto options = idle_adapters(engine);
    auto free = engine.free_bytes;
    std::size_t chosen = 0;
    while (chosen < options.size() && (chosen == 0 || free < wanted.bytes))
        free += options[chosen++].demand.bytes;
    if (free < wanted.bytes)
        return;
    for (std::size_t i = 0; i < chosen; ++i)
        unload_adapter(engine, options[i]);
}

void plan_draft::load_adapters()
{
    for (auto& engine : view_.engines)
    {
        if (!engine.usable)
            continue;
        for (const auto& replica : engine.replicas)
        {
            if (!replica.ready || replica.going ||
                !index_.contains(replica.model))
                continue;
            for (const auto& wanted : find(replica.model).adapters)
            {
                const bool asked =
                    wanted.waiting > 0 || wanted.tokens_per_second > 0;
                if (!asked || !engine.accepts_command ||
                    replica.adapters.contains(wanted.id) ||
                    engine.adapters_coming.contains(wanted.id) ||
                    view_.adapter_loads_open >= limits_.adapters_in_flight)
                    continue;
                if (engine.free_bytes < wanted.bytes || !has_slot(engine))
                {
                    make_room_for_adapter(engine, wanted);
                    continue;
                }
                moves_.push_back(
                    {command_kind::load_adapter, engine.id, replica.model,
                        wanted.id, wanted.version, wanted.bytes, false});
                engine.free_bytes -= wanted.bytes;
                engine.adapters_coming.insert(wanted.id);
                engine.accepts_command = !engine.one_command_at_a_time;
                ++view_.adapter_loads_open;
            }
        }
    }
}

} // namespace tarragonquay::placement
