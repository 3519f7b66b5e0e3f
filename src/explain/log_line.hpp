#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "common/error.hpp"

namespace tarragonquay::explain
{

/// One line of a gateway's log.
struct log_line
{
    /// Milliseconds since the Unix epoch, by the clock of the instance.
    std::int64_t time_ms = 0;
    std::string instance;
    std::string event;
    /// All fields of the line.
    nlohmann::json fields;

    bool operator==(const log_line&) const = default;

    /// A text field; empty when the line has none of this name.
    std::string text(const std::string& field) const;
    /// A number; 0 when the line has none of this name.
    std::int64_t number(const std::string& field) const;
};

/// Parses a line. Text before the JSON object, such as the prefix of a log
/// collector, is skipped. Fails with `malformed_message`.
result<log_line> parse_line(std::string_view text);

} // namespace tarragonquay::explain
