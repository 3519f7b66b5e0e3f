#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::orders
{

/// A non-idempotent call with an idempotency key.
struct order_call
{
    workspace_id workspace;
    std::string idempotency_key;
    /// Digest of everything in which two calls must agree to be equal: method,
    /// service, path with query, and body.
    std::string digest;
    std::string service;
    std::string method;
    std::string path;
    time_point deadline;
};

/// Permission for exactly one dispatch. The holder must end it with
/// order_book::complete, mark_unknown or mark_not_run.
struct dispatch_permit
{
    std::string row_key;
    /// Serialized records::Order_record in the state `dispatched`.
    std::string record;
    std::string order_id;
    std::string attempt_id;
    /// Version of the row as written by this attempt.
    std::int64_t version = 0;
    /// Revision of the membership in which this instance began the attempt.
    std::int64_t membership_revision = 0;

    auto operator<=>(const dispatch_permit&) const = default;
};

/// Response of an endpoint, as stored and as returned to repeated calls.
struct order_answer
{
    int status = 0;
    std::string content_type;
    std::string body;

    auto operator<=>(const order_answer&) const = default;
};

using begin_outcome = std::variant<dispatch_permit, order_answer>;

/// Decision of an operator about an order with an unknown outcome.
enum class resolution
{
    ran,
    did_not_run
};

/// What the order book needs from the instance. The functions may be called on
/// any thread on which the store calls its handlers.
struct order_environment
{
    std::string instance;
    std::string incarnation;
    std::function<time_point()> now;
    std::function<std::int64_t()> unix_ms;
    std::function<std::string()> new_id;
    /// Schedules a function to run after a delay.
    std::function<void(duration, std::function<void()>)> after;
    /// Returns the revision of the membership that this instance has applied,
    /// or nothing if this instance is not a member.
    std::function<std::optional<std::int64_t>()> membership;
    /// Whether this incarnation of an instance was removed after the given
    /// membership revision and can't hold a view lease without having applied
    /// its removal.
    std::function<bool(const std::string& instance,
        const std::string& incarnation, std::int64_t membership_revision)>
        is_fenced;
    /// Stores a large answer in the object store; `fetch_object` reads it back.
    std::function<void(std::string name, std::string content,
        std::function<void(result<void>)>)>
        put_object;
    std::function<void(
        std::string name, std::function<void(result<std::string>)>)>
        fetch_object;
};

/// Returns the row key of an order. The idempotency key is hashed, so it may
/// have any length and contain any characters.
std::string order_row_key(
    const workspace_id& workspace, const std::string& idempotency_key);

} // namespace tarragonquay::orders
