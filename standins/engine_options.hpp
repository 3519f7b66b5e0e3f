#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tarragonquay::standins
{

struct engine_options
{
    std::string listen = "127.0.0.1:0";
    std::string admin;
    /// Models resident from the start, "name:version:bytes".
    std::vector<std::string> models;
    std::int64_t capacity_bytes = 80'000'000'000;
    bool honours_fencing = true;
    bool refuse_overcommit = false;

    double token_ms = 10;
    /// Relative growth of the time per token with each further stream.
    double batch_slope = 0.02;
    double prefill_us_per_token = 50;
    int max_batch = 32;
    int cache_entries = 1000;
    int keep_streams = 1000;

    double load_bytes_per_second = 20e9;
    /// Address of the weight store; empty loads at the speed above.
    std::string weight_store;
    double unload_ms = 5;
    int adapters_in_flight = 15;
    double report_lag_ms = 200;
};

/// Faults that tests switch on; the counters apply to the next requests.
struct engine_faults
{
    double slow_factor = 1;
    bool silent = false;
    int lose_command_answers = 0;
    int delay_command_answers = 0;
    double command_answer_delay_ms = 0;
    double execution_delay_ms = 0;
    int crossed_answers = 0;
    int cut_streams = 0;
    int stall_streams = 0;
    int duplicate_events = 0;
    int skip_events = 0;
    /// Event offset at which the four faults above strike.
    int at_event = 1;
    int close_mid_body = 0;
};

/// Uses one of the remaining occurrences of a fault.
inline bool consume(int& counter)
{
    if (counter <= 0)
        return false;
    --counter;
    return true;
}

} // namespace tarragonquay::standins
