#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::catalog
{

/// A customer; its limit is counted over all instances together.
struct workspace
{
    workspace_id id;
    std::int64_t rate_tokens_per_second = 0;
    std::int64_t burst_tokens = 0;

    auto operator<=>(const workspace&) const = default;
};

/// A caller's key; only the digest of the secret is known.
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

enum class repeat_rule
{
    by_method,
    idempotent,
    not_idempotent
};

/// Says how calls below a path prefix of a service are treated.
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

/// A back end: a model engine or a replica of a plain service.
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

/// One process of the daemon; a restart makes a new incarnation.
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

/// Whether a call on this route may be repeated; by_method follows HTTP's
/// safe methods, since PUT and DELETE of callers are not known to be safe.
bool is_idempotent(const route& rule, const std::string& method);

/// 1 to 128 characters of letters, digits and "-_.:".
bool is_valid_id(const std::string& id);

/// "ip:port" with an IPv4 address or an IPv6 address in brackets.
bool is_valid_address(const std::string& address);

/// Check the fields of one value, without its references to others; fail
/// with `invalid_argument`. Zones, regions, versions and the addresses of
/// members may be empty.
result<void> validate(const workspace& value);
result<void> validate(const api_key& value);
result<void> validate(const model& value);
result<void> validate(const adapter& value);
result<void> validate(const service& value);
result<void> validate(const endpoint& value);
result<void> validate(const member& value);

} // namespace tarragonquay::catalog
