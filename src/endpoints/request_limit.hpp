#pragma once

#include <string_view>

#include "common/error.hpp"

namespace tarragonquay::endpoints
{

/// Parses the requests per second that an endpoint accepts from all instances
/// together: a decimal number. Fails with malformed_message for anything else,
/// also for a negative or infinite number.
result<double> parse_request_limit(std::string_view value);

} // namespace tarragonquay::endpoints
