#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"

namespace tarragonquay::endpoints
{

struct sse_event
{
    /// Value of the id field, if the event has one.
    std::optional<std::string> id;
    /// Value of the event field; empty when the event has none.
    std::string kind;
    std::string data;

    auto operator<=>(const sse_event&) const = default;
};

/// Incremental parser of server-sent events. An incomplete event at the end of
/// the input is not reported.
class sse_parser
{
public:
    /// Larger events fail with malformed_message.
    static constexpr std::size_t max_event_bytes = 1UL << 20U;

    result<void> feed(std::string_view bytes);
    std::optional<sse_event> pop();

private:
    void parse_line(std::string_view line);

    std::string partial_line_;
    sse_event current_;
    std::size_t current_bytes_ = 0;
    bool has_data_ = false;
    std::deque<sse_event> complete_;
};

} // namespace tarragonquay::endpoints
