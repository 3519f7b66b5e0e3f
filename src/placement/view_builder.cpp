#include "placement/view_builder.hpp"

#include <algorithm>

namespace tarragonquay::placement
{
namespace
{

replica_view& replica_of(
    engine_view& engine, const model_id& model, const std::string& version)
{
    for (auto& each : engine.replicas)
        if (each.model == model && each.version == version)
            return each;
    replica_view fresh;
    fresh.model = model;
    fresh.version = version;
    return engine.replicas.emplace_back(std::move(fresh));
}

using adapter_versions = std::map<adapter_id, std::string>;

void add_adapter(replica_view& replica, const ledger& accounts,
    const routing::resident_adapter& resident,
    const adapter_versions& configured)
{
    const auto wanted = configured.find(resident.adapter);
    if (wanted == configured.end() || resident.matches(wanted->second))
        replica.adapters.insert(resident.adapter);
    else
        replica.outdated_adapters.insert({resident.adapter, *resident.version,
            accounts.adapter_bytes(resident)});
}

void add_residents(engine_view& engine, const ledger& accounts,
    const routing::endpoint_report& report, const adapter_versions& configured)
{
    for (const auto& resident : report.models)
    {
        auto& replica = replica_of(engine, resident.model, resident.version);
        replica.bytes = resident.bytes;
        replica.ready = accounts.counts_as_ready(
            engine.id, resident.model, resident.version);
        replica.loading = resident.state == routing::residency_state::loading;
        replica.unloading =
            resident.state == routing::residency_state::unloading;
    }
    for (const auto& resident : report.adapters)
        for (auto& replica : engine.replicas)
            if (replica.model == resident.model)
                add_adapter(replica, accounts, resident, configured);
}

void add_intent(engine_view& engine, cluster_view& view, const intent& value,
    bool open, bool awaited)
{
    switch (value.kind)
    {
    case command_kind::load_model:
    {
        auto& replica = replica_of(engine, value.model, value.version);
        replica.bytes = std::max(replica.bytes, value.bytes);
        replica.loading = !replica.ready && open && awaited;
        view.loads_open += open && awaited ? 1 : 0;
        break;
    }
    case command_kind::unload_model:
    {
        auto& replica = replica_of(engine, value.model, value.version);
        replica.bytes = std::max(replica.bytes, value.bytes);
        replica.unloading = replica.unloading || open;
        view.unloads_open += open && awaited ? 1 : 0;
        break;
    }
    case command_kind::load_adapter:
        if (open)
            engine.adapters_loading.insert(value.adapter);
        view.adapter_loads_open += open && awaited ? 1 : 0;
        break;
    case command_kind::unload_adapter:
        if (open)
            engine.adapters_unloading.insert(value.adapter);
        break;
    }
}

std::vector<model_view> model_views(const view_inputs& inputs)
{
    std::map<model_id, model_view> models;
    for (const auto& each : inputs.models)
    {
        auto& out = models[each.id];
        out.id = each.id;
        out.version = each.version;
        out.bytes = each.bytes;
        constexpr double never_moved_s = 1e6;
        const auto moved = inputs.last_moved_at.find(each.id);
        out.unchanged_s =
            moved == inputs.last_moved_at.end()
                ? never_moved_s
                : std::chrono::duration<double>(inputs.now - moved->second)
                      .count();
    }
    for (const auto& each : inputs.adapters)
        if (const auto it = models.find(each.model); it != models.end())
            it->second.adapters.push_back(
                {each.id, each.version, each.bytes, 0, 0});
    for (const auto& each : inputs.demand)
    {
        const auto it = models.find(each.model);
        if (it == models.end())
            continue;
        auto& out = it->second;
        out.tokens_per_second += each.tokens_per_second;
        out.waiting += each.waiting;
        if (each.waiting_since)
            out.waiting_s = std::max(out.waiting_s,
                std::chrono::duration<double>(inputs.now - *each.waiting_since)
                    .count());
        for (auto& adapter : out.adapters)
            if (adapter.id == each.adapter)
            {
                adapter.tokens_per_second += each.tokens_per_second;
                adapter.waiting += each.waiting;
            }
    }
    std::vector<model_view> out;
    out.reserve(models.size());
    for (auto& [id, model] : models)
        out.push_back(std::move(model));
    return out;
}

} // namespace

cluster_view build_view(const ledger& accounts, const view_inputs& inputs)
{
    cluster_view view;
    view.models = model_views(inputs);
    adapter_versions configured;
    for (const auto& each : inputs.adapters)
        configured[each.id] = each.version;
    for (const auto& [id, account] : accounts.engines())
    {
        engine_view engine;
        engine.id = id;
        engine.usable = inputs.listed.contains(id) &&
                        !inputs.unusable.contains(id) && accounts.fresh(id) &&
                        !account.report->leaving;
        engine.may_return = inputs.listed.contains(id) && !engine.usable &&
                            !(account.report && account.report->leaving);
        engine.accepts_command = accounts.accepts_command(id);
        engine.one_command_at_a_time = !account.honours_fencing;
        engine.free_bytes = accounts.free_bytes(id);
        if (account.report)
        {
            engine.requests =
                std::int64_t(account.report->running) + account.report->waiting;
            add_residents(engine, accounts, *account.report, configured);
        }
        for (const auto& [command_id, value] : account.intents)
        {
            const bool awaited = inputs.awaited.contains(command_id);
            add_intent(engine, view, value, accounts.open(value), awaited);
            engine.blocked =
                engine.blocked || (!engine.accepts_command && engine.usable &&
                                      accounts.open(value) && !awaited);
        }
        view.engines.push_back(std::move(engine));
    }
    return view;
}

} // namespace tarragonquay::placement
