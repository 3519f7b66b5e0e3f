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
    /// Value of the id field; nothing when the event has none.
    std::optional<std::string> id;
    /// Value of the event field; empty for the default kind.
    std::string kind;
    std::string data;

    auto operator<=>(const sse_event&) const = default;
};

/// Incremental parser of server-sent events. An event that the input ends
/// in the middle of is never reported.
class sse_parser
{
public:
    /// Larger events fail with malformed_message.
    static constexpr std::size_t max_event_bytes = 1UL << 20U;

    result<void> feed(std::string_view bytes);
    std::optional<sse_event> pop();

private:
    void take_line(std::string_view line);

    std::string partial_line_;
    sse_event current_;
    std::size_t current_bytes_ = 0;
    bool has_data_ = false;
    std::deque<sse_event> complete_;
};

} // namespace tarragonquay::endpoints
