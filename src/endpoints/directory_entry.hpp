#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::endpoints
{

/// Model of an engine and the adapters that are loaded for it.
struct loaded_model
{
    model_id model;
    std::set<adapter_id> adapters;

    auto operator<=>(const loaded_model&) const = default;
};

/// Registration of an endpoint in the directory.
struct directory_entry
{
    endpoint_id id;
    /// Start of the process; a restarted endpoint may keep its id.
    std::int64_t started_unix_ms = 0;
    service_id service;
    /// "ip:port".
    std::string address;
    std::string availability_zone;
    /// Number of requests that it processes concurrently.
    std::int64_t slots = 1;
    bool leaving = false;
    /// Time at which an endpoint that leaves at short notice terminates.
    std::optional<time_point> gone_at;
    /// End of the cold phase of the process, not after the arrival of the entry
    /// when it is warm; no value when the entry does not report it.
    std::optional<time_point> cold_until;
    /// Empty when the entry names none.
    std::string region;
    std::vector<loaded_model> models;

    auto operator<=>(const directory_entry&) const = default;
};

/// State that an engine reports on request.
struct engine_report
{
    std::int64_t started_unix_ms = 0;
    std::vector<loaded_model> models;
    /// Adapters that are being loaded; each occupies an adapter slot already.
    std::vector<loaded_model> adapters_loading;
    /// Models whose weights are in the memory or on the disk of the engine's
    /// host.
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;
    /// Whether a model is being loaded or unloaded.
    bool busy = false;
    /// Number of commands accepted since the start of the process.
    std::int64_t accepted_commands = 0;
    /// Remaining time of the cold phase; no value when it is not reported.
    std::optional<std::int64_t> cold_ms;

    auto operator<=>(const engine_report&) const = default;
};

} // namespace tarragonquay::endpoints
