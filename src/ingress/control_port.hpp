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

/// An instance that callers may use, as listed by GET /v1/entries.
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
    /// Reserves tokens in the workspace's bucket. May wait for them until the
    /// deadline.
    std::function<void(workspace_id, std::int64_t tokens, time_point deadline,
        std::function<void(result<limits::reservation>)>)>
        admit;
    /// Ends a reservation and charges the tokens that were used.
    std::function<void(limits::reservation, std::int64_t used_tokens)> settle;
    /// Assigns an endpoint to the request. May wait for one until the request's
    /// deadline.
    std::function<void(routing::request_spec,
        std::function<void(result<routing::assignment>)>)>
        acquire;
    /// Ends an assignment. `output_tokens` is the output of a complete answer,
    /// else 0.
    std::function<void(std::uint64_t assignment_id, routing::outcome,
        std::int64_t output_tokens)>
        release;
    /// Lists, in no particular order, the instances that hold a view lease and
    /// are not stopping, including this one.
    std::function<void(std::function<void(std::vector<entry_address>)>)>
        entries;
};

} // namespace tarragonquay::ingress
