#include <utility>

#include "daemon/control_core.hpp"

#include <algorithm>

#include <fmt/format.h>

// Messages between instances and the membership's collaborators.
namespace tarragonquay::daemon
{

namespace
{

// Ids are stored, forwarded and logged, so they have to be short and must not
// contain line breaks.
result<void> check_ids(const peer::Envelope& envelope)
{
    const auto& guests = envelope.guest_incarnations();
    if (!catalog::is_valid_id(envelope.from_instance()) ||
        !catalog::is_valid_id(envelope.from_incarnation()) ||
        !std::all_of(guests.begin(), guests.end(), catalog::is_valid_id))
        return fail(error_code::malformed_message,
            "a message has an invalid instance or incarnation id");
    return {};
}

} // namespace

membership::collaborators control_core::collaborators()
{
    membership::collaborators parts;
    parts.now = [this] { return clock_.now(); };
    parts.send = [this](const instance_id& to, peer::Envelope message)
    { send(to, std::move(message)); };
    parts.send_to_address =
        [this](const std::string& address, peer::Envelope message)
    {
        stamp(message);
        transport_->send_to_address(address, std::move(message));
    };
    parts.set_peer = [this](const instance_id& id, const std::string& address)
    { transport_->set_peer(id, address); };
    parts.remove_peer = [this](const instance_id& id)
    { transport_->remove_peer(id); };
    parts.reopen = [this](const instance_id& id) { transport_->reopen(id); };
    parts.commit = [this](config::Change change,
                       const membership::membership_view& base, auto on_done)
    { commit_membership(std::move(change), base, std::move(on_done)); };
    parts.apply_push = [this](const peer::Push& push) {
        replica_->apply_changes({push.changes().begin(), push.changes().end()});
    };
    parts.apply_catch_up = [this](const peer::Catch_up_reply& reply)
    { apply_catch_up(reply); };
    parts.read_changes = [this](std::int64_t after)
    { return read_changes(after); };
    parts.record_reply = [this](const instance_id& peer,
                             const std::string& incarnation, time_point sent_at,
                             std::int64_t revision)
    {
        lease_->record_peer_reply(peer, incarnation, sent_at, revision);
        publish_lease();
    };
    parts.demands = [this] { return limiter_->take_demands(clock_.now()); };
    parts.on_demands =
        [this](const instance_id& from, const peer::Heartbeat& heartbeat)
    { limiter_->on_demands(from, heartbeat, clock_.now()); };
    parts.admits_for = [this] { return admits_for(); };
    parts.given_guests = [this] { return limiter_->given_guests(); };
    parts.on_serving_changed = [this](const std::vector<instance_id>& serving) {
        TQ_LOG(logger_, info) << "Serving instances: " << serving.size() << ".";
    };
    return parts;
}

void control_core::stamp(peer::Envelope& message)
{
    const auto now = process_.events.now();
    message.set_sent_wall_ms(now.wall_ms);
    message.set_sent_logical(now.logical);
}

// The sending component repeats or supersedes its messages, so a failed send
// needs no handling here.
void control_core::send(const instance_id& to, peer::Envelope message)
{
    stamp(message);
    transport_->send(to, std::move(message));
}

void control_core::receive(const peer::Envelope& envelope)
{
    if (const auto handled = on_message(envelope); !handled)
        TQ_LOG(logger_, warning)
            << "Dropped a message: " << handled.error().message() << ".";
}

result<void> control_core::on_message(const peer::Envelope& envelope)
{
    if (auto checked = check_ids(envelope); !checked)
        return checked;
    process_.events.observe({envelope.sent_wall_ms(), envelope.sent_logical()});
    if (membership_->on_message(envelope))
        return {};
    const instance_id from(envelope.from_instance());
    const auto now = clock_.now();
    switch (envelope.body_case())
    {
    case peer::Envelope::kShareTransfer:
        on_share_transfer(envelope);
        return {};
    case peer::Envelope::kShareTransferAck:
        limiter_->on_transfer_ack(envelope.share_transfer_ack());
        return {};
    case peer::Envelope::kShareRequest:
        limiter_->on_request(
            from, envelope.from_incarnation(), envelope.share_request(), now);
        send_limiter_messages();
        return {};
    case peer::Envelope::kDemandReport:
        return demand_.receive(from, envelope.demand_report(), now);
    case peer::Envelope::kEventsRequest:
        timeline_->on_request(from, envelope.events_request());
        return {};
    case peer::Envelope::kEventsReply:
        timeline_->on_reply(from, envelope.events_reply());
        return {};
    default:
        return fail(error_code::malformed_message,
            fmt::format("a message from {} has an unknown body", from.str()));
    }
}

void control_core::on_share_transfer(const peer::Envelope& envelope)
{
    const auto& transfer = envelope.share_transfer();
    if (!limiter_->on_transfer(transfer, clock_.now()))
        return;
    peer::Envelope reply;
    reply.mutable_share_transfer_ack()->set_transfer_id(transfer.transfer_id());
    send(instance_id(envelope.from_instance()), std::move(reply));
    send_limiter_messages();
}

peer::Catch_up_reply control_core::read_changes(std::int64_t after) const
{
    peer::Catch_up_reply reply;
    reply.set_applied_revision(replica_->revision());
    const auto changes = replica_->changes_after(after);
    if (!changes)
    {
        *reply.mutable_snapshot() = replica_->current().to_proto();
        return reply;
    }
    for (const auto& change : *changes)
        *reply.add_changes() = change;
    return reply;
}

void control_core::apply_catch_up(const peer::Catch_up_reply& reply)
{
    const auto applied = reply.has_snapshot()
                             ? replica_->install_snapshot(reply.snapshot())
                             : replica_->apply_changes({reply.changes().begin(),
                                   reply.changes().end()});
    if (!applied)
        TQ_LOG(logger_, warning)
            << "Rejected changes from a peer: " << applied.error().message()
            << ".";
}

} // namespace tarragonquay::daemon
