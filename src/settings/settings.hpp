#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::settings
{

/// Addresses are "ip:port". A file can't hold a deadline, so intervals are
/// milliseconds here and become deadlines when they are used.
struct addresses
{
    std::string entry;
    std::string operators;
    std::string peer;

    auto operator<=>(const addresses&) const = default;
};

/// Certificate and key of the operators' listener; both empty without TLS.
struct tls
{
    std::string certificate_file;
    std::string key_file;

    auto operator<=>(const tls&) const = default;
};

/// Limits that the placement of one region keeps.
struct placement
{
    bool enabled = true;
    double loads_per_second = 1.0;
    std::int64_t loads_at_once = 2;
    std::int64_t adapters_in_flight = 15;

    auto operator<=>(const placement&) const = default;
};

/// Settings of one daemon process.
struct daemon_settings
{
    instance_id instance;
    std::string availability_zone;
    std::string region;
    addresses listen;
    /// Addresses that others use; the same as `listen` unless set.
    addresses advertise;
    std::string platform_address;
    /// Peer addresses to ask at the start.
    std::vector<std::string> peers;
    std::int64_t traffic_threads = 2;
    std::string log_level = "info";
    std::int64_t view_lease_ms = 5'000;
    std::int64_t head_poll_ms = 1'000;
    /// How long callers may keep an answer of GET /v1/entries.
    std::int64_t entries_keep_ms = 5'000;
    /// Longest time that a stop waits for running requests.
    std::int64_t stop_ms = 60'000;
    std::int64_t events_kept = 4'096;
    settings::tls operator_tls;
    settings::placement placement;

    auto operator<=>(const daemon_settings&) const = default;
};

/// Reads and checks a settings file. Every key is checked: an unknown key, a
/// wrong type, a value out of range or a contradiction gives
/// `invalid_settings` with the file, line and key.
result<daemon_settings> load(const std::string& path);

/// The same for text; `name` stands for the file in error messages.
result<daemon_settings> parse(const std::string& text, const std::string& name);

} // namespace tarragonquay::settings
