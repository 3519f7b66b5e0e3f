#include "membership/membership.hpp"

#include <algorithm>
#include <cassert>

#include "common/digest.hpp"
#include "common/random.hpp"

namespace tarragonquay::membership
{

namespace
{

// Additional delay per rank, so that members rarely propose at the same time.
constexpr duration stagger_step = std::chrono::seconds(1);
constexpr duration retry_delay = std::chrono::milliseconds(500);
// A proposal without an answer after this time is made again.
constexpr duration proposal_time_limit = std::chrono::seconds(5);

// A 46-bit hash, which leaves room above it for several weeks of heartbeats.
std::int64_t first_sequence(const std::string& incarnation)
{
    return 1 + static_cast<std::int64_t>(fast_hash(incarnation) >> 18);
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

} // namespace

result<std::unique_ptr<membership>> membership::create(catalog::member local,
    std::vector<std::string> seeds, collaborators callbacks)
{
    // Peers drop messages from instances with other names.
    if (!catalog::is_valid_id(local.instance.str()) ||
        !catalog::is_valid_id(local.incarnation))
        return fail(error_code::invalid_argument,
            "an instance name may contain only letters, digits, '-', '_', "
            "'.' and ':'");
    return std::unique_ptr<membership>(new membership(
        std::move(local), std::move(seeds), std::move(callbacks)));
}

membership::membership(catalog::member local, std::vector<std::string> seeds,
    collaborators callbacks)
    : local_(std::move(local)),
      seeds_(std::move(seeds)),
      callbacks_(std::move(callbacks)),
      presence_(local_),
      fence_(local_),
      next_sequence_(first_sequence(local_.incarnation))
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

// Members of the previous membership remain peers until the change is settled.
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

void membership::update(membership_view view)
{
    fence_.on_view_change(
        view_, view,
        [this](const catalog::member& member, std::int64_t revision)
        { return has_applied(member, revision); },
        callbacks_.now());
    if (view.membership_revision != view_.membership_revision)
        settled_at_.reset();
    view_ = std::move(view);
    auto tracked = view_.members;
    tracked.insert(tracked.end(), view_.previous_members.begin(),
        view_.previous_members.end());
    presence_.set_members(std::move(tracked), callbacks_.now());
    // This process has bound the address, so earlier incarnations have ended.
    peer::Envelope own;
    own.set_from_instance(local_.instance.str());
    own.set_from_incarnation(local_.incarnation);
    own.set_from_address(local_.peer_address);
    presence_.record_replacement(own, callbacks_.now());
    sync_peers();
    update_settled();
    notify_in_force_waiters();
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
        fresh.last_heard = fresh.last_reopened = callbacks_.now();
        next[member.instance] = fresh;
        callbacks_.set_peer(member.instance, member.peer_address);
    }
    for (const auto& [instance, state] : peers_)
    {
        if (!next.contains(instance))
            callbacks_.remove_peer(instance);
    }
    peers_ = std::move(next);
}

void membership::update_platform_list(
    const std::vector<instance_id>& instances, time_point as_of)
{
    presence_.update_list(instances, as_of, callbacks_.now());
}

void membership::tick()
{
    const auto now = callbacks_.now();
    if (!next_heartbeat_ || now >= *next_heartbeat_)
    {
        next_heartbeat_ = now + heartbeat_interval;
        send_heartbeats();
        reopen_silent_connections();
    }
    update_settled();
    notify_in_force_waiters();
    update_serving();
    propose();
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
           callbacks_.now() - state->last_heard >= suspicion_time;
}

bool membership::is_absent(const catalog::member& member) const
{
    const auto now = callbacks_.now();
    if (presence_.is_replaced(member, now))
        return true;
    // The platform's list is delayed, so a member that still sends messages is
    // not absent.
    const auto* state = find_peer(member);
    const bool is_heard =
        state != nullptr && now - state->last_heard < fencing_time;
    return !is_heard && is_peer(member) && presence_.is_unlisted(member, now);
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
    settled_at_ = callbacks_.now();
    fence_.on_settled(view_.epoch_open, callbacks_.now());
    sync_peers();
}

// Until a membership change is settled, the previous members can still renew
// view leases among themselves, so a majority of them must apply it as well.
bool membership::in_force(std::int64_t revision) const
{
    return view_.applied_revision >= revision &&
           majority_applied(view_.members, revision, false) &&
           (settled() ||
               majority_applied(view_.previous_members, revision, false));
}

std::vector<instance_id> membership::missing_members(
    std::int64_t revision) const
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
    notify_in_force_waiters();
}

void membership::notify_in_force_waiters()
{
    // A handler may add a waiter, so the list is moved out first.
    auto waiting = std::exchange(waiters_, {});
    std::vector<in_force_waiter> done;
    for (auto& waiter : waiting)
    {
        const bool finished =
            in_force(waiter.revision) || callbacks_.now() >= waiter.deadline;
        (finished ? done : waiters_).push_back(std::move(waiter));
    }
    for (auto& waiter : done)
        waiter.handler(
            {in_force(waiter.revision), missing_members(waiter.revision)});
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
    callbacks_.on_serving_changed(serving_);
}

std::vector<instance_id> membership::admitting() const
{
    const auto now = callbacks_.now();
    std::vector<instance_id> certain;
    std::vector<instance_id> possible;
    for (const auto& instance : serving_)
    {
        if (instance == local_.instance)
        {
            if (callbacks_.admits_for() > duration::zero())
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
    stopping_since_ = callbacks_.now();
    stopping_sequence_ = next_sequence_;
    next_heartbeat_.reset();
}

bool membership::stop_acknowledged() const
{
    // A peer that has received nothing since then considers this instance
    // silent.
    if (callbacks_.now() - stopping_since_ >= suspicion_time)
        return true;
    return std::all_of(peers_.begin(), peers_.end(),
        [](const auto& entry) { return entry.second.acknowledged_stop; });
}

void membership::leave(std::function<void()> on_left)
{
    begin_stopping();
    leaving_ = true;
    on_left_ = std::move(on_left);
    if (!is_member() && on_left_)
        std::exchange(on_left_, nullptr)();
}

// Members except those that are absent, silent or replaced by this incarnation.
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
        settled() && fence_.may_open_epoch(view_, *settled_at_,
                         callbacks_.given_guests(), callbacks_.now());
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

config::Change membership::make_change(action next) const
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
    const auto now = callbacks_.now();
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
    callbacks_.commit(make_change(next), view_,
        [this, number](const result<std::int64_t>& outcome)
        {
            // A late answer to an earlier proposal must not end the current
            // one.
            if (number != proposal_number_)
                return;
            proposal_until_ = callbacks_.now() + retry_delay;
            if (!outcome)
                TQ_LOG(logger_, info)
                    << "A membership change was not committed: "
                    << outcome.error().message();
        });
}

} // namespace tarragonquay::membership
