#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::settings
{

/// Addresses of a gateway, each "ip:port".
struct gateway_addresses
{
    std::string callers;
    /// Answers callers that ask which gateway to use.
    std::string entries;
    std::string readiness;
    std::string peers;
    /// Empty for no metrics.
    std::string metrics;

    auto operator<=>(const gateway_addresses&) const = default;
};

/// Bounds that a deployment gives. A file can't hold a deadline, so intervals
/// are milliseconds here and become deadlines when they are used.
struct gateway_bounds
{
    /// Time from the signal to stop until the process is killed.
    std::int64_t stop_ms = 8'000;
    /// Longest time that callers may keep an answer about entries.
    std::int64_t entries_keep_ms = 5'000;
    /// Two holders of the placement lease give commands at least this far
    /// apart.
    std::int64_t placement_lease_ms = 3'000;
    /// Lapsed directory entries of living endpoints are back this long after
    /// the store's return.
    std::int64_t directory_recovery_ms = 2'000;
    /// Repeated sends to a service: a part of the requests in the window, and
    /// a number besides, over all instances.
    double repeat_ratio = 0.2;
    std::int64_t repeat_window_ms = 10'000;
    double repeat_slack = 50;

    auto operator<=>(const gateway_bounds&) const = default;
};

/// Settings of one gateway process.
struct gateway_settings
{
    instance_id instance;
    std::string availability_zone;
    std::string region;
    gateway_addresses listen;
    /// Peer addresses to ask at the start.
    std::vector<std::string> seeds;
    std::string store_address;
    std::string log_level = "info";
    /// Longest time that a call of the change feeds waits at the store.
    std::int64_t feed_wait_ms = 8'000;
    std::int64_t max_connections = 3'000;
    /// Part of a core that the process may use. Instances with more of it relay
    /// messages for others.
    double processor_share = 1.0;
    gateway_bounds bounds;

    auto operator<=>(const gateway_settings&) const = default;
};

/// As for the daemon's settings: every key is checked.
result<gateway_settings> load_gateway(const std::string& path);
result<gateway_settings> parse_gateway(
    const std::string& text, const std::string& name);

} // namespace tarragonquay::settings
