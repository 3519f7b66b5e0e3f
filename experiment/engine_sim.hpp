#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "routing/types.hpp"

namespace tarragonquay::experiment
{

/// Speed of a simulated engine with continuous batching.
struct engine_speed
{
    double prefill_tokens_per_second = 20000;
    /// Time between tokens of a batch of one, and its growth per request.
    double base_token_s = 0.008;
    double token_s_per_request = 0.0003;
    int largest_batch = 48;
    /// Prompt prefixes that stay in the cache.
    std::size_t cached_prefixes = 24;
    bool silent = false;
};

/// A request at an engine, and what its caller saw.
struct simulated_request
{
    std::uint64_t assignment = 0;
    std::uint64_t prefix_hash = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    time_point arrived_at;
    // Work that is left.
    double prefill_left = 0;
    double decode_left = 0;
    bool prefix_hit = false;
    double first_token_s = 0;
    double decode_s = 0;

    /// First token within 1 s and 33 ms between tokens on average.
    bool attained() const
    {
        constexpr double first_token_target_s = 1.0;
        constexpr double between_tokens_target_s = 0.033;
        return first_token_s <= first_token_target_s &&
               decode_s <=
                   between_tokens_target_s * static_cast<double>(output_tokens);
    }
};

/// A model engine that shares its time among the requests of a batch.
class engine_sim
{
public:
    explicit engine_sim(engine_speed speed) : speed_(speed) {}

    void submit(simulated_request request);
    void cancel(std::uint64_t assignment);
    /// Runs for this long; returns what finished.
    std::vector<simulated_request> run(double seconds, time_point now);

    int running() const { return static_cast<int>(batch_.size()); }
    int waiting() const { return static_cast<int>(queue_.size()); }
    void set_silent(bool value) { speed_.silent = value; }
    bool silent() const { return speed_.silent; }

private:
    bool touch_prefix(std::uint64_t prefix);
    void fill_batch();

    engine_speed speed_;
    std::deque<simulated_request> queue_;
    std::vector<simulated_request> batch_;
    std::list<std::uint64_t> prefixes_;
};

} // namespace tarragonquay::experiment
