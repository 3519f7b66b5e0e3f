#include "membership/epoch_fence.hpp"

#include <algorithm>

#include "membership/timing.hpp"

namespace tarragonquay::membership
{

namespace
{

// Bounds the messages. With more guests, the next epoch waits until all of
// them are fenced.
constexpr int max_named_guests = 64;

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

bool is_long_ago(const std::optional<time_point>& since, time_point now)
{
    return since && now - *since >= fencing_time;
}

} // namespace

void epoch_fence::on_view(const membership_view& current,
    const membership_view& next, const has_applied& applied, time_point now)
{
    if (next.membership_revision != current.membership_revision)
        note_removals(current, next, applied, now);
    if (next.epoch_open)
    {
        removals_.clear();
        knows_removals_ = true;
        last_open_epoch_ = next.epoch;
        close_settled_at_.reset();
    }
}

void epoch_fence::note_removals(const membership_view& current,
    const membership_view& next, const has_applied& applied, time_point now)
{
    // A change is committed only when the one before it is settled.
    if (current.membership_revision > 0)
        on_settled(current.epoch_open, now);
    if (next.applied_revision != current.applied_revision + 1)
        knows_removals_ = false;
    for (const auto& member : current.members)
    {
        if (contains(next.members, member))
            continue;
        const bool local = member.instance == local_.instance &&
                           member.incarnation == local_.incarnation;
        removals_.push_back({member, next.membership_revision, {},
            local || applied(member, next.membership_revision)});
    }
    // A member that joined again proposed that itself, after it had applied
    // its removal.
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

void epoch_fence::acknowledge(
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

void epoch_fence::note_guests(const peer::Envelope& envelope)
{
    limits::guest_list reported{envelope.guest_epoch(), {}};
    if (envelope.guest_incarnations_size() <= max_named_guests)
        reported.incarnations.insert(envelope.guest_incarnations().begin(),
            envelope.guest_incarnations().end());
    reported_guests_ = merged(reported_guests_, reported);
    if (reported_guests_.incarnations.size() > max_named_guests)
        reported_guests_.incarnations.clear();
}

void epoch_fence::name_guests(
    const limits::guest_list& given, peer::Envelope& envelope) const
{
    const auto guests = merged(reported_guests_, given);
    envelope.set_guest_epoch(guests.epoch);
    // Of a superseded epoch, nobody needs to know the guests.
    if (guests.epoch >= last_open_epoch_ &&
        guests.incarnations.size() <= max_named_guests)
        envelope.mutable_guest_incarnations()->Add(
            guests.incarnations.begin(), guests.incarnations.end());
}

bool epoch_fence::is_clear(const membership_view& view, time_point settled_at,
    const limits::guest_list& given, time_point now) const
{
    return removed_are_fenced(view, settled_at, now) &&
           guests_are_fenced(view, given, now);
}

// A removed member may serve with its old share until it has applied its
// removal or can't hold a view lease any more.
bool epoch_fence::removed_are_fenced(
    const membership_view& view, time_point settled_at, time_point now) const
{
    // The very first membership has nobody to fence.
    if (view.epoch <= 1)
        return true;
    // What was skipped was settled before the last change was.
    if (!knows_removals_)
        return is_long_ago(settled_at, now);
    return std::all_of(removals_.begin(), removals_.end(),
        [&](const removal& each)
        { return each.acknowledged || is_long_ago(each.settled_at, now); });
}

// A guest that has become a member acknowledges the change before the epoch
// opens, and one that was removed again is fenced like any member.
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

// Another guest can't be waited for, but can't hold a view lease without
// having seen the close of the epoch once the fencing time has passed. Every
// member of the last open epoch, and every guest that joined, has named its
// guests in its acknowledgement, or is fenced itself, which takes as long.
bool epoch_fence::guests_are_fenced(const membership_view& view,
    const limits::guest_list& given, time_point now) const
{
    const auto guests = merged(reported_guests_, given);
    if (guests.epoch == 0 || guests.epoch < last_open_epoch_)
        return true;
    if (!guests.incarnations.empty() &&
        std::all_of(guests.incarnations.begin(), guests.incarnations.end(),
            [&](const auto& each) { return is_joined_or_removed(view, each); }))
        return true;
    return is_long_ago(close_settled_at_, now);
}

} // namespace tarragonquay::membership
