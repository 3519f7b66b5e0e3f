#include "membership/member_presence.hpp"

#include <algorithm>
#include <set>

#include "membership/timing.hpp"

namespace tarragonquay::membership
{

namespace
{

// Allows for the clock difference between the platform and an instance.
constexpr duration list_clock_margin = std::chrono::seconds(2);

bool fencing_time_passed(const std::map<std::string, time_point>& times,
    const catalog::member& member, time_point now)
{
    const auto found = times.find(member.incarnation);
    return found != times.end() && now - found->second >= fencing_time;
}

} // namespace

void member_presence::set_members(
    std::vector<catalog::member> members, time_point now)
{
    members_ = std::move(members);
    std::map<std::string, time_point> known;
    for (const auto& member : members_)
    {
        const auto before = known_since_.find(member.incarnation);
        known[member.incarnation] =
            before == known_since_.end() ? now : before->second;
    }
    known_since_ = std::move(known);
    std::erase_if(replaced_since_,
        [&](const auto& entry) { return !known_since_.contains(entry.first); });
}

void member_presence::update_list(
    const std::vector<instance_id>& instances, time_point as_of, time_point now)
{
    const std::set<instance_id> listed(instances.begin(), instances.end());
    const auto before = std::exchange(absent_since_, {});
    // The list may cover other instances only, or predate this instance.
    if (!listed.contains(local_.instance))
        return;
    for (const auto& member : members_)
    {
        // A list from an earlier time may not contain an instance that has been
        // restarted since.
        if (listed.contains(member.instance) ||
            as_of < known_since_.at(member.incarnation) + list_clock_margin)
            continue;
        const auto found = before.find(member.incarnation);
        absent_since_[member.incarnation] =
            found == before.end() ? now : found->second;
    }
}

// Only one process at a time can bind an address, so a message from another
// incarnation at a member's address proves that the member has ended. Without
// this rule, no majority could acknowledge the last membership change after all
// instances have restarted at the same time.
void member_presence::record_replacement(
    const peer::Envelope& envelope, time_point now)
{
    for (const auto& member : members_)
    {
        if (member.instance.str() == envelope.from_instance() &&
            member.incarnation != envelope.from_incarnation() &&
            member.peer_address == envelope.from_address())
            replaced_since_.try_emplace(member.incarnation, now);
    }
}

bool member_presence::is_replaced(
    const catalog::member& member, time_point now) const
{
    return fencing_time_passed(replaced_since_, member, now);
}

bool member_presence::is_unlisted(
    const catalog::member& member, time_point now) const
{
    return fencing_time_passed(absent_since_, member, now);
}

} // namespace tarragonquay::membership
