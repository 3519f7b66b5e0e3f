#pragma once

#include <string>

#include "common/error.hpp"

namespace tarragonquay::ingress
{

/// HTTP status of an error answer.
int http_status(error_code code);

/// Body of an error answer and data of an error event.
std::string error_body(const error& cause, const std::string& request_id);

} // namespace tarragonquay::ingress
