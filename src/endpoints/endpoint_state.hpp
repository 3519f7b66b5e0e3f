#pragma once

#include <string>

#include "routing/types.hpp"

namespace tarragonquay::endpoints
{

/// Decodes an answer of GET /control/state. Unknown members are ignored;
/// a missing or wrongly typed one fails with malformed_message. Only the
/// version of an adapter may be left out.
result<routing::endpoint_report> decode_endpoint_state(
    const endpoint_id& endpoint, const std::string& body,
    time_point received_at);

/// Reads the answer of a plain service, for which GET /control/state and each
/// of its members are optional: without a state, the service is in use and
/// reports no load. Statuses from 500 on fail with endpoint_rejected.
result<routing::endpoint_report> decode_service_state(
    const endpoint_id& endpoint, int status, const std::string& body,
    time_point received_at);

} // namespace tarragonquay::endpoints
