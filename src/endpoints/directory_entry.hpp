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

/// A model at an engine with the adapters that are loaded for it.
struct loaded_model
{
    model_id model;
    std::set<adapter_id> adapters;

    auto operator<=>(const loaded_model&) const = default;
};

/// What an endpoint says about itself in the directory.
struct directory_entry
{
    endpoint_id id;
    /// Start of the process; an endpoint may start again under its id.
    std::int64_t started_unix_ms = 0;
    service_id service;
    /// "ip:port".
    std::string address;
    std::string availability_zone;
    /// Requests that it processes at once.
    std::int64_t slots = 1;
    bool leaving = false;
    /// When an endpoint that leaves at short notice is gone.
    std::optional<time_point> gone_at;
    std::vector<loaded_model> models;
    /// Commands that it has accepted since its start.
    std::int64_t accepted_commands = 0;

    auto operator<=>(const directory_entry&) const = default;
};

/// Answer of an engine that was asked for its state.
struct engine_report
{
    std::int64_t started_unix_ms = 0;
    std::vector<loaded_model> models;
    /// Adapters that are on their way; they use a slot already.
    std::vector<loaded_model> adapters_loading;
    /// Weights with a copy in the memory or on the disk of the engine's host.
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;
    /// Whether a load or unload of a model is under way.
    bool busy = false;
    std::int64_t accepted_commands = 0;

    auto operator<=>(const engine_report&) const = default;
};

} // namespace tarragonquay::endpoints
