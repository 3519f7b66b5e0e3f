#include "gateway/peer_link.hpp"

#include <chrono>
#include <utility>

#include "peer.pb.h"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// Documents are asked for at most this often; an answer takes some
/// milliseconds.
constexpr milliseconds documents_request_interval{200};

/// One request for an adapter is enough for all that wait for it; it takes some
/// 20 ms to be there.
constexpr milliseconds adapter_request_interval{60};

void write(const fleet::member& from, peer::Fleet_member& to)
{
    to.set_instance(from.id.str());
    to.set_incarnation(from.incarnation);
    to.set_heartbeat(from.heartbeat);
    to.set_availability_zone(from.availability_zone);
    to.set_peer_address(from.peer_address);
    to.set_entry_address(from.entry_address);
    to.set_ready(from.ready);
}

fleet::member read(const peer::Fleet_member& from)
{
    return {instance_id(from.instance()), from.incarnation(), from.heartbeat(),
        from.availability_zone(), from.peer_address(), from.entry_address(),
        from.ready()};
}

demanded_model read(const peer::Model_demand& from)
{
    return {service_id(from.service()), model_id(from.model()),
        adapter_id(from.adapter())};
}

} // namespace

result<void> peer_link::start(std::int64_t incarnation)
{
    auto made = peering::transport::create(on_.io, on_.settings.listen.peers,
        on_.settings.instance, std::to_string(incarnation),
        [this](const peer::Envelope& message) { receive(message); });
    if (!made)
        return tl::unexpected<error>(made.error());
    transport_ = std::move(*made);
    return {};
}

void peer_link::send(const fleet::member& to, peer::Envelope message)
{
    if (!transport_)
        return;
    auto sent = transport_->set_peer(to.id, to.peer_address);
    if (sent)
        sent = transport_->send(to.id, std::move(message));
    if (!sent)
        on_.log.info("peer_send_failed",
            {{"peer", to.id.str()}, {"reason", sent.error().message()}});
}

peer::Gateway_heartbeat peer_link::make_heartbeat(time_point now)
{
    peer::Gateway_heartbeat out;
    write(on_.roster.self(), *out.mutable_self());
    for (const auto& each : on_.roster.others())
        write(each, *out.add_others());
    out.set_configuration_version(documents_.configuration_version());
    out.set_endpoints_version(documents_.directory_version());
    out.set_placement_fencing(placement_fencing_);
    for (const auto& each : on_.limiter.own_demands(now))
    {
        auto& demand = *out.add_demands();
        demand.set_workspace(each.workspace.str());
        demand.set_units_per_second(each.units_per_second);
        demand.set_admitted_units(each.admitted_units);
    }
    for (const auto& [id, load] : on_.board.own_loads())
    {
        auto& told = *out.add_loads();
        told.set_endpoint(id.str());
        told.set_waiting_tokens(load.waiting_tokens);
        told.set_requests(load.requests);
    }
    for (const auto& [of, rate] : on_.demand.rates(now))
    {
        auto& told = *out.add_model_demands();
        told.set_service(of.service.str());
        told.set_model(of.model.str());
        told.set_adapter(of.adapter.str());
        told.set_tokens_per_second(rate);
    }
    return out;
}

void peer_link::tick(time_point now, std::int64_t placement_fencing)
{
    placement_fencing_ = placement_fencing;
    on_.roster.set_ready(on_.ready());
    on_.roster.beat();
    for (const auto& gone : on_.roster.expire(now))
    {
        on_.log.warning("peer_lost",
            {{"peer", gone.id.str()}, {"address", gone.peer_address}});
        on_.limiter.lose_peer(gone.id, now);
        on_.board.erase_peer(gone.id);
        if (on_model_demand_)
            on_model_demand_(gone.id, {});
        if (transport_)
            transport_->remove_peer(gone.id);
    }
    peer::Envelope message;
    *message.mutable_gateway_heartbeat() = make_heartbeat(now);
    for (const auto& each : on_.roster.receivers(fan_out, on_.random))
        send(each, message);
    send_to_seeds(message);
}

void peer_link::send_to_seeds(const peer::Envelope& message)
{
    // Seeds may be gone; once others are known, news comes from them.
    if (!transport_ || on_.roster.size() > 1)
        return;
    for (const auto& address : on_.settings.seeds)
        if (address != on_.settings.listen.peers)
            if (auto sent = transport_->send_to_address(address, message);
                !sent)
                on_.log.info("peer_send_failed",
                    {{"peer", address}, {"reason", sent.error().message()}});
}

void peer_link::announce()
{
    tick(std::chrono::steady_clock::now(), placement_fencing_);
}

void peer_link::send_residency(const std::vector<engine_residency>& engines)
{
    peer::Envelope message;
    auto& update = *message.mutable_residency_update();
    for (const auto& each : engines)
    {
        auto& out = *update.add_engines();
        out.set_endpoint(each.endpoint.str());
        out.set_started_unix_ms(each.started_unix_ms);
        out.set_accepted_commands(each.accepted_commands);
        for (const auto& held : each.models)
        {
            auto& model = *out.add_models();
            model.set_model(held.model.str());
            for (const auto& adapter : held.adapters)
                model.add_adapters(adapter.str());
        }
    }
    for (const auto& each : on_.roster.others())
        send(each, message);
}

void peer_link::request_adapter(const demanded_model& wanted)
{
    // Many requests may wait for one adapter.
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(requested_adapters_, [now](const auto& each)
        { return now - each.second >= adapter_request_interval; });
    if (!requested_adapters_.emplace(wanted, now).second)
        return;
    if (placement_fencing_ > 0)
    {
        if (on_adapter_request_)
            on_adapter_request_(wanted);
        return;
    }
    const auto* holder = on_.roster.find(holder_);
    if (holder == nullptr)
        return;
    peer::Envelope message;
    auto& request = *message.mutable_adapter_request();
    request.set_service(wanted.service.str());
    request.set_model(wanted.model.str());
    request.set_adapter(wanted.adapter.str());
    send(*holder, message);
}

void peer_link::receive(const peer::Envelope& message)
{
    const instance_id from(message.from_instance());
    switch (message.body_case())
    {
    case peer::Envelope::kGatewayHeartbeat:
        return receive_heartbeat(from, message.gateway_heartbeat());
    case peer::Envelope::kDocumentsRequest:
        return receive_request(from, message);
    case peer::Envelope::kDocumentsReply:
        return receive_documents(message);
    case peer::Envelope::kResidencyUpdate:
        return receive_residency(message);
    case peer::Envelope::kAdapterRequest:
        if (on_adapter_request_)
            on_adapter_request_(
                {service_id(message.adapter_request().service()),
                    model_id(message.adapter_request().model()),
                    adapter_id(message.adapter_request().adapter())});
        return;
    default:
        on_.log.warning("peer_message_unknown",
            {{"peer", from.str()},
                {"kind", static_cast<int>(message.body_case())}});
    }
}

void peer_link::receive_heartbeat(
    const instance_id& from, const peer::Gateway_heartbeat& beat)
{
    const auto now = std::chrono::steady_clock::now();
    auto self = read(beat.self());
    if (self.id != from)
        return;
    if (on_.roster.note_direct(self, now))
        on_.log.info(
            "peer_known", {{"peer", from.str()}, {"address", self.peer_address},
                              {"incarnation", self.incarnation}});
    for (const auto& each : beat.others())
        on_.roster.note_passed_on(read(each), now);
    if (beat.placement_fencing() > 0 &&
        beat.placement_fencing() >= holder_fencing_)
    {
        holder_ = from;
        holder_fencing_ = beat.placement_fencing();
        holder_heard_at_ = now;
    }
    std::vector<limits::workspace_demand> demands;
    for (const auto& each : beat.demands())
        demands.push_back({workspace_id(each.workspace()),
            each.units_per_second(), each.admitted_units()});
    on_.limiter.put_peer_demands(from, self.incarnation, demands, now);
    std::vector<std::pair<endpoint_id, dispatch::endpoint_load>> loads;
    for (const auto& each : beat.loads())
        loads.emplace_back(endpoint_id(each.endpoint()),
            dispatch::endpoint_load{each.waiting_tokens(), each.requests()});
    on_.board.put_peer_loads(from, loads, now);
    if (on_model_demand_)
    {
        std::vector<std::pair<demanded_model, double>> wanted;
        for (const auto& each : beat.model_demands())
            wanted.emplace_back(read(each), each.tokens_per_second());
        on_model_demand_(from, std::move(wanted));
    }
    ask_for_documents(from, beat);
}

void peer_link::ask_for_documents(
    const instance_id& from, const peer::Gateway_heartbeat& beat)
{
    const auto now = std::chrono::steady_clock::now();
    // A newer configuration is taken from anyone: its feed may be silent. The
    // directory changes often, so it is only asked for without the store.
    const bool configuration =
        beat.configuration_version() > documents_.configuration_version();
    const bool directory =
        (directory_away_ || !on_.endpoints_known) &&
        beat.endpoints_version() > documents_.directory_version();
    if ((!configuration && !directory) || now < next_documents_request_)
        return;
    next_documents_request_ = now + documents_request_interval;
    peer::Envelope message;
    auto& request = *message.mutable_documents_request();
    request.set_configuration_version(documents_.configuration_version());
    // A version that is higher than any leaves the directory out.
    request.set_endpoints_version(
        directory ? documents_.directory_version() : beat.endpoints_version());
    if (const auto* peer = on_.roster.find(from))
        send(*peer, message);
}

void peer_link::receive_request(
    const instance_id& from, const peer::Envelope& message)
{
    const auto& request = message.documents_request();
    const auto* peer = on_.roster.find(from);
    if (peer == nullptr)
        return;
    peer::Envelope answer;
    auto& reply = *answer.mutable_documents_reply();
    if (documents_.configuration_version() > request.configuration_version())
    {
        reply.set_configuration_version(documents_.configuration_version());
        reply.set_configuration(documents_.configuration());
    }
    if (documents_.directory_version() > request.endpoints_version())
    {
        reply.set_endpoints_version(documents_.directory_version());
        for (const auto& [key, value] : documents_.directory())
        {
            auto& entry = *reply.add_endpoints();
            entry.set_key(key);
            entry.set_value(value);
        }
    }
    send(*peer, answer);
}

void peer_link::receive_documents(const peer::Envelope& message)
{
    const auto& reply = message.documents_reply();
    if (reply.configuration_version() > documents_.configuration_version())
        documents_.take_configuration(reply.configuration(), "peer");
    if (reply.endpoints_version() <= documents_.directory_version())
        return;
    remote_store::table_changes rows;
    rows.version = reply.endpoints_version();
    for (const auto& each : reply.endpoints())
        rows.rows.push_back({each.key(), each.value(), rows.version});
    documents_.take_directory(rows, "peer", std::chrono::steady_clock::now());
}

void peer_link::receive_residency(const peer::Envelope& message)
{
    for (const auto& each : message.residency_update().engines())
    {
        std::vector<endpoints::held_model> models;
        for (const auto& held : each.models())
        {
            endpoints::held_model model;
            model.model = model_id(held.model());
            for (const auto& adapter : held.adapters())
                model.adapters.emplace(adapter);
            models.push_back(std::move(model));
        }
        on_.board.put_residency(endpoint_id(each.endpoint()),
            each.started_unix_ms(), each.accepted_commands(),
            std::move(models));
    }
    on_.residency_changed.raise();
}

} // namespace tarragonquay::gateway
