#include <algorithm>

#include "membership/membership.hpp"

// Sends and handles heartbeats and the other messages of the membership.
namespace tarragonquay::membership
{

namespace
{

// Replies to older heartbeats are ignored: they could extend the view lease
// only to a time that has already passed.
constexpr std::size_t max_sent_heartbeats = 64;
constexpr duration catch_up_interval = std::chrono::milliseconds(250);

} // namespace

// Each message that acknowledges a membership change also lists the guests, so
// that every instance that counts the acknowledgement knows them.
void membership::send(const instance_id& to, peer::Envelope envelope)
{
    fence_.add_guests(callbacks_.given_guests(), envelope);
    callbacks_.send(to, std::move(envelope));
}

void membership::send_heartbeats()
{
    peer::Envelope envelope;
    auto& heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_sequence(next_sequence_++);
    heartbeat.set_applied_revision(view_.applied_revision);
    heartbeat.set_stopping(stopping_);
    heartbeat.set_admits_for_ms(admits_for_ms());
    for (const auto& member : view_.members)
    {
        if (is_silent(member))
            heartbeat.add_silent_instances(member.instance.str());
    }
    for (auto& demand : callbacks_.demands())
        *heartbeat.add_demands() = std::move(demand);

    sent_heartbeats_.emplace_back(heartbeat.sequence(), callbacks_.now());
    if (sent_heartbeats_.size() > max_sent_heartbeats)
        sent_heartbeats_.pop_front();
    if (view_.members.empty())
    {
        for (const auto& address : seeds_)
            callbacks_.send_to_address(address, envelope);
    }
    for (const auto& [instance, state] : peers_)
    {
        heartbeat.set_echoed_sequence(state.heard_sequence);
        send(instance, envelope);
    }
}

void membership::reopen_silent_connections()
{
    const auto now = callbacks_.now();
    for (auto& [instance, state] : peers_)
    {
        if (now - std::max(state.last_heard, state.last_reopened) <
            reopen_after)
            continue;
        state.last_reopened = now;
        callbacks_.reopen(instance);
    }
}

bool membership::on_message(const peer::Envelope& envelope)
{
    const instance_id from(envelope.from_instance());
    if (from == local_.instance)
        return true;
    presence_.record_replacement(envelope, callbacks_.now());
    fence_.record_guests(envelope);
    if (auto* state = find_peer(from, envelope.from_incarnation()))
        state->last_heard = callbacks_.now();
    switch (envelope.body_case())
    {
    case peer::Envelope::kHeartbeat:
        on_heartbeat(envelope, envelope.heartbeat());
        break;
    case peer::Envelope::kHeartbeatReply:
        on_heartbeat_reply(envelope, envelope.heartbeat_reply());
        break;
    case peer::Envelope::kPush:
        on_push(envelope, envelope.push());
        break;
    case peer::Envelope::kPushAck:
        on_applied_revision(envelope, envelope.push_ack().applied_revision());
        break;
    case peer::Envelope::kCatchUpRequest:
    {
        peer::Envelope reply;
        *reply.mutable_catch_up_reply() = callbacks_.read_changes(
            envelope.catch_up_request().after_revision());
        send(from, std::move(reply));
        break;
    }
    case peer::Envelope::kCatchUpReply:
        callbacks_.apply_catch_up(envelope.catch_up_reply());
        break;
    default:
        return false;
    }
    return true;
}

// Records the revision that another instance has applied. A removed member is
// not a peer any more, but its acknowledgement still ends its fencing.
void membership::record_acknowledgement(
    const peer::Envelope& envelope, std::int64_t revision)
{
    const instance_id from(envelope.from_instance());
    if (auto* state = find_peer(from, envelope.from_incarnation()))
        state->applied_revision = std::max(state->applied_revision, revision);
    fence_.record_acknowledgement(envelope, revision);
}

// Records the revision that a peer has applied, and requests the changes that
// this instance lacks.
void membership::on_applied_revision(
    const peer::Envelope& envelope, std::int64_t revision)
{
    record_acknowledgement(envelope, revision);
    update_settled();
    notify_in_force_waiters();
    request_catch_up(instance_id(envelope.from_instance()), revision);
}

void membership::request_catch_up(
    const instance_id& from, std::int64_t revision)
{
    const auto now = callbacks_.now();
    if (revision <= view_.applied_revision ||
        (next_catch_up_ && now < *next_catch_up_))
        return;
    next_catch_up_ = now + catch_up_interval;
    peer::Envelope request;
    request.mutable_catch_up_request()->set_after_revision(
        view_.applied_revision);
    send(from, std::move(request));
}

void membership::on_heartbeat(
    const peer::Envelope& envelope, const peer::Heartbeat& heartbeat)
{
    const instance_id from(envelope.from_instance());
    if (auto* state = find_peer(from, envelope.from_incarnation()))
    {
        state->heard_sequence =
            std::max(state->heard_sequence, heartbeat.sequence());
        record_report(*state, heartbeat.stopping(), heartbeat.admits_for_ms());
        state->silent.clear();
        for (const auto& silent : heartbeat.silent_instances())
            state->silent.insert(instance_id(silent));
        callbacks_.on_demands(from, heartbeat);
        on_echo(envelope, heartbeat.echoed_sequence(),
            heartbeat.applied_revision());
    }
    else
        reply_to(envelope, heartbeat.sequence());
    on_applied_revision(envelope, heartbeat.applied_revision());
}

// Only for senders that are not peers. Peers receive the echo in the next
// heartbeat, which halves the number of messages.
void membership::reply_to(const peer::Envelope& envelope, std::int64_t sequence)
{
    peer::Envelope reply;
    reply.mutable_heartbeat_reply()->set_sequence(sequence);
    reply.mutable_heartbeat_reply()->set_applied_revision(
        view_.applied_revision);
    reply.mutable_heartbeat_reply()->set_stopping(stopping_);
    reply.mutable_heartbeat_reply()->set_admits_for_ms(admits_for_ms());
    send(instance_id(envelope.from_instance()), std::move(reply));
}

// The peer had received the heartbeat with this sequence number when it sent
// the message, so the view lease is renewed from the time the heartbeat was
// sent.
void membership::on_echo(const peer::Envelope& envelope, std::int64_t sequence,
    std::int64_t applied_revision)
{
    const instance_id from(envelope.from_instance());
    const auto sent =
        std::find_if(sent_heartbeats_.begin(), sent_heartbeats_.end(),
            [&](const auto& entry) { return entry.first == sequence; });
    auto* state = find_peer(from, envelope.from_incarnation());
    if (state == nullptr || sent == sent_heartbeats_.end())
        return;
    if (stopping_ && sequence >= stopping_sequence_)
        state->acknowledged_stop = true;
    callbacks_.record_reply(
        from, envelope.from_incarnation(), sent->second, applied_revision);
}

std::int64_t membership::admits_for_ms() const
{
    if (stopping_)
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        callbacks_.admits_for())
        .count();
}

void membership::record_report(
    peer_state& state, bool stopping, std::int64_t admits_for_ms)
{
    // A larger value is invalid, because no view lease is longer.
    constexpr std::int64_t longest_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            view_lease_validity)
            .count();
    const std::chrono::milliseconds admits_for(
        std::clamp<std::int64_t>(admits_for_ms, 0, longest_ms));
    // A stop is final, but an older report may arrive after a newer one when
    // the connection has been reopened.
    state.stopping = state.stopping || stopping;
    state.admits_until = callbacks_.now() + admits_for;
}

void membership::on_heartbeat_reply(
    const peer::Envelope& envelope, const peer::Heartbeat_reply& reply)
{
    const instance_id from(envelope.from_instance());
    if (auto* state = find_peer(from, envelope.from_incarnation()))
        record_report(*state, reply.stopping(), reply.admits_for_ms());
    on_echo(envelope, reply.sequence(), reply.applied_revision());
    on_applied_revision(envelope, reply.applied_revision());
}

void membership::on_push(const peer::Envelope& envelope, const peer::Push& push)
{
    const instance_id from(envelope.from_instance());
    // An instance pushes only changes that it has applied. The push counts as
    // an acknowledgement, because a leaving member sends nothing after the push
    // of its own removal.
    if (!push.changes().empty())
        record_acknowledgement(envelope, push.changes().rbegin()->revision());
    callbacks_.apply_push(push);
    peer::Envelope reply;
    reply.mutable_push_ack()->set_applied_revision(view_.applied_revision);
    send(from, std::move(reply));
    if (!push.changes().empty())
        request_catch_up(from, push.changes().rbegin()->revision());
}

void membership::push(const std::vector<config::Change>& changes)
{
    peer::Envelope envelope;
    for (const auto& change : changes)
        *envelope.mutable_push()->add_changes() = change;
    for (const auto& [instance, state] : peers_)
        send(instance, envelope);
}

} // namespace tarragonquay::membership
