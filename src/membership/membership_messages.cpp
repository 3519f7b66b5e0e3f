#include <algorithm>

#include "membership/membership.hpp"

// Heartbeats and the other messages of the membership.
namespace tarragonquay::membership
{

namespace
{

// Replies to older heartbeats are ignored; they could only renew the view
// lease up to a time that has passed.
constexpr std::size_t kept_heartbeats = 64;
constexpr duration catch_up_interval = std::chrono::milliseconds(250);

} // namespace

// Each message that acknowledges a membership change also tells of guests,
// so that whoever counts the acknowledgement knows of them.
void membership::send(const instance_id& to, peer::Envelope envelope)
{
    fence_.name_guests(parts_.given_guests(), envelope);
    parts_.send(to, std::move(envelope));
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
    for (auto& demand : parts_.demands())
        *heartbeat.add_demands() = std::move(demand);

    sent_heartbeats_.emplace_back(heartbeat.sequence(), parts_.now());
    if (sent_heartbeats_.size() > kept_heartbeats)
        sent_heartbeats_.pop_front();
    if (view_.members.empty())
    {
        for (const auto& address : seeds_)
            parts_.send_to_address(address, envelope);
    }
    for (const auto& [instance, state] : peers_)
    {
        heartbeat.set_echoed_sequence(state.heard_sequence);
        send(instance, envelope);
    }
}

void membership::reopen_silent_connections()
{
    const auto now = parts_.now();
    for (auto& [instance, state] : peers_)
    {
        if (now - std::max(state.last_heard, state.last_reopened) <
            reopen_after)
            continue;
        state.last_reopened = now;
        parts_.reopen(instance);
    }
}

bool membership::on_message(const peer::Envelope& envelope)
{
    const instance_id from(envelope.from_instance());
    if (from == local_.instance)
        return true;
    presence_.note_replacement(envelope, parts_.now());
    fence_.note_guests(envelope);
    if (auto* state = find_peer(from, envelope.from_incarnation()))
        state->last_heard = parts_.now();
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
        observe(envelope, envelope.push_ack().applied_revision());
        break;
    case peer::Envelope::kCatchUpRequest:
    {
        peer::Envelope reply;
        *reply.mutable_catch_up_reply() =
            parts_.read_changes(envelope.catch_up_request().after_revision());
        send(from, std::move(reply));
        break;
    }
    case peer::Envelope::kCatchUpReply:
        parts_.apply_catch_up(envelope.catch_up_reply());
        break;
    default:
        return false;
    }
    return true;
}

// Records what another instance has applied. A removed member is no peer, but
// its acknowledgement still ends its fencing.
void membership::acknowledge(
    const peer::Envelope& envelope, std::int64_t revision)
{
    const instance_id from(envelope.from_instance());
    if (auto* state = find_peer(from, envelope.from_incarnation()))
        state->applied_revision = std::max(state->applied_revision, revision);
    fence_.acknowledge(envelope, revision);
}

// Records what a peer has applied, and asks for what is missing here.
void membership::observe(const peer::Envelope& envelope, std::int64_t revision)
{
    acknowledge(envelope, revision);
    update_settled();
    complete_in_force();
    request_catch_up(instance_id(envelope.from_instance()), revision);
}

void membership::request_catch_up(
    const instance_id& from, std::int64_t revision)
{
    const auto now = parts_.now();
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
        note_report(*state, heartbeat.stopping(), heartbeat.admits_for_ms());
        state->silent.clear();
        for (const auto& silent : heartbeat.silent_instances())
            state->silent.insert(instance_id(silent));
        parts_.on_demands(from, heartbeat);
        on_echo(envelope, heartbeat.echoed_sequence(),
            heartbeat.applied_revision());
    }
    else
        reply_to(envelope, heartbeat.sequence());
    observe(envelope, heartbeat.applied_revision());
}

// Peers get the echo with the next heartbeat, which halves the messages.
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

// A peer had received the heartbeat with this sequence when it sent the
// message; it renews the view lease from the time of the heartbeat.
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
        state->knows_stopping = true;
    parts_.record_reply(
        from, envelope.from_incarnation(), sent->second, applied_revision);
}

std::int64_t membership::admits_for_ms() const
{
    if (stopping_)
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        parts_.admits_for())
        .count();
}

void membership::note_report(
    peer_state& state, bool stopping, std::int64_t admits_for_ms)
{
    // No view lease is longer, so a larger value is wrong.
    constexpr std::int64_t longest_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            view_lease_validity)
            .count();
    const std::chrono::milliseconds admits_for(
        std::clamp<std::int64_t>(admits_for_ms, 0, longest_ms));
    // A stop is final, and an older report may come after a newer one when
    // the connection was reopened.
    state.stopping = state.stopping || stopping;
    state.admits_until = parts_.now() + admits_for;
}

void membership::on_heartbeat_reply(
    const peer::Envelope& envelope, const peer::Heartbeat_reply& reply)
{
    const instance_id from(envelope.from_instance());
    if (auto* state = find_peer(from, envelope.from_incarnation()))
        note_report(*state, reply.stopping(), reply.admits_for_ms());
    on_echo(envelope, reply.sequence(), reply.applied_revision());
    observe(envelope, reply.applied_revision());
}

void membership::on_push(const peer::Envelope& envelope, const peer::Push& push)
{
    const instance_id from(envelope.from_instance());
    // An instance pushes only what it has applied. A leaving member sends
    // nothing after the push of its own removal.
    if (!push.changes().empty())
        acknowledge(envelope, push.changes().rbegin()->revision());
    parts_.apply_push(push);
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
