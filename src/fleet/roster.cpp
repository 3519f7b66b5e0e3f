#include "fleet/roster.hpp"

#include <algorithm>
#include <iterator>

#include "common/digest.hpp"

namespace tarragonquay::fleet
{

namespace
{

/// Longer than news about a member that is gone can go round.
constexpr std::chrono::seconds memory_of_gone{60};

} // namespace

std::uint64_t progress_key(const member& of)
{
    return fast_hash(of.id.str(), static_cast<std::uint64_t>(of.incarnation));
}

void roster::put(const member& told, time_point now)
{
    auto& at = members_[told.id];
    keys_.erase(progress_key(at.value));
    at = {told, now};
    keys_[progress_key(told)] = told.id;
}

bool roster::record_direct(const member& told, time_point now)
{
    if (told.id == self_.id || told.id.empty())
        return false;
    const auto found = members_.find(told.id);
    if (found == members_.end())
    {
        if (members_.size() >= max_members)
            return false;
        put(told, now);
        return true;
    }
    const auto& at = found->second;
    const bool restarted =
        !at.alive || at.value.incarnation != told.incarnation;
    // Messages may overtake each other when a connection was opened anew.
    if (!restarted && told.heartbeat <= at.value.heartbeat)
        return false;
    put(told, now);
    return restarted;
}

void roster::record_gossip(const member& told, time_point now)
{
    if (told.id == self_.id || told.id.empty())
        return;
    const auto found = members_.find(told.id);
    if (found == members_.end())
    {
        if (members_.size() < max_members)
            put(told, now);
        return;
    }
    const auto& at = found->second;
    const bool newer = told.incarnation > at.value.incarnation ||
                       (told.incarnation == at.value.incarnation &&
                           told.heartbeat > at.value.heartbeat);
    if (newer)
        put(told, now);
}

void roster::record_progress(const member_progress& told, time_point now)
{
    const auto key = keys_.find(told.key);
    if (key == keys_.end())
        return;
    auto& at = members_.at(key->second);
    if (told.heartbeat <= at.value.heartbeat)
        return;
    at.value.heartbeat = told.heartbeat;
    at.value.ready = told.ready;
    at.progress_at = now;
    at.alive = true;
}

std::vector<member> roster::expire(time_point now, duration allowed)
{
    std::vector<member> out;
    for (auto it = members_.begin(); it != members_.end();)
    {
        auto& each = it->second;
        const auto age = now - each.progress_at;
        if (each.alive && age >= allowed)
        {
            each.alive = false;
            out.push_back(each.value);
        }
        if (age < memory_of_gone)
        {
            ++it;
            continue;
        }
        keys_.erase(progress_key(each.value));
        it = members_.erase(it);
    }
    return out;
}

std::vector<member_progress> roster::progress() const
{
    std::vector<member_progress> out;
    const auto add = [&](const member& of) {
        out.push_back({progress_key(of), of.heartbeat, of.ready});
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
