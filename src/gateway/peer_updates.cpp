// What a gateway tells others beside its heartbeats: changes of the directory,
// the models that engines hold, evidence of crashes, and requests for adapters.
#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "gateway/peer_link.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// Minimum interval between requests for the same adapter, so that one serves
/// all calls that wait for it; an adapter is available after about 20 ms.
constexpr milliseconds adapter_request_interval{60};
/// In a large fleet, residency updates are batched over this interval, since
/// adapters are loaded and unloaded several times a second and each message
/// goes to all instances.
constexpr milliseconds residency_interval{50};

} // namespace

void peer_link::push_changes(const store::store_version& after,
    const remote_store::table_changes& changes)
{
    if (!router_.acts_as_relay() || changes.rows.empty())
        return;
    peer::Envelope message;
    auto& update = *message.mutable_directory_changes();
    update.set_after_version(after.version);
    update.set_version(changes.version);
    update.set_era(changes.era);
    for (const auto& each : changes.rows)
    {
        auto& row = *update.add_rows();
        row.set_key(each.key);
        row.set_value(each.value.value_or(""));
        row.set_erased(!each.value);
    }
    for (const auto& each : router_.reports().members())
        if (each != ctx_.roster.self().id)
            send(each, message);
}

// Sent at once: each heartbeat on the way to the other instances would add its
// interval.
void peer_link::push_evacuations()
{
    if (!router_.acts_as_relay())
        return;
    peer::Envelope message;
    write(documents_.evacuations().written(),
        *message.mutable_documents_reply()->mutable_evacuated_zones());
    std::set<instance_id> receivers;
    for (const auto& each : router_.reports().members())
        receivers.insert(each);
    for (const auto& each : router_.other_relays())
        receivers.insert(each);
    receivers.erase(ctx_.roster.self().id);
    for (const auto& each : receivers)
        send(each, message);
}

void peer_link::send_residency(const std::vector<engine_residency>& engines)
{
    if (!router_.relayed())
        return send_residency_update(engines);
    const bool waiting = !residency_queue_.empty();
    for (const auto& each : engines)
        residency_queue_[each.endpoint] = each;
    if (waiting)
        return;
    residency_timer_.expires_after(residency_interval);
    residency_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                flush_residency();
        });
}

void peer_link::flush_residency()
{
    std::vector<engine_residency> engines;
    for (auto& [id, each] : residency_queue_)
        engines.push_back(std::move(each));
    residency_queue_.clear();
    send_residency_update(engines);
}

void peer_link::send_residency_update(
    const std::vector<engine_residency>& engines)
{
    peer::Envelope message;
    auto& update = *message.mutable_residency_update();
    for (const auto& each : engines)
        write(each, *update.add_engines());
    std::set<instance_id> receivers;
    if (router_.relayed())
    {
        for (const auto& each : router_.other_relays())
            receivers.insert(each);
        for (const auto& each : router_.reports().members())
            receivers.insert(each);
    }
    else
        for (const auto& each : ctx_.roster.others())
            receivers.insert(each.id);
    receivers.erase(ctx_.roster.self().id);
    for (const auto& each : receivers)
        send(each, message);
}

void peer_link::schedule_evidence()
{
    // A due time that is unchanged must not restart the wait.
    if (evidence_timer_.expiry() == evidence_.send_at())
        return;
    evidence_timer_.expires_at(evidence_.send_at());
    if (evidence_.send_at() == time_point::max())
        return;
    evidence_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                send_due_evidence();
        });
}

void peer_link::send_due_evidence()
{
    const auto update = evidence_.take_due(std::chrono::steady_clock::now());
    if (update)
    {
        peer::Envelope message;
        *message.mutable_evidence_update() = *update;
        for (const auto& each :
            evidence_exchange::receivers(ctx_.roster, router_))
            send(each, message);
    }
    schedule_evidence();
}

void peer_link::request_adapter(const demanded_model& requested)
{
    // Many calls may wait for the same adapter.
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(requested_adapters_, [now](const auto& each)
        { return now - each.second >= adapter_request_interval; });
    if (!requested_adapters_.emplace(requested, now).second)
        return;
    if (lease_.fencing > 0)
    {
        if (on_adapter_request_)
            on_adapter_request_(requested);
        return;
    }
    peer::Envelope message;
    auto& request = *message.mutable_adapter_request();
    request.set_service(requested.service.str());
    request.set_model(requested.model.str());
    request.set_adapter(requested.adapter.str());
    send(holder_.id(), message);
}

} // namespace tarragonquay::gateway
