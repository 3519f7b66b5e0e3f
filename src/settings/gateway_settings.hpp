#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::settings
{

/// Listen addresses of a gateway, each "ip:port".
struct gateway_addresses
{
    std::string callers;
    /// Serves the list of gateways that callers may use.
    std::string entries;
    std::string readiness;
    std::string peers;
    /// Empty disables the metrics listener.
    std::string metrics;

    auto operator<=>(const gateway_addresses&) const = default;
};

/// Time and retry limits of a deployment. A file can't hold a deadline, so
/// intervals are in milliseconds and are converted to deadlines when used.
struct gateway_bounds
{
    /// Time from the stop signal until the process is killed.
    std::int64_t stop_ms = 8'000;
    /// Longest time that callers may cache the list of entries.
    std::int64_t entries_keep_ms = 5'000;
    /// Minimum time between the commands of two successive holders of the
    /// placement lease.
    std::int64_t placement_lease_ms = 3'000;
    /// Interval at which endpoints renew their directory entries. An entry
    /// expires after three intervals without a renewal.
    std::int64_t endpoint_heartbeat_ms = 1'200;
    /// Time after the store becomes reachable again within which expired
    /// directory entries of live endpoints are restored.
    std::int64_t directory_recovery_ms = 2'000;
    /// Retry budget of a service over all instances: this fraction of the
    /// requests in the window plus `repeat_slack` retries.
    double repeat_ratio = 0.2;
    std::int64_t repeat_window_ms = 10'000;
    double repeat_slack = 50;
    /// Limit of the loads from the weight store in every window: its rate times
    /// the overshoot, plus the slack.
    std::int64_t load_window_ms = 5'000;
    double load_overshoot = 1.1;
    double load_slack = 3;
    /// Time after the store's confirmation within which an evacuation takes
    /// effect at all instances, also after a freeze; 0 when nothing is promised
    /// of instances that were frozen.
    std::int64_t evacuate_ms = 0;
    /// Longest time for which an endpoint's own request for a pause is
    /// honoured.
    std::int64_t max_endpoint_pause_ms = 30'000;
    /// Limit of the requests to a cold endpoint in any second: the rate that it
    /// tolerates times the overshoot, plus the slack. Without both, endpoints
    /// have no cold phases.
    std::optional<double> cold_overshoot;
    std::optional<double> cold_slack;

    auto operator<=>(const gateway_bounds&) const = default;
};

/// Settings of one gateway process.
struct gateway_settings
{
    instance_id instance;
    std::string availability_zone;
    std::string region;
    gateway_addresses listen;
    /// Peer addresses contacted at startup.
    std::vector<std::string> seeds;
    std::string store_address;
    std::string log_level = "info";
    /// Longest time that a change feed call waits at the store.
    std::int64_t feed_wait_ms = 8'000;
    std::int64_t max_connections = 3'000;
    /// Number of cores that the process may use. Instances with a larger share
    /// relay messages for others.
    double processor_share = 1.0;
    gateway_bounds bounds;

    auto operator<=>(const gateway_settings&) const = default;
};

/// Reads and checks a settings file, or its text. Every key is checked as in
/// settings::load; `name` is the file name shown in error messages.
result<gateway_settings> load_gateway(const std::string& path);
result<gateway_settings> parse_gateway(
    const std::string& text, const std::string& name);

} // namespace tarragonquay::settings
