#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::placement
{

enum class command_kind
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter
};

/// Name of the kind as in the engine's protocol, for example "load_model".
std::string_view to_string(command_kind kind);

/// A load or unload at an engine that the planner has decided on.
struct move
{
    command_kind kind = command_kind::load_model;
    endpoint_id endpoint;
    model_id model;
    /// Empty for commands that concern models.
    adapter_id adapter;
    std::string version;
    std::int64_t bytes = 0;
    /// Unloads the last replica of a model for another model.
    bool swap = false;

    auto operator<=>(const move&) const = default;
};

/// A command that was written to the table and whose effect on accelerator
/// memory is not known yet. It is also what is sent to the engine.
struct intent
{
    std::string command_id;
    endpoint_id endpoint;
    /// Incarnation of the engine that the command is meant for.
    std::string engine_incarnation;
    std::int64_t fencing = 0;
    command_kind kind = command_kind::load_model;
    model_id model;
    adapter_id adapter;
    std::string version;
    std::int64_t bytes = 0;
    std::int64_t deadline_unix_ms = 0;

    auto operator<=>(const intent&) const = default;
};

/// Row value of an intent. Parsing fails with `malformed_message`.
std::string to_row(const intent& value);
result<intent> intent_from_row(const std::string& bytes);

/// Row value of the placement lease.
struct lease
{
    std::string instance;
    std::string incarnation;
    std::int64_t fencing = 0;
    std::int64_t renewals = 0;
    /// The holder has released the lease.
    bool released = false;

    auto operator<=>(const lease&) const = default;
};

std::string to_row(const lease& value);
result<lease> lease_from_row(const std::string& bytes);

} // namespace tarragonquay::placement
