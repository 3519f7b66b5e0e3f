#pragma once

#include <string_view>

#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::endpoints
{

/// Parses the value of a Retry-After field: seconds from now, possibly with a
/// fraction. Fails with malformed_message for anything else, also for a date.
/// Values of more than a day are cut to a day.
result<duration> parse_retry_after(std::string_view value);

} // namespace tarragonquay::endpoints
