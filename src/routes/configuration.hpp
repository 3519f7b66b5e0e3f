#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"

namespace tarragonquay::routes
{

/// Whether a request may be sent again after some of its bytes may have reached
/// an endpoint.
enum class repeat_rule
{
    /// Must run at most once. It is sent again only if an endpoint has provably
    /// rejected it.
    at_most_once,
    /// May run more than once.
    idempotent,
    /// A stream that another endpoint can continue after any complete event.
    resumable
};

/// A service that receives a share of the requests of a route, in proportion to
/// its weight.
struct weighted_service
{
    service_id service;
    std::int64_t weight = 1;

    auto operator<=>(const weighted_service&) const = default;
};

/// How requests for one host and path prefix are served. Intervals are in
/// milliseconds, since a configuration document can't hold a deadline.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    routes::repeat_rule repeat = repeat_rule::at_most_once;
    /// Whether the response is a stream of events.
    bool streamed = false;
    /// Whether requests of the same session or prompt should be sent to the
    /// same endpoint, which has the prompt in its cache.
    bool prefers_cached_prompt = false;
    /// Whether requests need no key.
    bool open_to_all = false;
    /// Maximum number of endpoints that one request is sent to.
    std::int64_t max_attempts = 1;
    std::int64_t timeout_ms = 0;
    /// Target time until the response, or until the first event of a stream.
    std::int64_t target_latency_ms = 0;
    /// Target for the longest gap between two events of a stream; 0 for no
    /// target.
    std::int64_t max_event_gap_ms = 0;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    std::vector<weighted_service> services;

    auto operator<=>(const route&) const = default;
};

/// A model that the engines of a service can load.
struct engine_model
{
    model_id id;
    std::int64_t weight_bytes = 0;
    /// Seconds that a load takes from the weight store, from the engine's
    /// memory and from its disk.
    double load_s = 0;
    double load_from_memory_s = 0;
    double load_from_disk_s = 0;
    /// Number of adapters; they are named a1, a2 and so on.
    std::int64_t adapters = 0;
    std::int64_t adapter_bytes = 0;

    auto operator<=>(const engine_model&) const = default;
};

/// The model engines of a service. All have the same properties.
struct engine_group
{
    /// Requests that an engine processes at once.
    std::int64_t slots = 1;
    /// Tokens that an engine's KV cache holds.
    std::int64_t cache_tokens = 0;
    /// Memory of an engine for the weights of models and adapters, in bytes.
    std::int64_t weight_bytes = 0;
    std::int64_t adapter_slots = 0;
    /// Maximum number of loads from the weight store that start per second,
    /// over all engines.
    double loads_per_second = 0;
    std::vector<engine_model> models;

    auto operator<=>(const engine_group&) const = default;
};

struct service
{
    service_id id;
    /// Connections that one endpoint accepts from all callers together; it
    /// resets further ones. Not enforced here yet.
    std::int64_t max_connections = 0;
    std::optional<engine_group> engines;
    /// Seconds for which an endpoint is cold after its start, and the requests
    /// per second that it tolerates meanwhile; no value for a service without
    /// cold phases.
    std::optional<double> cold_s;
    std::optional<double> cold_requests_per_second;

    auto operator<=>(const service&) const = default;
};

/// A customer, with its keys and its limit across all instances.
struct workspace
{
    workspace_id id;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<std::int64_t> priority;
    /// In units (tokens or requests, see `limit_in_tokens`) per second; 0 for
    /// no limit.
    std::int64_t rate_per_second = 0;
    std::int64_t burst = 0;
    bool limit_in_tokens = false;
    /// Tokens that a request without a token count costs, if the limit counts
    /// tokens.
    std::int64_t default_request_tokens = 0;

    auto operator<=>(const workspace&) const = default;
};

/// Size and time limits for what a caller sends.
struct caller_limits
{
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 4'194'304;
    std::int64_t header_timeout_ms = 3'000;
    std::int64_t idle_timeout_ms = 15'000;

    auto operator<=>(const caller_limits&) const = default;
};

/// One complete version of the configuration.
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
