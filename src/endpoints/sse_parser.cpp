#include "endpoints/sse_parser.hpp"

namespace tarragonquay::endpoints
{

result<void> sse_parser::feed(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto end = bytes.find('\n');
        partial_line_ += bytes.substr(0, end);
        if (partial_line_.size() + current_bytes_ > max_event_bytes)
            return fail(error_code::malformed_message,
                "an event of the stream is too large",
                execution_state::unknown);
        if (end == std::string_view::npos)
            return {};
        bytes.remove_prefix(end + 1);
        if (!partial_line_.empty() && partial_line_.back() == '\r')
            partial_line_.pop_back();
        parse_line(partial_line_);
        partial_line_.clear();
    }
    return {};
}

void sse_parser::parse_line(std::string_view line)
{
    if (line.empty())
    {
        // The standard says that an event without data is not dispatched.
        if (has_data_)
            complete_.push_back(std::move(current_));
        current_ = {};
        current_bytes_ = 0;
        has_data_ = false;
        return;
    }
    current_bytes_ += line.size();
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    std::string_view value;
    if (colon != std::string_view::npos)
        value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data")
    {
        if (has_data_)
            current_.data += '\n';
        current_.data += value;
        has_data_ = true;
    }
    else if (name == "id")
        current_.id = std::string(value);
    else if (name == "event")
        current_.kind = std::string(value);
}

std::optional<sse_event> sse_parser::pop()
{
    if (complete_.empty())
        return std::nullopt;
    auto event = std::move(complete_.front());
    complete_.pop_front();
    return event;
}

} // namespace tarragonquay::endpoints
