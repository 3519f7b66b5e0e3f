#include "placement/plan_draft.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace tarragonquay::placement
{
namespace
{

bool holds_outdated(const replica_view& replica, const adapter_id& adapter)
{
    return std::any_of(replica.outdated_adapters.begin(),
        replica.outdated_adapters.end(),
        [&](const outdated_adapter& each) { return each.id == adapter; });
}

// Whether the adapter is resident in any version.
bool holds(const replica_view& replica, const adapter_id& adapter)
{
    return replica.adapters.contains(adapter) ||
           holds_outdated(replica, adapter);
}

} // namespace

std::vector<plan_draft::idle_adapter> plan_draft::idle_adapters(
    const engine_view& engine) const
{
    std::vector<idle_adapter> out;
    for (const auto& replica : engine.replicas)
    {
        const auto it = index_.find(replica.model);
        if ((replica.adapters.empty() && replica.outdated_adapters.empty()) ||
            it == index_.end())
            continue;
        for (const auto& each : view_.models[it->second].adapters)
        {
            if (!is_idle(each) || engine.adapters_unloading.contains(each.id))
                continue;
            if (replica.adapters.contains(each.id))
                out.push_back({replica.model, each});
            for (const auto& old : replica.outdated_adapters)
                if (old.id == each.id)
                    out.push_back({replica.model,
                        {old.id, old.version, old.bytes, each.tokens_per_second,
                            each.waiting}});
        }
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
    engine.adapters_unloading.insert(which.demand.id);
    moves_.push_back({command_kind::unload_adapter, engine.id, which.model,
        which.demand.id, which.demand.version, which.demand.bytes, false});
}

bool plan_draft::has_slot(const engine_view& engine) const
{
    auto used = engine.adapters_loading.size();
    for (const auto& replica : engine.replicas)
        used += replica.adapters.size() + replica.outdated_adapters.size();
    return limits_.adapters_per_engine <= 0 ||
           static_cast<std::int64_t>(used) < limits_.adapters_per_engine;
}

void plan_draft::make_room_for_adapter(
    engine_view& engine, const adapter_demand& wanted)
{
    // Wait until an open unload has freed its memory.
    if (is_idle(wanted) || !engine.adapters_unloading.empty())
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

bool plan_draft::is_idle(const adapter_demand& adapter) const
{
    return adapter.waiting == 0 &&
           adapter.tokens_per_second < limits_.adapter_idle_below;
}

bool plan_draft::may_load_adapter(
    const engine_view& engine, const adapter_demand& wanted) const
{
    // An open unload could unload the adapter again right after the load.
    return engine.accepts_command &&
           !engine.adapters_loading.contains(wanted.id) &&
           !engine.adapters_unloading.contains(wanted.id) &&
           view_.adapter_loads_open < limits_.adapters_in_flight;
}

void plan_draft::load_adapter(
    engine_view& engine, const model_id& model, const adapter_demand& wanted)
{
    moves_.push_back({command_kind::load_adapter, engine.id, model, wanted.id,
        wanted.version, wanted.bytes, false});
    engine.free_bytes -= wanted.bytes;
    engine.adapters_loading.insert(wanted.id);
    engine.accepts_command = !engine.one_command_at_a_time;
    ++view_.adapter_loads_open;
}

void plan_draft::load_adapters()
{
    for (auto& engine : view_.engines)
    {
        if (!engine.usable)
            continue;
        for (const auto& replica : engine.replicas)
        {
            if (!replica.ready || replica.unloading ||
                !index_.contains(replica.model))
                continue;
            for (const auto& wanted : find(replica.model).adapters)
            {
                const bool has_demand =
                    wanted.waiting > 0 || wanted.tokens_per_second > 0;
                if (!has_demand || holds(replica, wanted.id) ||
                    !may_load_adapter(engine, wanted))
                    continue;
                if (engine.free_bytes < wanted.bytes || !has_slot(engine))
                {
                    make_room_for_adapter(engine, wanted);
                    continue;
                }
                load_adapter(engine, replica.model, wanted);
            }
        }
    }
}

plan_draft::adapter_copies plan_draft::copies_of(
    const model_id& model, const adapter_demand& wanted) const
{
    adapter_copies out;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        const auto& engine = view_.engines[i];
        if (!engine.usable)
            continue;
        const bool unloading = engine.adapters_unloading.contains(wanted.id);
        // A command that was lost at a blocked engine stays open until the
        // engine restarts.
        out.in_progress =
            out.in_progress ||
            (!engine.blocked &&
                (unloading || engine.adapters_loading.contains(wanted.id)));
        for (const auto& replica : engine.replicas)
        {
            if (unloading || replica.model != model || !replica.ready ||
                replica.unloading)
                continue;
            const bool current = replica.adapters.contains(wanted.id);
            out.current += current ? 1 : 0;
            for (const auto& old : replica.outdated_adapters)
                if (old.id == wanted.id)
                    (current ? out.surplus : out.outdated).push_back({i, old});
            if (!holds(replica, wanted.id) && !engine.blocked &&
                engine.free_bytes >= wanted.bytes && has_slot(engine))
                out.engines_with_room.push_back(i);
        }
    }
    return out;
}

void plan_draft::unload_outdated_adapter(
    const model_id& model, const std::vector<outdated_copy>& copies)
{
    for (const auto& [i, old] : copies)
        if (view_.engines[i].accepts_command)
            return unload_adapter(view_.engines[i],
                {model, {old.id, old.version, old.bytes, 0, 0}});
}

void plan_draft::roll_out_adapter(
    const model_id& model, const adapter_demand& wanted)
{
    const auto copies = copies_of(model, wanted);
    if (copies.in_progress)
        return;
    if (!copies.surplus.empty())
        return unload_outdated_adapter(model, copies.surplus);
    const bool has_demand = wanted.waiting > 0 || wanted.tokens_per_second > 0;
    if (!copies.engines_with_room.empty() &&
        (has_demand || copies.current == 0))
    {
        // Load the new version on another engine before unloading an old one.
        for (const auto i : copies.engines_with_room)
            if (may_load_adapter(view_.engines[i], wanted))
                return load_adapter(view_.engines[i], model, wanted);
        return;
    }
    if (copies.current > 0 || copies.outdated.size() > 1)
        return unload_outdated_adapter(model, copies.outdated);
    // The only copy is unloaded when it is not in use. Requests that arrive
    // before the new version is loaded have to wait.
    if (!copies.outdated.empty() && wanted.waiting == 0 &&
        (is_idle(wanted) ||
            view_.engines[copies.outdated.front().engine].requests == 0))
        unload_outdated_adapter(model, copies.outdated);
}

void plan_draft::roll_out_adapters()
{
    // Usually empty, which makes the rest cheap.
    std::set<std::pair<model_id, adapter_id>> outdated;
    for (const auto& engine : view_.engines)
        if (engine.usable)
            for (const auto& replica : engine.replicas)
                for (const auto& old : replica.outdated_adapters)
                    outdated.emplace(replica.model, old.id);
    for (const auto& [model, adapter] : outdated)
    {
        if (!index_.contains(model))
            continue;
        for (const auto& wanted : find(model).adapters)
            if (wanted.id == adapter)
                roll_out_adapter(model, wanted);
    }
}

} // namespace tarragonquay::placement
