#include "membership/membership.hpp"

#include <algorithm>
#include <cassert>

#include "common/random.hpp"

namespace tarragonquay::membership
{

namespace
{

// Replies to older heartbeats are ignored; they could only renew the view
// lease up to a time that has passed.
constexpr std::size_t kept_heartbeats = 64;
constexpr duration catch_up_interval = std::chrono::milliseconds(250);
// Delay of each further member, so that members seldom propose at once.
constexpr duration stagger_step = std::chrono::seconds(1);
constexpr duration retry_delay = std::chrono::milliseconds(500);
// A commit that has not answered by then is tried again.
constexpr duration proposal_time_limit = std::chrono::seconds(5);
// Bounds the messages. With more guests, the next epoch waits until all of
// them are fenced.
constexpr int max_named_guests = 64;
// Covers the difference between the clocks of the platform and an instance.
constexpr duration list_clock_margin = std::chrono::seconds(2);

bool contains(
    const std::vector<catalog::member>& members, const catalog::member& wanted)
{
    return std::any_of(members.begin(), members.end(),
        [&](const catalog::member& member)
        {
            return member.instance == wanted.instance &&
                   member.incarnation == wanted.incarnation;
        });
}

void to_proto(const catalog::member& from, config::Member& to)
{
    to.set_instance(from.instance.str());
    to.set_incarnation(from.incarnation);
    to.set_peer_address(from.peer_address);
    to.set_entry_address(from.entry_address);
    to.set_availability_zone(from.availability_zone);
    to.set_region(from.region);
}

// A list that lacks names stays so, whatever other lists say.
limits::guest_list merged(limits::guest_list one, const limits::guest_list& two)
{
    if (one.epoch != two.epoch)
        return one.epoch > two.epoch ? one : two;
    if (one.incarnations.empty() || two.incarnations.empty())
        one.incarnations.clear();
    else
        one.incarnations.insert(
            two.incarnations.begin(), two.incarnations.end());
    return one;
}

} // namespace

result<std::unique_ptr<membership>> membership::create(
    catalog::member local, std::vector<std::string> seeds, collaborators parts)
{
    if (local.instance.empty() || local.incarnation.empty())
        return fail(error_code::invalid_argument,
            "a member needs an instance id and an incarnation");
    return std::unique_ptr<membership>(
        new membership(std::move(local), std::move(seeds), std::move(parts)));
}

membership::membership(
    catalog::member local, std::vector<std::string> seeds, collaborators parts)
    : local_(std::move(local)),
      seeds_(std::move(seeds)),
      parts_(std::move(parts))
{
}

bool membership::is_current(const catalog::member& member) const
{
    return contains(view_.members, member);
}

bool membership::is_peer(const catalog::member& member) const
{
    return member.instance != local_.instance;
}

// Members of the old membership are peers until its end is acknowledged.
std::vector<catalog::member> membership::peers() const
{
    std::vector<catalog::member> all;
    for (const auto& member : view_.members)
    {
        if (is_peer(member))
            all.push_back(member);
    }
    if (settled())
        return all;
    for (const auto& member : view_.previous_members)
    {
        const bool known = std::any_of(all.begin(), all.end(),
            [&](const catalog::member& other)
            { return other.instance == member.instance; });
        if (is_peer(member) && !known)
            all.push_back(member);
    }
    return all;
}

membership::peer_state* membership::find_peer(
    const instance_id& instance, const std::string& incarnation)
{
    const auto found = peers_.find(instance);
    if (found == peers_.end() || found->second.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

const membership::peer_state* membership::find_peer(
    const catalog::member& member) const
{
    const auto found = peers_.find(member.instance);
    if (found == peers_.end() ||
        found->second.incarnation != member.incarnation)
        return nullptr;
    return &found->second;
}

void membership::note_removals(const membership_view& next)
{
    if (next.membership_revision != view_.membership_revision)
    {
        // A change is committed only when the one before it is settled.
        for (auto& earlier : removals_)
        {
            if (!earlier.settled_at)
                earlier.settled_at = parts_.now();
        }
        if (view_.membership_revision > 0 && !view_.epoch_open &&
            !close_settled_at_)
            close_settled_at_ = parts_.now();
        if (next.applied_revision != view_.applied_revision + 1)
            knows_removals_ = false;
        for (const auto& member : view_.members)
        {
            if (contains(next.members, member))
                continue;
            const bool local = member.instance == local_.instance &&
                               member.incarnation == local_.incarnation;
            removals_.push_back({member, next.membership_revision, {},
                local || has_applied(member, next.membership_revision)});
        }
        // A member that joined again proposed that itself, after it had
        // applied its removal.
        std::erase_if(removals_, [&](const removal& earlier)
            { return contains(next.members, earlier.member); });
    }
    if (next.epoch_open)
    {
        removals_.clear();
        knows_removals_ = true;
        last_open_epoch_ = next.epoch;
        close_settled_at_.reset();
    }
}

void membership::update(membership_view view)
{
    note_removals(view);
    if (view.membership_revision != view_.membership_revision)
        settled_at_.reset();
    view_ = std::move(view);
    note_incarnations();
    std::erase_if(replaced_since_,
        [&](const auto& entry)
        {
            const auto matches = [&](const catalog::member& member)
            { return member.incarnation == entry.first; };
            return std::none_of(
                       view_.members.begin(), view_.members.end(), matches) &&
                   std::none_of(view_.previous_members.begin(),
                       view_.previous_members.end(), matches);
        });
    // This process holds the address, so its earlier incarnation has ended.
    peer::Envelope own;
    own.set_from_instance(local_.instance.str());
    own.set_from_incarnation(local_.incarnation);
    own.set_from_address(local_.peer_address);
    note_replacement(own);
    sync_peers();
    update_settled();
    complete_in_force();
    update_serving();
    if (leaving_ && on_left_ && !is_member())
        std::exchange(on_left_, nullptr)();
}

void membership::sync_peers()
{
    const auto wanted = peers();
    std::map<instance_id, peer_state> next;
    for (const auto& member : wanted)
    {
        if (const auto* known = find_peer(member))
        {
            next[member.instance] = *known;
            continue;
        }
        peer_state fresh;
        fresh.incarnation = member.incarnation;
        fresh.last_heard = fresh.last_reopened = parts_.now();
        next[member.instance] = fresh;
        parts_.set_peer(member.instance, member.peer_address);
    }
    for (const auto& [instance, state] : peers_)
    {
        if (!next.contains(instance))
            parts_.remove_peer(instance);
    }
    peers_ = std::move(next);
}

void membership::note_incarnations()
{
    std::map<std::string, time_point> known;
    const auto note = [&](const std::vector<catalog::member>& members)
    {
        for (const auto& member : members)
        {
            const auto before = known_since_.find(member.incarnation);
            known[member.incarnation] =
                before == known_since_.end() ? parts_.now() : before->second;
        }
    };
    note(view_.members);
    note(view_.previous_members);
    known_since_ = std::move(known);
}

void membership::update_platform_list(
    const std::vector<instance_id>& instances, time_point as_of)
{
    const std::set<instance_id> listed(instances.begin(), instances.end());
    // The list may be about other instances only, or older than this one.
    if (!listed.contains(local_.instance))
    {
        absent_since_.clear();
        return;
    }
    std::map<std::string, time_point> absent;
    const auto note = [&](const std::vector<catalog::member>& members)
    {
        for (const auto& member : members)
        {
            if (listed.contains(member.instance) || !is_peer(member))
                continue;
            // A list of an earlier time can lack an instance that has been
            // started again since.
            const auto known = known_since_.find(member.incarnation);
            if (known == known_since_.end() ||
                as_of < known->second + list_clock_margin)
                continue;
            const auto before = absent_since_.find(member.incarnation);
            absent[member.incarnation] =
                before == absent_since_.end() ? parts_.now() : before->second;
        }
    };
    note(view_.members);
    note(view_.previous_members);
    absent_since_ = std::move(absent);
}

void membership::tick()
{
    const auto now = parts_.now();
    if (!next_heartbeat_ || now >= *next_heartbeat_)
    {
        next_heartbeat_ = now + heartbeat_interval;
        send_heartbeats();
        reopen_silent_connections();
    }
    update_settled();
    complete_in_force();
    update_serving();
    propose();
}

// Each message that acknowledges a membership change also tells of guests,
// so that whoever counts the acknowledgement knows of them.
void membership::send(const instance_id& to, peer::Envelope envelope)
{
    const auto guests = known_guests();
    envelope.set_guest_epoch(guests.epoch);
    // Of a superseded epoch, nobody needs to know the guests.
    if (guests.epoch >= last_open_epoch_ &&
        guests.incarnations.size() <= max_named_guests)
        envelope.mutable_guest_incarnations()->Add(
            guests.incarnations.begin(), guests.incarnations.end());
    parts_.send(to, std::move(envelope));
}

limits::guest_list membership::known_guests() const
{
    return merged(reported_guests_, parts_.given_guests());
}

void membership::note_guests(const peer::Envelope& envelope)
{
    limits::guest_list reported{envelope.guest_epoch(), {}};
    if (envelope.guest_incarnations_size() <= max_named_guests)
        reported.incarnations.insert(envelope.guest_incarnations().begin(),
            envelope.guest_incarnations().end());
    reported_guests_ = merged(reported_guests_, reported);
    if (reported_guests_.incarnations.size() > max_named_guests)
        reported_guests_.incarnations.clear();
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
        send(instance, envelope);
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
    note_replacement(envelope);
    note_guests(envelope);
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
    for (auto& each : removals_)
    {
        if (each.member.instance == from &&
            each.member.incarnation == envelope.from_incarnation() &&
            revision >= each.revision)
            each.acknowledged = true;
    }
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
    peer::Envelope reply;
    reply.mutable_heartbeat_reply()->set_sequence(heartbeat.sequence());
    reply.mutable_heartbeat_reply()->set_applied_revision(
        view_.applied_revision);
    reply.mutable_heartbeat_reply()->set_stopping(stopping_);
    reply.mutable_heartbeat_reply()->set_admits_for_ms(admits_for_ms());
    send(from, std::move(reply));
    if (auto* state = find_peer(from, envelope.from_incarnation()))
    {
        note_report(*state, heartbeat.stopping(), heartbeat.admits_for_ms());
        state->silent.clear();
        for (const auto& silent : heartbeat.silent_instances())
            state->silent.insert(instance_id(silent));
        parts_.on_demands(from, heartbeat);
    }
    observe(envelope, heartbeat.applied_revision());
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
    const auto sent =
        std::find_if(sent_heartbeats_.begin(), sent_heartbeats_.end(),
            [&](const auto& entry) { return entry.first == reply.sequence(); });
    auto* state = find_peer(from, envelope.from_incarnation());
    if (state != nullptr && sent != sent_heartbeats_.end())
    {
        note_report(*state, reply.stopping(), reply.admits_for_ms());
        if (stopping_ && reply.sequence() >= stopping_sequence_)
            state->knows_stopping = true;
        parts_.record_reply(from, envelope.from_incarnation(), sent->second,
            reply.applied_revision());
    }
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

bool membership::has_applied(
    const catalog::member& member, std::int64_t revision) const
{
    if (member.instance == local_.instance)
        return member.incarnation == local_.incarnation &&
               view_.applied_revision >= revision;
    const auto* state = find_peer(member);
    return state != nullptr && state->applied_revision >= revision;
}

bool membership::majority_applied(const std::vector<catalog::member>& members,
    std::int64_t revision, bool count_absent) const
{
    if (members.empty())
        return true;
    const auto count = std::count_if(members.begin(), members.end(),
        [&](const catalog::member& member)
        {
            return has_applied(member, revision) ||
                   (count_absent && is_absent(member));
        });
    return static_cast<std::size_t>(count) >= majority_of(members.size());
}

bool membership::is_silent(const catalog::member& member) const
{
    const auto* state = find_peer(member);
    return state != nullptr &&
           parts_.now() - state->last_heard >= suspicion_time;
}

bool membership::is_absent(const catalog::member& member) const
{
    const auto long_ago = [&](time_point since)
    { return parts_.now() - since >= view_lease_validity + fencing_margin; };
    const auto replaced = replaced_since_.find(member.incarnation);
    if (replaced != replaced_since_.end() && long_ago(replaced->second))
        return true;
    // The platform's list lags, so a member that still sends is not absent.
    const auto* state = find_peer(member);
    if (state != nullptr && !long_ago(state->last_heard))
        return false;
    const auto found = absent_since_.find(member.incarnation);
    return found != absent_since_.end() && long_ago(found->second);
}

// An address is bound by one process at a time, so a message of another
// incarnation from a member's address proves that the member has ended.
// Without this, a fleet that restarts at once could never acknowledge.
void membership::note_replacement(const peer::Envelope& envelope)
{
    const auto note = [&](const std::vector<catalog::member>& members)
    {
        for (const auto& member : members)
        {
            if (member.instance.str() == envelope.from_instance() &&
                member.incarnation != envelope.from_incarnation() &&
                member.peer_address == envelope.from_address())
                replaced_since_.try_emplace(member.incarnation, parts_.now());
        }
    };
    note(view_.members);
    note(view_.previous_members);
}

bool membership::majority_reports_silent(const catalog::member& member) const
{
    std::size_t reports = is_silent(member) && is_member() ? 1 : 0;
    for (const auto& other : view_.members)
    {
        const auto* state = find_peer(other);
        if (state != nullptr && !is_silent(other) &&
            other.instance != member.instance &&
            state->silent.contains(member.instance))
            ++reports;
    }
    return reports >= majority_of(view_.members.size());
}

void membership::update_settled()
{
    if (settled() || view_.members.empty())
        return;
    const auto revision = view_.membership_revision;
    if (!majority_applied(view_.members, revision, true) ||
        !majority_applied(view_.previous_members, revision, true))
        return;
    settled_at_ = parts_.now();
    for (auto& each : removals_)
    {
        if (!each.settled_at)
            each.settled_at = settled_at_;
    }
    if (!view_.epoch_open && !close_settled_at_)
        close_settled_at_ = settled_at_;
    sync_peers();
}

// Until a membership change is settled, the old members can still renew
// view leases among themselves, so they have to acknowledge as well.
bool membership::in_force(std::int64_t revision) const
{
    return view_.applied_revision >= revision &&
           majority_applied(view_.members, revision, false) &&
           (settled() ||
               majority_applied(view_.previous_members, revision, false));
}

std::vector<instance_id> membership::missing(std::int64_t revision) const
{
    std::vector<instance_id> result;
    for (const auto& member : view_.members)
    {
        if (!has_applied(member, revision))
            result.push_back(member.instance);
    }
    return result;
}

void membership::when_in_force(
    std::int64_t revision, time_point deadline, in_force_handler handler)
{
    waiters_.push_back({revision, deadline, std::move(handler)});
    complete_in_force();
}

void membership::complete_in_force()
{
    // A handler may add a waiter, so the list is detached first.
    auto waiting = std::exchange(waiters_, {});
    std::vector<in_force_waiter> done;
    for (auto& waiter : waiting)
    {
        const bool finished =
            in_force(waiter.revision) || parts_.now() >= waiter.deadline;
        (finished ? done : waiters_).push_back(std::move(waiter));
    }
    for (auto& waiter : done)
        waiter.handler({in_force(waiter.revision), missing(waiter.revision)});
}

void membership::update_serving()
{
    std::vector<instance_id> next;
    for (const auto& member : view_.members)
    {
        const auto* state = find_peer(member);
        const bool local = member.instance == local_.instance &&
                           member.incarnation == local_.incarnation;
        if (local ? !stopping_
                  : state != nullptr && !state->stopping && !is_silent(member))
            next.push_back(member.instance);
    }
    if (next == serving_)
        return;
    serving_ = std::move(next);
    parts_.on_serving_changed(serving_);
}

std::vector<instance_id> membership::admitting() const
{
    const auto now = parts_.now();
    std::vector<instance_id> certain;
    std::vector<instance_id> possible;
    for (const auto& instance : serving_)
    {
        if (instance == local_.instance)
        {
            if (parts_.admits_for() > duration::zero())
                certain.push_back(instance);
            continue;
        }
        const bool admits = peers_.at(instance).admits_until > now;
        (admits ? certain : possible).push_back(instance);
    }
    return certain.empty() ? possible : certain;
}

void membership::begin_stopping()
{
    if (std::exchange(stopping_, true))
        return;
    stopping_since_ = parts_.now();
    stopping_sequence_ = next_sequence_;
    next_heartbeat_.reset();
}

bool membership::stopping_known() const
{
    // By then, a peer that received nothing takes this instance for silent.
    if (parts_.now() - stopping_since_ >= suspicion_time)
        return true;
    return std::all_of(peers_.begin(), peers_.end(),
        [](const auto& entry) { return entry.second.knows_stopping; });
}

void membership::leave(std::function<void()> on_left)
{
    begin_stopping();
    leaving_ = true;
    on_left_ = std::move(on_left);
    if (!is_member() && on_left_)
        std::exchange(on_left_, nullptr)();
}

// Members without those that are gone or replaced by this incarnation.
std::vector<catalog::member> membership::remaining_members() const
{
    std::vector<catalog::member> remaining;
    for (const auto& member : view_.members)
    {
        const bool stale = member.instance == local_.instance &&
                           member.incarnation != local_.incarnation;
        if (!stale && !is_absent(member) && !majority_reports_silent(member))
            remaining.push_back(member);
    }
    return remaining;
}

// A removed member may serve with its old share until it has applied its
// removal or can't hold a view lease any more.
bool membership::removed_are_fenced() const
{
    const auto long_ago = [&](const std::optional<time_point>& since)
    {
        return since &&
               parts_.now() - *since >= view_lease_validity + fencing_margin;
    };
    // The very first membership has nobody to fence.
    if (view_.epoch <= 1)
        return true;
    // What was skipped was settled before the last change was.
    if (!knows_removals_)
        return long_ago(settled_at_);
    return std::all_of(removals_.begin(), removals_.end(),
        [&](const removal& each)
        { return each.acknowledged || long_ago(each.settled_at); });
}

// A guest that has become a member acknowledges the change before the epoch
// opens, and one that was removed again is fenced like any member.
bool membership::is_joined_or_removed(const std::string& incarnation) const
{
    return std::any_of(view_.members.begin(), view_.members.end(),
               [&](const catalog::member& member)
               { return member.incarnation == incarnation; }) ||
           std::any_of(removals_.begin(), removals_.end(),
               [&](const removal& each)
               { return each.member.incarnation == incarnation; });
}

// Another guest can't be waited for, but can't hold a view lease without
// having seen the close of the epoch once the fencing time has passed. Every
// member of the last open epoch, and every guest that joined, has named its
// guests in its acknowledgement, or is fenced itself, which takes as long.
bool membership::guests_are_fenced() const
{
    const auto guests = known_guests();
    if (guests.epoch == 0 || guests.epoch < last_open_epoch_)
        return true;
    if (!guests.incarnations.empty() &&
        std::all_of(guests.incarnations.begin(), guests.incarnations.end(),
            [&](const auto& each) { return is_joined_or_removed(each); }))
        return true;
    return close_settled_at_ && parts_.now() - *close_settled_at_ >=
                                    view_lease_validity + fencing_margin;
}

membership::action membership::next_action() const
{
    const bool may_change = settled() || view_.members.empty();
    if (!is_member())
        return may_change && !leaving_ ? action::join : action::none;
    if (may_change && leaving_)
        return action::leave;
    if (may_change && remaining_members().size() < view_.members.size())
        return action::remove;
    const bool fenced =
        settled() && removed_are_fenced() && guests_are_fenced();
    const bool all_applied =
        std::all_of(view_.members.begin(), view_.members.end(),
            [&](const catalog::member& member)
            { return has_applied(member, view_.membership_revision); });
    if (!view_.epoch_open && fenced && all_applied)
        return action::open_epoch;
    return action::none;
}

duration membership::stagger(action next) const
{
    if (next == action::join || next == action::leave)
        return duration::zero();
    const auto rank = std::count_if(view_.members.begin(), view_.members.end(),
        [&](const catalog::member& member)
        { return member.instance < local_.instance && !is_silent(member); });
    return rank * stagger_step;
}

config::Change membership::change_for(action next) const
{
    config::Change change;
    change.set_operation_id(unique_id());
    if (next == action::open_epoch)
    {
        change.mutable_epoch_open()->set_epoch(view_.epoch);
        return change;
    }
    auto members = remaining_members();
    if (next == action::join)
        members.push_back(local_);
    if (next == action::leave)
        std::erase_if(members, [&](const catalog::member& member)
            { return member.instance == local_.instance; });
    std::sort(members.begin(), members.end());
    change.mutable_membership()->set_epoch(view_.epoch + 1);
    for (const auto& member : members)
        to_proto(member, *change.mutable_membership()->add_members());
    return change;
}

void membership::propose()
{
    const auto now = parts_.now();
    const auto next = next_action();
    if (next != pending_)
    {
        pending_ = next;
        pending_since_ = now;
    }
    if (next == action::none || now - pending_since_ < stagger(next) ||
        (proposal_until_ && now < *proposal_until_))
        return;
    proposal_until_ = now + proposal_time_limit;
    const auto number = ++proposal_number_;
    parts_.commit(change_for(next), view_,
        [this, number](const result<std::int64_t>& outcome)
        {
            // An answer to an older proposal must not end a newer one.
            if (number != proposal_number_)
                return;
            proposal_until_ = parts_.now() + retry_delay;
            if (!outcome)
                TQ_LOG(logger_, info)
                    << "A membership change was not committed: "
                    << outcome.error().message();
        });
}

} // namespace tarragonquay::membership
