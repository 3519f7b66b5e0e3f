#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace tarragonquay::routing
{

/// An endpoint that can take a request, with the inputs of the choice.
struct candidate
{
    /// Hash of the endpoint's id, for rendezvous hashing.
    std::uint64_t id_hash = 0;
    /// Requests of this instance that the endpoint has not finished.
    std::int32_t own_in_flight = 0;
    /// Load of other instances, discounted by the age of the report.
    double other_load = 0;
    bool same_zone = false;

    double score() const { return own_in_flight + other_load; }
};

struct choice
{
    std::size_t index = 0;
    bool prefix_expected = false;
};

/// Chooses one of several candidates; the list is never empty.
template <class Policy>
concept choice_policy = requires(Policy& policy,
    const std::vector<candidate>& candidates, std::uint64_t prefix_hash)
{
    {
        policy.choose(candidates, prefix_hash)
        } -> std::convertible_to<choice>;
};

/// Chooses the lowest load. A request with a prefix goes to the endpoint that
/// rendezvous hashing assigns to the prefix, unless the load of that endpoint
/// exceeds a bounded multiple of the mean.
class load_aware_choice
{
public:
    explicit load_aware_choice(std::uint64_t seed = 1) : random_(seed) {}
    choice choose(
        const std::vector<candidate>& candidates, std::uint64_t prefix_hash);

private:
    std::mt19937_64 random_;
};

/// Baseline: any candidate with equal probability.
class random_choice
{
public:
    explicit random_choice(std::uint64_t seed = 1) : random_(seed) {}
    choice choose(
        const std::vector<candidate>& candidates, std::uint64_t prefix_hash);

private:
    std::mt19937_64 random_;
};

/// Baseline: fewest of this instance's own requests; the first one on ties.
class least_in_flight_choice
{
public:
    choice choose(
        const std::vector<candidate>& candidates, std::uint64_t prefix_hash);
};

} // namespace tarragonquay::routing
