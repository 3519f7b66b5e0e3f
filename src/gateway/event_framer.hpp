#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"

namespace tarragonquay::gateway
{

/// A whole event of a stream, as it came.
struct framed_event
{
    /// Value of the id field; none when it has none.
    std::optional<std::int64_t> id;
    /// With its blank line.
    std::string bytes;

    auto operator<=>(const framed_event&) const = default;
};

/// Splits a stream into whole events without changing their bytes. A part of
/// an event at the end of the input is never reported.
class event_framer
{
public:
    /// Larger events fail with malformed_message.
    static constexpr std::size_t max_event_bytes = 1UL << 20U;

    void feed(std::string_view bytes) { buffer_ += bytes; }
    /// The next whole event; none when more input is needed.
    result<std::optional<framed_event>> pop();
    /// Whether the input ended in the middle of an event.
    bool has_partial_event() const { return !buffer_.empty(); }

private:
    std::string buffer_;
};

} // namespace tarragonquay::gateway
