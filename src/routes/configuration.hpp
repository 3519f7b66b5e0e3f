#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"

namespace tarragonquay::routes
{

/// What may happen to a request after a byte of it may have reached an
/// endpoint.
enum class repeat_rule
{
    /// Runs at most once; only a proven rejection allows another send.
    at_most_once,
    /// May run several times.
    idempotent,
    /// A stream that another endpoint can continue after any whole event.
    resumable
};

/// A service that a route sends a part of its requests to.
struct weighted_service
{
    service_id service;
    std::int64_t weight = 1;

    auto operator<=>(const weighted_service&) const = default;
};

/// How requests of one host and path prefix are served. A document can't hold
/// a deadline, so intervals are milliseconds here.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    routes::repeat_rule repeat = repeat_rule::at_most_once;
    /// The answer is a stream of events.
    bool streamed = false;
    /// Requests of one session or prompt should meet at one endpoint.
    bool prefers_cached_prompt = false;
    /// Needs no key.
    bool open_to_all = false;
    /// Endpoints that one request may be sent to.
    std::int64_t max_attempts = 1;
    std::int64_t timeout_ms = 0;
    /// Aim for the answer, or for the first event of a stream.
    std::int64_t target_latency_ms = 0;
    /// Longest pause between events for an answer that is in time; 0 for none.
    std::int64_t max_event_gap_ms = 0;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    std::vector<weighted_service> services;

    auto operator<=>(const route&) const = default;
};

/// A model that the engines of a service may hold.
struct engine_model
{
    model_id id;
    std::int64_t weight_bytes = 0;
    /// Seconds of a load from the weight store, the engine's memory and its
    /// disk.
    double load_s = 0;
    double load_from_memory_s = 0;
    double load_from_disk_s = 0;
    /// Number of adapters; they are named a1, a2 and so on.
    std::int64_t adapters = 0;
    std::int64_t adapter_bytes = 0;

    auto operator<=>(const engine_model&) const = default;
};

/// The model engines of a service, which are all alike.
struct engine_group
{
    /// Requests that an engine processes at once.
    std::int64_t slots = 1;
    /// Tokens that an engine's KV cache holds.
    std::int64_t cache_tokens = 0;
    /// Memory for weights of models and adapters together.
    std::int64_t weight_bytes = 0;
    std::int64_t adapter_slots = 0;
    /// Loads from the weight store that may begin in a second, over all
    /// engines.
    double loads_per_second = 0;
    std::vector<engine_model> models;

    auto operator<=>(const engine_group&) const = default;
};

struct service
{
    service_id id;
    /// Connections that one endpoint accepts from all callers together; it
    /// resets those beyond. Not enforced here yet.
    std::int64_t max_connections = 0;
    std::optional<engine_group> engines;

    auto operator<=>(const service&) const = default;
};

/// A customer with its keys and its limit over all instances together.
struct workspace
{
    workspace_id id;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<std::int64_t> priority;
    /// Units are tokens or requests, see `limit_in_tokens`; 0 for no limit.
    std::int64_t rate_per_second = 0;
    std::int64_t burst = 0;
    bool limit_in_tokens = false;
    /// What a request without token counts costs when tokens are counted.
    std::int64_t default_request_tokens = 0;

    auto operator<=>(const workspace&) const = default;
};

/// What a caller may send, and how slowly.
struct caller_limits
{
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 4'194'304;
    std::int64_t header_timeout_ms = 3'000;
    std::int64_t idle_timeout_ms = 15'000;

    auto operator<=>(const caller_limits&) const = default;
};

/// One version of the configuration, whole.
struct configuration
{
    std::int64_t version = 0;
    std::vector<routes::route> routes;
    std::vector<routes::service> services;
    std::vector<routes::workspace> workspaces;
    routes::caller_limits limits;

    auto operator<=>(const configuration&) const = default;
};

} // namespace tarragonquay::routes
