#include "routing/choice.hpp"

#include <algorithm>

namespace tarragonquay::routing
{
namespace
{

// Bound of the load at which a prefix stays at its endpoint. A prefix hit saves
// the prefill, which is worth about this much extra load.
constexpr double bound_factor = 1.25;
constexpr double bound_slack = 2.0;

// Combines two hashes so that each prefix ranks the endpoints independently.
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    auto x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace

choice load_aware_choice::choose(
    const std::vector<candidate>& candidates, std::uint64_t prefix_hash)
{
    double total = 0;
    for (const auto& each : candidates)
        total += each.score();
    const auto mean = total / static_cast<double>(candidates.size());
    if (prefix_hash != 0)
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < candidates.size(); ++i)
            if (mix(prefix_hash, candidates[i].id_hash) >
                mix(prefix_hash, candidates[best].id_hash))
                best = i;
        if (candidates[best].score() <= mean * bound_factor + bound_slack)
            return {best, true};
    }
    // Instances that see the same reports must not all choose the same
    // endpoint, so candidates that are equal in load and zone share evenly.
    std::size_t best = 0;
    std::uint64_t tied = 1;
    for (std::size_t i = 1; i < candidates.size(); ++i)
    {
        const auto difference =
            candidates[i].score() - candidates[best].score();
        const bool only_this_in_zone =
            candidates[i].same_zone && !candidates[best].same_zone;
        const bool only_best_in_zone =
            !candidates[i].same_zone && candidates[best].same_zone;
        constexpr double tie = 0.5;
        if (difference < -tie || (difference <= tie && only_this_in_zone))
        {
            best = i;
            tied = 1;
        }
        else if (difference <= tie && !only_best_in_zone &&
                 random_() % ++tied == 0)
            best = i;
    }
    return {best, false};
}

choice random_choice::choose(
    const std::vector<candidate>& candidates, std::uint64_t)
{
    return {static_cast<std::size_t>(random_() % candidates.size()), false};
}

choice least_in_flight_choice::choose(
    const std::vector<candidate>& candidates, std::uint64_t)
{
    const auto best = std::min_element(candidates.begin(), candidates.end(),
        [](const candidate& a, const candidate& b)
        { return a.own_in_flight < b.own_in_flight; });
    return {static_cast<std::size_t>(best - candidates.begin()), false};
}

} // namespace tarragonquay::routing
