#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::catalog
{

/// A customer. Its rate limit applies to all instances together.
struct workspace
{
    workspace_id id;
    std::int64_t rate_tokens_per_second = 0;
    std::int64_t burst_tokens = 0;

    auto operator<=>(const workspace&) const = default;
};

/// An API key of a caller; only the SHA-256 digest of the secret is stored.
struct api_key
{
    key_id id;
    workspace_id workspace;
    std::string secret_sha256;
    bool withdrawn = false;

    auto operator<=>(const api_key&) const = default;
};

struct model
{
    model_id id;
    std::string version;
    std::int64_t bytes = 0;

    auto operator<=>(const model&) const = default;
};

struct adapter
{
    adapter_id id;
    model_id model;
    std::string version;
    std::int64_t bytes = 0;

    auto operator<=>(const adapter&) const = default;
};

/// Whether a failed call may be sent again.
enum class repeat_rule
{
    by_method,
    idempotent,
    not_idempotent
};

/// Retry and access rule for calls under a path prefix of a service.
struct route
{
    std::string path_prefix;
    /// Upper-case HTTP method; empty means any method.
    std::string method;
    repeat_rule repeat = repeat_rule::by_method;
    bool open_to_all = false;

    auto operator<=>(const route&) const = default;
};

struct service
{
    service_id name;
    std::vector<route> routes;

    auto operator<=>(const service&) const = default;
};

enum class endpoint_kind
{
    engine,
    service
};

/// A backend: a model engine or a replica of a plain HTTP service.
struct endpoint
{
    endpoint_id id;
    /// IP address and port, "10.0.0.1:9000".
    std::string address;
    std::string availability_zone;
    std::string region;
    endpoint_kind kind = endpoint_kind::engine;
    /// Name of the plain service; empty for engines.
    service_id service;
    bool honours_fencing = false;
    std::int32_t accelerators = 1;
    std::int64_t capacity_bytes = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// One process of the daemon. Each restart has a new incarnation.
struct member
{
    instance_id instance;
    std::string incarnation;
    std::string peer_address;
    std::string entry_address;
    std::string availability_zone;
    std::string region;

    auto operator<=>(const member&) const = default;
};

/// Whether a call on this route may be retried. With by_method, only the safe
/// methods GET, HEAD and OPTIONS are: a service's PUT and DELETE handlers are
/// not known to be idempotent.
bool is_idempotent(const route& rule, const std::string& method);

/// 1 to 128 characters of letters, digits and "-_.:".
bool is_valid_id(const std::string& id);

/// "ip:port" with an IPv4 address or an IPv6 address in brackets.
bool is_valid_address(const std::string& address);

/// Check the fields of one value, but not whether the entities that it refers
/// to exist. Fail with `invalid_argument`. Availability zones, regions,
/// versions and member addresses may be empty.
result<void> validate(const workspace& value);
result<void> validate(const api_key& value);
result<void> validate(const model& value);
result<void> validate(const adapter& value);
result<void> validate(const service& value);
result<void> validate(const endpoint& value);
result<void> validate(const member& value);

} // namespace tarragonquay::catalog
