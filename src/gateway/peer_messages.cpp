#include "gateway/peer_messages.hpp"

#include <algorithm>
#include <chrono>

namespace tarragonquay::gateway
{

namespace
{

/// Keeps a wrong message from overflowing a time point.
constexpr std::int64_t max_cold_ms = 1'000'000'000;

} // namespace

void write(const fleet::member& from, peer::Fleet_member& to)
{
    to.set_instance(from.id.str());
    to.set_incarnation(from.incarnation);
    to.set_heartbeat(from.heartbeat);
    to.set_availability_zone(from.availability_zone);
    to.set_peer_address(from.peer_address);
    to.set_entry_address(from.entry_address);
    to.set_ready(from.ready);
    to.set_processor_share(from.processor_share);
}

fleet::member read(const peer::Fleet_member& from)
{
    return {instance_id(from.instance()), from.incarnation(), from.heartbeat(),
        from.availability_zone(), from.peer_address(), from.entry_address(),
        from.ready(), from.processor_share()};
}

void write(const dispatch::evacuated_zones& from, peer::Evacuated_zones& to)
{
    to.set_version(from.version().version);
    to.set_era(from.version().era);
    for (const auto& each : from.zones())
        to.add_zones(each);
}

result<dispatch::evacuated_zones> read(const peer::Evacuated_zones& from)
{
    return dispatch::evacuated_zones::create({from.era(), from.version()},
        {from.zones().begin(), from.zones().end()});
}

void write(const fleet_report& from, peer::Gateway_heartbeat& to)
{
    to.set_instances(from.instances);
    for (const auto& each : from.demands)
    {
        auto& demand = *to.add_demands();
        demand.set_workspace(each.workspace.str());
        demand.set_units_per_second(each.units_per_second);
        demand.set_admitted_units(each.admitted_units);
    }
    for (const auto& [id, load] : from.loads)
    {
        auto& out = *to.add_loads();
        out.set_endpoint(id.str());
        out.set_waiting_tokens(load.waiting_tokens);
        out.set_requests(load.requests);
    }
    for (const auto& [key, rate] : from.models)
    {
        auto& out = *to.add_model_demands();
        out.set_service(key.service.str());
        out.set_model(key.model.str());
        out.set_adapter(key.adapter.str());
        out.set_tokens_per_second(rate);
    }
}

fleet_report read_report(const peer::Gateway_heartbeat& from)
{
    fleet_report out;
    out.incarnation = from.self().incarnation();
    out.instances = std::max<std::int64_t>(1, from.instances());
    for (const auto& each : from.demands())
        out.demands.push_back({workspace_id(each.workspace()),
            each.units_per_second(), each.admitted_units()});
    for (const auto& each : from.loads())
        out.loads.emplace_back(endpoint_id(each.endpoint()),
            dispatch::endpoint_load{each.waiting_tokens(), each.requests()});
    for (const auto& each : from.model_demands())
        out.models.emplace_back(
            demanded_model{service_id(each.service()), model_id(each.model()),
                adapter_id(each.adapter())},
            each.tokens_per_second());
    return out;
}

void write(const engine_residency& from, peer::Engine_residency& to)
{
    to.set_endpoint(from.endpoint.str());
    to.set_started_unix_ms(from.started_unix_ms);
    to.set_accepted_commands(from.accepted_commands);
    for (const auto& held : from.models)
    {
        auto& model = *to.add_models();
        model.set_model(held.model.str());
        for (const auto& adapter : held.adapters)
            model.add_adapters(adapter.str());
    }
}

engine_residency read(const peer::Engine_residency& from)
{
    engine_residency out{endpoint_id(from.endpoint()), from.started_unix_ms(),
        from.accepted_commands(), {}};
    for (const auto& held : from.models())
    {
        endpoints::loaded_model model;
        model.model = model_id(held.model());
        for (const auto& adapter : held.adapters())
            model.adapters.emplace(adapter);
        out.models.push_back(std::move(model));
    }
    return out;
}

void write(const limited_process& from, peer::Endpoint_limit& to)
{
    const auto& [process, limit] = from;
    to.mutable_process()->set_endpoint(process.id.str());
    to.mutable_process()->set_started_unix_ms(process.started_unix_ms);
    to.set_revision(limit.revision);
    if (limit.requests_per_second)
        to.set_requests_per_second(*limit.requests_per_second);
}

limited_process read(const peer::Endpoint_limit& from)
{
    dispatch::endpoint_limit limit;
    limit.revision = from.revision();
    if (from.has_requests_per_second() && from.requests_per_second() >= 0)
        limit.requests_per_second = from.requests_per_second();
    return {{endpoint_id(from.process().endpoint()),
                from.process().started_unix_ms()},
        limit};
}

void write(const cold_process& from, time_point now, peer::Cold_endpoint& to)
{
    const auto& [process, phase] = from;
    to.mutable_process()->set_endpoint(process.id.str());
    to.mutable_process()->set_started_unix_ms(process.started_unix_ms);
    to.set_revision(phase.revision);
    to.set_remaining_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(phase.until - now)
            .count());
}

cold_process read(const peer::Cold_endpoint& from, time_point now)
{
    const auto remaining =
        std::clamp<std::int64_t>(from.remaining_ms(), 0, max_cold_ms);
    return {{endpoint_id(from.process().endpoint()),
                from.process().started_unix_ms()},
        {from.revision(), now + std::chrono::milliseconds(remaining)}};
}

} // namespace tarragonquay::gateway
