#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "limits/types.hpp"
#include "routing/types.hpp"

namespace tarragonquay::ingress
{

/// Instances that callers may use, for GET /v1/entries.
struct entry_address
{
    std::string address;
    std::string availability_zone;

    auto operator<=>(const entry_address&) const = default;
};

/// Decisions that the control thread makes for the traffic threads. Each
/// function may be called from any thread; handlers run on any thread and
/// are called exactly once.
struct control_port
{
    /// Takes tokens from the workspace's bucket. May wait for them, at most
    /// until the request's deadline.
    std::function<void(workspace_id, std::int64_t tokens, time_point deadline,
        std::function<void(result<limits::reservation>)>)>
        admit;
    /// Ends a reservation with the tokens that were really used.
    std::function<void(limits::reservation, std::int64_t used_tokens)> settle;
    /// Waits for an endpoint, at most until the request's deadline.
    std::function<void(routing::request_spec,
        std::function<void(result<routing::assignment>)>)>
        acquire;
    /// Ends an assignment; the output of a complete answer, or 0.
    std::function<void(std::uint64_t assignment_id, routing::outcome,
        std::int64_t output_tokens)>
        release;
    /// Instances that are neither stopping nor without a view lease, this
    /// one included; unordered.
    std::function<void(std::function<void(std::vector<entry_address>)>)>
        entries;
};

} // namespace tarragonquay::ingress
