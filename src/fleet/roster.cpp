#include "fleet/roster.hpp"

#include <algorithm>
#include <iterator>

namespace tarragonquay::fleet
{

namespace
{

/// Longer than news about a member that is gone can go round.
constexpr std::chrono::seconds memory_of_gone{60};

} // namespace

bool roster::note_direct(const member& told, time_point now)
{
    if (told.id == self_.id || told.id.empty())
        return false;
    const auto found = members_.find(told.id);
    if (found == members_.end())
    {
        if (members_.size() >= max_members)
            return false;
        members_.emplace(told.id, known{told, now});
        return true;
    }
    auto& at = found->second;
    const bool restarted =
        !at.alive || at.value.incarnation != told.incarnation;
    // Messages may overtake each other when a connection was opened anew.
    if (!restarted && told.heartbeat <= at.value.heartbeat)
        return false;
    at = {told, now};
    return restarted;
}

void roster::note_passed_on(const member& told, time_point now)
{
    if (told.id == self_.id || told.id.empty())
        return;
    const auto found = members_.find(told.id);
    if (found == members_.end())
    {
        if (members_.size() < max_members)
            members_.emplace(told.id, known{told, now});
        return;
    }
    auto& at = found->second;
    const bool newer = told.incarnation > at.value.incarnation ||
                       (told.incarnation == at.value.incarnation &&
                           told.heartbeat > at.value.heartbeat);
    if (newer)
        at = {told, now};
}

std::vector<member> roster::expire(time_point now)
{
    std::vector<member> out;
    for (auto it = members_.begin(); it != members_.end();)
    {
        auto& each = it->second;
        const auto age = now - each.progress_at;
        if (each.alive && age >= lifetime)
        {
            each.alive = false;
            out.push_back(each.value);
        }
        it = age >= memory_of_gone ? members_.erase(it) : std::next(it);
    }
    return out;
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

std::vector<member> roster::receivers(
    std::size_t count, std::mt19937_64& random) const
{
    const auto all = others();
    std::vector<member> out;
    std::sample(all.begin(), all.end(), std::back_inserter(out), count, random);
    return out;
}

} // namespace tarragonquay::fleet
