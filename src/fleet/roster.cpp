#include "fleet/roster.hpp"

#include <algorithm>
#include <iterator>

#include "common/digest.hpp"

namespace tarragonquay::fleet
{

namespace
{

/// How long a lost member is kept. It exceeds the time for which gossip about a
/// lost member can circulate.
constexpr std::chrono::seconds lost_member_retention{60};

} // namespace

std::uint64_t progress_key(const member& subject)
{
    return fast_hash(
        subject.id.str(), static_cast<std::uint64_t>(subject.incarnation));
}

void roster::store(const member& reported, time_point now, bool confirmed)
{
    auto& known = members_[reported.id];
    ids_by_key_.erase(progress_key(known.value));
    known = {reported, now, true, confirmed};
    ids_by_key_[progress_key(reported)] = reported.id;
}

bool roster::record_direct(const member& reported, time_point now)
{
    freeze_.note_running(now);
    if (reported.id == self_.id || reported.id.empty())
        return false;
    const auto found = members_.find(reported.id);
    if (found == members_.end())
    {
        if (members_.size() >= max_members)
            return false;
        store(reported, now);
        return true;
    }
    const auto& known = found->second;
    const bool restarted =
        !known.alive || known.value.incarnation != reported.incarnation;
    // Messages may arrive out of order after a reconnect.
    if (!restarted && reported.heartbeat <= known.value.heartbeat)
        return false;
    store(reported, now);
    return restarted;
}

void roster::record_gossip(const member& reported, time_point heard_at)
{
    if (reported.id == self_.id || reported.id.empty())
        return;
    const auto found = members_.find(reported.id);
    if (found == members_.end())
    {
        if (members_.size() < max_members)
            store(reported, heard_at, false);
        return;
    }
    const auto& known = found->second;
    const bool newer = reported.incarnation > known.value.incarnation ||
                       (reported.incarnation == known.value.incarnation &&
                           reported.heartbeat > known.value.heartbeat);
    if (newer)
        store(reported, std::max(known.progress_at, heard_at));
}

void roster::record_progress(
    const member_progress& reported, time_point heard_at)
{
    const auto key = ids_by_key_.find(reported.key);
    if (key == ids_by_key_.end())
        return;
    auto& known = members_.at(key->second);
    if (reported.heartbeat <= known.value.heartbeat)
        return;
    known.value.heartbeat = reported.heartbeat;
    known.value.ready = reported.ready;
    known.progress_at = std::max(known.progress_at, heard_at);
    known.alive = true;
    known.confirmed = true;
}

std::vector<member> roster::expire(time_point now, duration timeout)
{
    std::vector<member> out;
    for (auto it = members_.begin(); it != members_.end();)
    {
        auto& each = it->second;
        const auto age = now - each.progress_at;
        if (each.alive && age >= timeout)
        {
            each.alive = false;
            out.push_back(each.value);
        }
        if (age < lost_member_retention)
        {
            ++it;
            continue;
        }
        ids_by_key_.erase(progress_key(each.value));
        it = members_.erase(it);
    }
    return out;
}

std::vector<member_progress> roster::progress() const
{
    std::vector<member_progress> out;
    const auto add = [&](const member& subject) {
        out.push_back(
            {progress_key(subject), subject.heartbeat, subject.ready});
    };
    add(self_);
    for (const auto& [id, each] : members_)
        if (each.alive)
            add(each.value);
    return out;
}

std::optional<member> roster::next_lost()
{
    const auto is_lost = [](const auto& each) { return !each.second.alive; };
    auto found =
        std::find_if(members_.upper_bound(last_lost_), members_.end(), is_lost);
    if (found == members_.end())
        found = std::find_if(members_.begin(), members_.end(), is_lost);
    if (found == members_.end())
        return std::nullopt;
    last_lost_ = found->first;
    return found->second.value;
}

std::vector<member> roster::others() const
{
    std::vector<member> out;
    for (const auto& [id, each] : members_)
        if (each.alive)
            out.push_back(each.value);
    return out;
}

time_point roster::heard_at(const entry& known) const
{
    return known.progress_at < freeze_.settled_at()
               ? std::min(known.progress_at, freeze_.frozen_since())
               : known.progress_at;
}

std::vector<member> roster::others_heard(time_point now, duration timeout)
{
    freeze_.note_running(now);
    std::vector<member> out;
    for (const auto& [id, each] : members_)
        if (each.alive && now - heard_at(each) < timeout)
            out.push_back(each.value);
    return out;
}

std::vector<silent_member> roster::silent_members(time_point now) const
{
    std::vector<silent_member> out;
    for (const auto& [id, each] : members_)
        if (each.alive &&
            (!each.confirmed || now - heard_at(each) >= silence_told_after))
            out.push_back({progress_key(each.value), heard_at(each)});
    return out;
}

const member* roster::find(const instance_id& id) const
{
    const auto found = members_.find(id);
    return found == members_.end() || !found->second.alive
               ? nullptr
               : &found->second.value;
}

std::vector<member> roster::random_members(
    std::size_t count, std::mt19937_64& random) const
{
    const auto all = others();
    std::vector<member> out;
    std::sample(all.begin(), all.end(), std::back_inserter(out), count, random);
    return out;
}

} // namespace tarragonquay::fleet
