#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::settings
{

/// Listen or advertised addresses of a daemon, each "ip:port".
struct addresses
{
    std::string entry;
    std::string operators;
    std::string peer;

    auto operator<=>(const addresses&) const = default;
};

/// Certificate and key of the operator listener; both empty without TLS.
struct tls
{
    std::string certificate_file;
    std::string key_file;

    auto operator<=>(const tls&) const = default;
};

/// Limits on the placement of one region.
struct placement
{
    bool enabled = true;
    double loads_per_second = 1.0;
    std::int64_t loads_at_once = 2;
    std::int64_t adapters_in_flight = 15;

    auto operator<=>(const placement&) const = default;
};

/// Settings of one daemon process. A file can't hold a deadline, so intervals
/// are in milliseconds and are converted to deadlines when used.
struct daemon_settings
{
    instance_id instance;
    std::string availability_zone;
    std::string region;
    addresses listen;
    /// Addresses that other processes connect to; default to `listen`.
    addresses advertise;
    std::string platform_address;
    /// Peer addresses contacted at startup.
    std::vector<std::string> peers;
    std::int64_t traffic_threads = 2;
    std::string log_level = "info";
    std::int64_t view_lease_ms = 5'000;
    std::int64_t head_poll_ms = 1'000;
    /// How long callers may cache a response to GET /v1/entries.
    std::int64_t entries_keep_ms = 5'000;
    /// Longest time that shutdown waits for running requests.
    std::int64_t stop_ms = 60'000;
    std::int64_t events_kept = 4'096;
    settings::tls operator_tls;
    settings::placement placement;

    auto operator<=>(const daemon_settings&) const = default;
};

/// Reads and checks a settings file. Fails with invalid_settings, naming the
/// file, line and key, on an unknown key, a wrong type, a value out of range or
/// contradicting values.
result<daemon_settings> load(const std::string& path);

/// The same for text; `name` is the file name shown in error messages.
result<daemon_settings> parse(const std::string& text, const std::string& name);

} // namespace tarragonquay::settings
