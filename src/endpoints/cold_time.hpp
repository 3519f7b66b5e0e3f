#pragma once

#include <chrono>
#include <string_view>

#include "common/error.hpp"

namespace tarragonquay::endpoints
{

/// Longest cold phase that a report is believed to mean: it keeps a time point
/// from overflowing.
inline constexpr double max_cold_ms = 1e9;

/// Parses the remaining milliseconds of an endpoint's cold phase: a decimal
/// number. Fails with malformed_message for anything else.
result<std::chrono::milliseconds> parse_cold_time(std::string_view value);

} // namespace tarragonquay::endpoints
