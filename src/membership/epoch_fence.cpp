#include "membership/epoch_fence.hpp"

#include <algorithm>

#include "membership/timing.hpp"

namespace tarragonquay::membership
{

namespace
{

// Limits the message size. With more guests, the list is sent empty and the
// next epoch waits until the fencing time has passed.
constexpr int max_named_guests = 64;

// An empty list of the same epoch means that its guests are not known by name,
// so the merged list is empty as well.
limits::guest_list merged(
    limits::guest_list first, const limits::guest_list& second)
{
    if (first.epoch != second.epoch)
        return first.epoch > second.epoch ? first : second;
    if (first.incarnations.empty() || second.incarnations.empty())
        first.incarnations.clear();
    else
        first.incarnations.insert(
            second.incarnations.begin(), second.incarnations.end());
    return first;
}

bool fencing_time_passed(const std::optional<time_point>& since, time_point now)
{
    return since && now - *since >= fencing_time;
}

} // namespace

void epoch_fence::on_view_change(const membership_view& current,
    const membership_view& next, const has_applied& applied, time_point now)
{
    if (next.membership_revision != current.membership_revision)
        record_removals(current, next, applied, now);
    if (next.epoch_open)
    {
        removals_.clear();
        removals_complete_ = true;
        last_open_epoch_ = next.epoch;
        close_settled_at_.reset();
    }
}

void epoch_fence::record_removals(const membership_view& current,
    const membership_view& next, const has_applied& applied, time_point now)
{
    // A membership change is committed only after the previous one has settled.
    if (current.membership_revision > 0)
        on_settled(current.epoch_open, now);
    if (next.applied_revision != current.applied_revision + 1)
        removals_complete_ = false;
    for (const auto& member : current.members)
    {
        if (contains(next.members, member))
            continue;
        const bool local = member.instance == local_.instance &&
                           member.incarnation == local_.incarnation;
        removals_.push_back({member, next.membership_revision, {},
            local || applied(member, next.membership_revision)});
    }
    // A member that joined again proposed the change itself, after it had
    // applied its removal.
    std::erase_if(removals_, [&](const removal& earlier)
        { return contains(next.members, earlier.member); });
}

void epoch_fence::on_settled(bool epoch_open, time_point now)
{
    for (auto& each : removals_)
    {
        if (!each.settled_at)
            each.settled_at = now;
    }
    if (!epoch_open && !close_settled_at_)
        close_settled_at_ = now;
}

void epoch_fence::record_acknowledgement(
    const peer::Envelope& envelope, std::int64_t revision)
{
    for (auto& each : removals_)
    {
        if (each.member.instance.str() == envelope.from_instance() &&
            each.member.incarnation == envelope.from_incarnation() &&
            revision >= each.revision)
            each.acknowledged = true;
    }
}

void epoch_fence::record_guests(const peer::Envelope& envelope)
{
    limits::guest_list reported{envelope.guest_epoch(), {}};
    if (envelope.guest_incarnations_size() <= max_named_guests)
        reported.incarnations.insert(envelope.guest_incarnations().begin(),
            envelope.guest_incarnations().end());
    reported_guests_ = merged(reported_guests_, reported);
    if (reported_guests_.incarnations.size() > max_named_guests)
        reported_guests_.incarnations.clear();
}

void epoch_fence::add_guests(
    const limits::guest_list& own_guests, peer::Envelope& envelope) const
{
    const auto guests = merged(reported_guests_, own_guests);
    envelope.set_guest_epoch(guests.epoch);
    // The guests of a superseded epoch are no longer needed.
    if (guests.epoch >= last_open_epoch_ &&
        guests.incarnations.size() <= max_named_guests)
        envelope.mutable_guest_incarnations()->Add(
            guests.incarnations.begin(), guests.incarnations.end());
}

bool epoch_fence::may_open_epoch(const membership_view& view,
    time_point settled_at, const limits::guest_list& own_guests,
    time_point now) const
{
    return removed_are_fenced(view, settled_at, now) &&
           guests_are_fenced(view, own_guests, now);
}

// A removed member may serve with its old share until it has applied its
// removal or can no longer hold a view lease.
bool epoch_fence::removed_are_fenced(
    const membership_view& view, time_point settled_at, time_point now) const
{
    // Before the first membership there are no members to fence.
    if (view.epoch <= 1)
        return true;
    // Skipped membership changes settled before the last one did.
    if (!removals_complete_)
        return fencing_time_passed(settled_at, now);
    return std::all_of(removals_.begin(), removals_.end(),
        [&](const removal& each) {
            return each.acknowledged ||
                   fencing_time_passed(each.settled_at, now);
        });
}

// A guest that has become a member acknowledges the change before the epoch
// opens; if it was removed again, it is fenced like any other member.
bool epoch_fence::is_joined_or_removed(
    const membership_view& view, const std::string& incarnation) const
{
    return std::any_of(view.members.begin(), view.members.end(),
               [&](const catalog::member& member)
               { return member.incarnation == incarnation; }) ||
           std::any_of(removals_.begin(), removals_.end(),
               [&](const removal& each)
               { return each.member.incarnation == incarnation; });
}

// Other guests send no acknowledgement. Once the fencing time has passed since
// the epoch closed, a guest that has not learned of the close can't hold a view
// lease. All guests are known by then: each member of the last open epoch, and
// each guest that joined, has listed its guests in its acknowledgement or is
// fenced itself, which takes just as long.
bool epoch_fence::guests_are_fenced(const membership_view& view,
    const limits::guest_list& own_guests, time_point now) const
{
    const auto guests = merged(reported_guests_, own_guests);
    if (guests.epoch == 0 || guests.epoch < last_open_epoch_)
        return true;
    if (!guests.incarnations.empty() &&
        std::all_of(guests.incarnations.begin(), guests.incarnations.end(),
            [&](const auto& each) { return is_joined_or_removed(view, each); }))
        return true;
    return fencing_time_passed(close_settled_at_, now);
}

} // namespace tarragonquay::membership
