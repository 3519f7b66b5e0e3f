#include "gateway/event_framer.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace tarragonquay::gateway
{

namespace
{

constexpr std::size_t max_separator_bytes = 4;

// Returns the id field of an event: "id: 7" or "id:7" at the start of a line.
std::optional<std::int64_t> find_id(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        if (line.starts_with("id:"))
        {
            line.remove_prefix(3);
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::int64_t value = 0;
            const auto parsed =
                std::from_chars(line.data(), line.data() + line.size(), value);
            if (parsed.ec == std::errc())
                return value;
            return std::nullopt;
        }
        event = end == std::string_view::npos ? std::string_view()
                                              : event.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace

result<std::optional<framed_event>> event_framer::pop()
{
    auto end = buffer_.find("\n\n", searched_);
    std::size_t separator_size = 2;
    if (const auto crlf_end = buffer_.find("\r\n\r\n", searched_);
        crlf_end < end)
    {
        end = crlf_end;
        separator_size = 4;
    }
    if (end == std::string::npos)
    {
        // A separator may have begun in the last bytes.
        searched_ = std::max(buffer_.size(), max_separator_bytes - 1) -
                    (max_separator_bytes - 1);
        if (buffer_.size() > max_event_bytes)
            return fail(error_code::malformed_message,
                "an event of the stream is too large",
                execution_state::unknown);
        return std::optional<framed_event>();
    }
    framed_event out;
    out.bytes = buffer_.substr(0, end + separator_size);
    out.id = find_id(out.bytes);
    buffer_.erase(0, end + separator_size);
    searched_ = 0;
    return std::optional(std::move(out));
}

} // namespace tarragonquay::gateway
