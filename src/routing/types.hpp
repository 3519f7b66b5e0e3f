#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::routing
{

enum class priority
{
    interactive,
    normal,
    batch
};

/// The properties of a request that scheduling depends on.
struct request_spec
{
    workspace_id workspace;
    /// Model and adapter of a completion; empty for a plain service.
    model_id model;
    adapter_id adapter;
    /// Plain service; empty for a completion.
    service_id service;
    /// Upper bound of the prompt plus maximum output, for fair queueing.
    std::int64_t cost_tokens = 0;
    /// Maximum output, for the service time; 0 when unknown.
    std::int64_t output_tokens = 0;
    /// Hash of the leading part of the prompt; 0 for none.
    std::uint64_t prefix_hash = 0;
    routing::priority priority = priority::normal;
    time_point deadline;
    /// Endpoints that were tried already. They are not used while another one
    /// can serve the request. A request that only they can serve when it is
    /// enqueued is refused.
    std::vector<endpoint_id> excluded;
};

/// An endpoint chosen for one request; released exactly once.
struct assignment
{
    std::uint64_t id = 0;
    endpoint_id endpoint;
    std::string address;
    /// Whether a resident copy of the prompt prefix is expected.
    bool prefix_expected = false;
};

/// How the request that held an assignment ended.
enum class outcome
{
    completed,
    /// The endpoint rejected the request because it is overloaded.
    rejected,
    /// The endpoint no longer has the model or the adapter.
    not_resident,
    /// Connection failure, or no answer before the deadline; counts towards
    /// suspicion.
    failed,
    cancelled
};

/// Residency of a model or adapter at an endpoint.
enum class residency_state
{
    loading,
    ready,
    unloading
};

struct resident_model
{
    model_id model;
    std::string version;
    std::int64_t bytes = 0;
    residency_state state = residency_state::ready;

    auto operator<=>(const resident_model&) const = default;
};

struct resident_adapter
{
    adapter_id adapter;
    model_id model;
    /// No value when the engine does not report it.
    std::optional<std::string> version = {};

    /// Whether this can be the wanted version. An engine that does not report
    /// the version of an adapter is assumed to have it.
    bool matches(const std::string& wanted) const
    {
        return !version || *version == wanted;
    }

    auto operator<=>(const resident_adapter&) const = default;
};

enum class command_outcome
{
    pending,
    done,
    rejected
};

struct command_report
{
    std::string command_id;
    command_outcome outcome = command_outcome::pending;

    auto operator<=>(const command_report&) const = default;
};

/// Latest state of an endpoint, as polled from /control/state.
struct endpoint_report
{
    endpoint_id endpoint;
    std::string incarnation;
    std::int64_t capacity_bytes = 0;
    std::int64_t used_bytes = 0;
    std::int64_t overcommits = 0;
    std::vector<resident_model> models;
    std::vector<resident_adapter> adapters;
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    bool leaving = false;
    std::int64_t highest_fencing = 0;
    std::vector<command_report> commands;
    /// When this instance received the report.
    time_point received_at;
    /// Time of the load figures according to the endpoint.
    std::int64_t reported_unix_ms = 0;

    auto operator<=>(const endpoint_report&) const = default;
};

} // namespace tarragonquay::routing
