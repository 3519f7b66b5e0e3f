#pragma once

#include <string>

#include "routing/types.hpp"

namespace tarragonquay::endpoints
{

/// Decodes an answer of GET /control/state. Unknown members are ignored;
/// a missing or wrongly typed one fails with malformed_message.
result<routing::endpoint_report> decode_endpoint_state(
    const endpoint_id& endpoint, const std::string& body,
    time_point received_at);

/// Decodes an answer of a plain service, for which the state is optional: any
/// answer shows that it is alive, and it is leaving when a JSON object says
/// so.
routing::endpoint_report decode_service_state(const endpoint_id& endpoint,
    const std::string& body, time_point received_at);

} // namespace tarragonquay::endpoints
