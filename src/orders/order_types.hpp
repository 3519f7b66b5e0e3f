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

/// One non-idempotent call with an idempotency key.
struct order_call
{
    workspace_id workspace;
    std::string idempotency_key;
    /// Digest of everything that makes two calls equal: method, service,
    /// path with query, and body.
    std::string digest;
    std::string service;
    std::string method;
    std::string path;
    time_point deadline;
};

/// Permission for exactly one dispatch. The holder ends it with complete,
/// mark_unknown or mark_not_run.
struct dispatch_permit
{
    std::string row_key;
    /// Serialized records::Order_record in the state `dispatched`.
    std::string record;
    std::string order_id;
    std::string attempt_id;
    /// Version of the row that this attempt wrote.
    std::int64_t version = 0;
    /// Membership in which this instance began the attempt.
    std::int64_t membership_revision = 0;

    auto operator<=>(const dispatch_permit&) const = default;
};

/// Answer of an endpoint, as stored and as given to a repeat.
struct order_answer
{
    int status = 0;
    std::string content_type;
    std::string body;

    auto operator<=>(const order_answer&) const = default;
};

using begin_outcome = std::variant<dispatch_permit, order_answer>;

/// What an operator decided about an order of unknown outcome.
enum class resolution
{
    ran,
    did_not_run
};

/// Surroundings of the order book. Functions may be called on any thread on
/// which the store calls its handlers.
struct order_environment
{
    std::string instance;
    std::string incarnation;
    std::function<time_point()> now;
    std::function<std::int64_t()> unix_ms;
    std::function<std::string()> new_id;
    /// Runs a function after a delay.
    std::function<void(duration, std::function<void()>)> after;
    /// Revision of the membership that this instance knows, if it is a member
    /// of it.
    std::function<std::optional<std::int64_t>()> membership;
    /// Whether this incarnation of an instance was removed after the given
    /// membership, and can't have a view lease without knowing that.
    std::function<bool(const std::string& instance,
        const std::string& incarnation, std::int64_t membership_revision)>
        is_fenced;
    /// Stores and loads large answers in the object store.
    std::function<void(std::string name, std::string content,
        std::function<void(result<void>)>)>
        put_object;
    std::function<void(
        std::string name, std::function<void(result<std::string>)>)>
        fetch_object;
};

/// Row of an order. The key is hashed, so that its length and characters
/// don't matter.
std::string order_row_key(
    const workspace_id& workspace, const std::string& idempotency_key);

} // namespace tarragonquay::orders
