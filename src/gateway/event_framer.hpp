#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"

namespace tarragonquay::gateway
{

/// A complete event of a stream, with its original bytes.
struct framed_event
{
    /// Value of the id field, if there is one.
    std::optional<std::int64_t> id;
    /// Includes the blank line that ends the event.
    std::string bytes;

    auto operator<=>(const framed_event&) const = default;
};

/// Splits a stream into complete events without changing their bytes. An
/// incomplete event at the end of the input is never returned.
class event_framer
{
public:
    /// Larger events fail with malformed_message.
    static constexpr std::size_t max_event_bytes = 1UL << 20U;

    void feed(std::string_view bytes) { buffer_ += bytes; }
    /// Returns the next complete event, or none when more input is needed.
    result<std::optional<framed_event>> pop();
    /// Whether the input ended in the middle of an event.
    bool has_partial_event() const { return !buffer_.empty(); }
    /// Bytes of the input that were not returned yet.
    std::size_t pending_bytes() const { return buffer_.size(); }

private:
    std::string buffer_;
    /// Bytes of the buffer in which no event ends.
    std::size_t searched_ = 0;
};

} // namespace tarragonquay::gateway
