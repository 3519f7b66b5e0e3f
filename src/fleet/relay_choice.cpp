#include "fleet/relay_choice.hpp"

#include <algorithm>
#include <tuple>

#include "common/digest.hpp"

namespace tarragonquay::fleet
{

std::vector<instance_id> relays_of_zone(const std::vector<member>& members,
    const std::string& zone, const std::set<instance_id>& excluded)
{
    std::vector<const member*> candidates;
    std::size_t zone_size = 0;
    for (const auto& each : members)
    {
        if (each.availability_zone != zone)
            continue;
        ++zone_size;
        if (!excluded.contains(each.id))
            candidates.push_back(&each);
    }
    const auto relay_count = std::min(candidates.size(),
        (zone_size + instances_per_relay - 1) / instances_per_relay);
    const auto rank = [](const member* candidate)
    {
        return std::tuple(!candidate->ready, -candidate->processor_share,
            fast_hash(candidate->id.str()));
    };
    std::partial_sort(candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(relay_count),
        candidates.end(),
        [&](const member* a, const member* b) { return rank(a) < rank(b); });
    std::vector<instance_id> out;
    for (std::size_t i = 0; i < relay_count; ++i)
        out.push_back(candidates[i]->id);
    return out;
}

std::optional<instance_id> relay_of(
    const instance_id& instance, const std::vector<instance_id>& relays)
{
    // A relay reports to itself.
    if (std::find(relays.begin(), relays.end(), instance) != relays.end())
        return instance;
    const auto rank = [&](const instance_id& relay)
    { return fast_hash(instance.str(), fast_hash(relay.str())); };
    const auto best = std::max_element(relays.begin(), relays.end(),
        [&](const instance_id& a, const instance_id& b)
        { return rank(a) < rank(b); });
    return best == relays.end() ? std::nullopt : std::optional(*best);
}

} // namespace tarragonquay::fleet
