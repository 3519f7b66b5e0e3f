#include "common/message_framing.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

namespace tarragonquay
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view white_space = " \t";

tl::unexpected<error> invalid(std::string reason)
{
    return fail(error_code::invalid_argument, std::move(reason));
}

char to_lower(char each)
{
    return each >= 'A' && each <= 'Z' ? static_cast<char>(each - 'A' + 'a')
                                      : each;
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return to_lower(x) == to_lower(y); });
}

bool is_token_character(char each)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'z') ||
           (each >= 'A' && each <= 'Z') ||
           others.find(each) != std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_reason_character(char each)
{
    const auto code = static_cast<unsigned char>(each);
    constexpr unsigned char delete_code = 0x7f;
    return each == '\t' || (code >= ' ' && code != delete_code);
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

result<void> check_length(std::string_view value)
{
    std::int64_t length = 0;
    const auto* end = value.data() + value.size();
    const auto [rest, failed] = std::from_chars(value.data(), end, length);
    // from_chars accepts a sign.
    if (value.empty() || value.front() == '-' || failed != std::errc() ||
        rest != end)
        return invalid("the content length is not a plain number");
    return {};
}

result<void> check_codings(std::string_view codings)
{
    std::size_t count = 0;
    while (true)
    {
        const auto comma = codings.find(',');
        const auto coding = trim(codings.substr(0, comma));
        if (!is_token(coding))
            return invalid("a transfer coding is not a token");
        const bool last = comma == std::string_view::npos;
        if (equal_ignoring_case(coding, "chunked") != last)
            return invalid("\"chunked\" is not the last transfer coding only");
        ++count;
        if (last)
            break;
        codings.remove_prefix(comma + 1);
    }
    if (count > 1)
        return fail(error_code::unsupported,
            "a transfer coding other than \"chunked\" is not supported");
    return {};
}

} // namespace

result<std::optional<std::size_t>> find_head_end(
    std::string_view bytes, std::size_t searched)
{
    for (auto i = searched; i < bytes.size(); ++i)
    {
        const char each = bytes[i];
        if (each == '\0')
            return invalid("the head contains a zero byte");
        if (each == '\n' && (i == 0 || bytes[i - 1] != '\r'))
            return invalid("a line feed stands alone");
        if (each != '\n' && i > 0 && bytes[i - 1] == '\r')
            return invalid("a carriage return stands alone");
        if (each == '\n' && i >= 3 && bytes[i - 2] == '\n')
            return std::optional(i + 1);
    }
    return std::optional<std::size_t>();
}

result<void> check_framing(std::string_view head)
{
    const auto start_end = head.find(line_end);
    if (start_end == std::string_view::npos)
        return invalid("the start line is incomplete");
    const auto start_line = head.substr(0, start_end);
    const bool old_version = start_line.starts_with("HTTP/1.0 ") ||
                             start_line.ends_with(" HTTP/1.0");
    head.remove_prefix(start_end + line_end.size());
    std::optional<std::string_view> length;
    std::optional<std::string_view> codings;
    while (true)
    {
        const auto end = head.find(line_end);
        if (end == std::string_view::npos)
            return invalid("a field line is incomplete");
        const auto line = head.substr(0, end);
        head.remove_prefix(end + line_end.size());
        if (line.empty())
            break;
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
            return invalid(
                "a field line is folded, or its name is not a token");
        const auto name = line.substr(0, colon);
        const bool is_length = equal_ignoring_case(name, "Content-Length");
        const bool is_coding = equal_ignoring_case(name, "Transfer-Encoding");
        if (!is_length && !is_coding)
            continue;
        auto& seen = is_length ? length : codings;
        if (seen)
            return invalid(std::string(name) + " is given twice");
        seen = trim(line.substr(colon + 1));
    }
    if (length && codings)
        return invalid("a content length is given beside a transfer coding");
    if (codings && old_version)
        return invalid("HTTP/1.0 has no transfer codings");
    if (length)
        return check_length(*length);
    return codings ? check_codings(*codings) : result<void>();
}

result<int> parse_status_line(std::string_view head)
{
    constexpr std::size_t digits = 3;
    constexpr int min_status = 100;
    constexpr int max_status = 599;
    auto line = head.substr(0, head.find(line_end));
    if (!line.starts_with("HTTP/1.0 ") && !line.starts_with("HTTP/1.1 "))
        return invalid("the status line does not begin with HTTP/1.0 or "
                       "HTTP/1.1");
    line.remove_prefix(std::string_view("HTTP/1.1 ").size());
    const auto text = line.substr(0, line.find(' '));
    if (text.size() != digits ||
        !std::all_of(text.begin(), text.end(),
            [](char each) { return each >= '0' && each <= '9'; }))
        return invalid("the status is not a number of three digits");
    int status = 0;
    std::from_chars(text.data(), text.data() + text.size(), status);
    if (status < min_status || status > max_status)
        return invalid(
            "the status " + std::string(text) + " is not between 100 and 599");
    line.remove_prefix(digits);
    if (line.empty())
        return invalid("the status line has no space after the status");
    if (!std::all_of(line.begin(), line.end(), is_reason_character))
        return invalid("the reason phrase has a control character");
    return status;
}

} // namespace tarragonquay
