#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/error.hpp"

namespace tarragonquay::load
{

/// Inclusive range from which sizes are drawn uniformly.
struct size_range
{
    int lowest = 0;
    int highest = 0;
};

/// Arrivals of one workspace.
struct workspace_load
{
    std::string name = "acme";
    std::string key;
    /// Mean arrivals per second; the gaps are exponential.
    double requests_per_second = 5;
    size_range prompt_bytes{100, 400};
    size_range max_tokens{8, 32};
    bool stream = true;
    std::string priority;
    std::int64_t deadline_ms = 10'000;
    /// The model of rank k has the weight 1 / k^zipf_exponent.
    std::vector<std::string> models;
    double zipf_exponent = 1;
    /// Share of the arrivals that are orders to the service.
    double order_share = 0;
    std::string service = "orders";
    std::string order_path = "/send";
};

struct scenario
{
    std::uint64_t seed = 1;
    std::vector<workspace_load> workspaces;
};

/// Where and for how long the load is sent.
struct run_options
{
    /// Entry addresses to ask for /v1/entries.
    std::vector<std::string> entries;
    std::string availability_zone;
    /// Engine to send to directly; replaces the entries.
    std::string direct;
    double duration_s = 10;
    std::int64_t max_requests = 100'000;
    int max_in_flight = 2000;
};

/// Reads a scenario; errors name the file, the line and the key.
result<scenario> read_scenario(const std::string& path);

} // namespace tarragonquay::load
