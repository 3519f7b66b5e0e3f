#pragma once

#include <string>

#include "common/error.hpp"

namespace tarragonquay::ingress
{

/// HTTP status code of the answer to a request that failed with this code.
int http_status(error_code code);

/// JSON text for the body of an error answer or the data of an SSE error event.
std::string error_body(const error& cause, const std::string& request_id);

} // namespace tarragonquay::ingress
