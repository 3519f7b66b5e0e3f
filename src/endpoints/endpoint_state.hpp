#pragma once

#include <string>

#include "routing/types.hpp"

namespace tarragonquay::endpoints
{

/// Decodes the answer to GET /control/state. Unknown members are ignored;
/// missing members and members of the wrong type fail with malformed_message.
/// Only the version of an adapter is optional.
result<routing::endpoint_report> decode_endpoint_state(
    const endpoint_id& endpoint, const std::string& body,
    time_point received_at);

/// Decodes the answer of a plain service to GET /control/state. The path and
/// each of its members are optional: a service without a state counts as
/// available and without load. Statuses from 500 on, except for 501, fail with
/// endpoint_rejected.
result<routing::endpoint_report> decode_service_state(
    const endpoint_id& endpoint, int status, const std::string& body,
    time_point received_at);

} // namespace tarragonquay::endpoints
