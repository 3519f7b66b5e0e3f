#include "ingress/caller_request.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace tarragonquay::ingress
{

namespace
{

constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr std::int64_t max_deadline_ms = 24LL * 60 * 60 * 1000;

constexpr std::array forwarded_names{"accept", "accept-language",
    "content-type", "content-language", "if-match", "if-none-match",
    "x-priority", "traceparent"};

std::string to_lower(std::string_view text)
{
    std::string out(text);
    for (auto& c : out)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return out;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

tl::unexpected<error> invalid(std::string message)
{
    return fail(error_code::invalid_argument, std::move(message));
}

result<void> set_key(caller_request& request, std::string_view key)
{
    if (key.empty())
        return {};
    if (!request.key.empty() && request.key != key)
        return invalid("the request has several different keys");
    request.key = std::string(key);
    return {};
}

result<void> parse_query(caller_request& request, std::string_view query)
{
    while (!query.empty())
    {
        const auto end = query.find('&');
        const auto part = query.substr(0, end);
        query.remove_prefix(
            end == std::string_view::npos ? query.size() : end + 1);
        const auto equals = part.find('=');
        const auto name = percent_decode(part.substr(0, equals));
        const auto value = percent_decode(
            equals == std::string_view::npos ? "" : part.substr(equals + 1));
        if (!name || !value)
            return invalid("the query has a malformed percent sequence");
        if (to_lower(*name) == "api_key")
        {
            if (auto status = set_key(request, *value); !status)
                return status;
            continue;
        }
        if (!request.query.empty())
            request.query += '&';
        request.query += part;
        request.parameters.emplace_back(*name, *value);
    }
    return {};
}

result<void> parse_priority(caller_request& request, std::string_view value)
{
    const auto name = to_lower(value);
    if (name == "interactive")
        request.priority = routing::priority::interactive;
    else if (name == "batch")
        request.priority = routing::priority::batch;
    else if (name != "normal")
        return invalid("X-Priority must be interactive, normal or batch");
    return {};
}

result<void> parse_deadline(caller_request& request, std::string_view value)
{
    std::int64_t milliseconds = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds <= 0 ||
        milliseconds > max_deadline_ms)
        return invalid("X-Deadline-Ms must be a number of milliseconds from 1 "
                       "to one day");
    request.deadline =
        request.received_at + std::chrono::milliseconds(milliseconds);
    return {};
}

result<void> parse_header(caller_request& request, header field)
{
    const auto name = to_lower(field.name);
    const auto value = trim(field.value);
    if (name == "x-api-key")
        return set_key(request, value);
    if (name == "authorization")
    {
        constexpr std::string_view scheme = "bearer ";
        if (to_lower(value).starts_with(scheme))
            return set_key(request, trim(value.substr(scheme.size())));
        return {};
    }
    if (name == "x-priority")
    {
        if (auto status = parse_priority(request, value); !status)
            return status;
    }
    else if (name == "x-deadline-ms")
        return parse_deadline(request, value);
    else if (name == "idempotency-key")
    {
        if (value.empty() || value.size() > max_idempotency_key_bytes)
            return invalid("Idempotency-Key must have 1 to 256 bytes");
        request.idempotency_key = std::string(value);
        return {};
    }
    request.headers.push_back(std::move(field));
    return {};
}

// Whether an endpoint could interpret the path differently from the route
// match.
bool is_ambiguous(std::string_view raw, std::string_view decoded)
{
    const auto encoded = to_lower(raw);
    return !decoded.starts_with('/') ||
           encoded.find("%2f") != std::string::npos ||
           decoded.find('\\') != std::string_view::npos ||
           decoded.find('\0') != std::string_view::npos ||
           decoded.find("//") != std::string_view::npos ||
           (std::string(decoded) + "/").find("/../") != std::string::npos ||
           (std::string(decoded) + "/").find("/./") != std::string::npos;
}

// Reads exactly `digits` hexadecimal digits; returns false when the text has
// fewer.
bool read_hex(std::string_view text, std::size_t digits, unsigned& value)
{
    if (text.size() < digits)
        return false;
    const auto* end = text.data() + digits;
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

// Decodes the JSON escapes of ASCII characters. Of any other escape, only the
// backslash is removed; the rest of the text is unchanged.
std::string decode_json_escapes(std::string_view text)
{
    constexpr std::size_t unicode_escape_digits = 4;
    constexpr unsigned ascii_end = 0x80;
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '\\' || i + 1 == text.size())
        {
            out += text[i];
            continue;
        }
        ++i;
        unsigned value = 0;
        if (text[i] == 'u' &&
            read_hex(text.substr(i + 1), unicode_escape_digits, value) &&
            value < ascii_end)
        {
            out += static_cast<char>(value);
            i += unicode_escape_digits;
        }
        else
            out += text[i];
    }
    return out;
}

// Decodes the percent sequences of form data; malformed ones are left
// unchanged.
std::string decode_percent_escapes(std::string_view text)
{
    constexpr std::size_t percent_escape_digits = 2;
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned value = 0;
        if (text[i] == '%' &&
            read_hex(text.substr(i + 1), percent_escape_digits, value))
        {
            out += static_cast<char>(value);
            i += percent_escape_digits;
        }
        else
            out += text[i];
    }
    return out;
}

// Whether a text contains the key, either literally or with characters escaped
// as in JSON or form data.
bool contains_key(const std::string& text, const std::string& key)
{
    const auto contains = [&key](const std::string& decoded)
    { return decoded.find(key) != std::string::npos; };
    return contains(text) ||
           (text.find('\\') != std::string::npos &&
               contains(decode_json_escapes(text))) ||
           (text.find('%') != std::string::npos &&
               contains(decode_percent_escapes(text)));
}

// Whether the key occurs in the path, the query or the body, which reach the
// endpoint unchanged.
bool key_would_be_forwarded(const caller_request& request)
{
    const auto& key = request.key;
    const auto contains = [&key](const std::string& text)
    { return contains_key(text, key); };
    if (key.empty())
        return false;
    return contains(request.path) || contains(request.raw_path) ||
           contains(request.query) || contains(request.body) ||
           std::any_of(request.parameters.begin(), request.parameters.end(),
               [&](const auto& parameter) {
                   return contains(parameter.first) ||
                          contains(parameter.second);
               });
}

} // namespace

std::string caller_request::parameter(std::string_view name) const
{
    for (const auto& [candidate, value] : parameters)
    {
        if (candidate == name)
            return value;
    }
    return {};
}

result<caller_request> parse_request(raw_request raw, std::string request_id,
    time_point now, duration default_deadline)
{
    caller_request request;
    request.request_id = std::move(request_id);
    request.method = std::move(raw.method);
    request.received_at = now;
    request.deadline = now + default_deadline;
    const std::string_view target = raw.target;
    const auto question = target.find('?');
    request.raw_path = std::string(target.substr(0, question));
    auto decoded = percent_decode(request.raw_path);
    if (!decoded || is_ambiguous(request.raw_path, *decoded))
        return invalid("the path is malformed or not in normal form");
    request.path = std::move(*decoded);
    if (question != std::string_view::npos)
    {
        if (auto status = parse_query(request, target.substr(question + 1));
            !status)
            return tl::unexpected<error>(status.error());
    }
    for (auto& field : raw.headers)
    {
        if (auto status = parse_header(request, std::move(field)); !status)
            return tl::unexpected<error>(status.error());
    }
    request.body = std::move(raw.body);
    if (key_would_be_forwarded(request))
        return invalid("the key must not appear in the path, the query or "
                       "the body");
    return request;
}

std::vector<header> forwarded_headers(const caller_request& request)
{
    std::vector<header> out;
    for (const auto& field : request.headers)
    {
        const bool allowed =
            std::find(forwarded_names.begin(), forwarded_names.end(),
                to_lower(field.name)) != forwarded_names.end();
        const bool has_key =
            !request.key.empty() && contains_key(field.value, request.key);
        if (allowed && !has_key)
            out.push_back(field);
    }
    return out;
}

result<std::string> percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out += text[i];
            continue;
        }
        unsigned value = 0;
        const char* digits = text.data() + i + 1;
        if (i + 2 >= text.size() ||
            std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2)
            return invalid("malformed percent sequence");
        out += static_cast<char>(value);
        i += 2;
    }
    return out;
}

bool nesting_within(std::string_view json, int limit)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < json.size(); ++i)
    {
        const char c = json[i];
        if (in_string)
        {
            if (c == '\\')
                ++i;
            else if (c == '"')
                in_string = false;
        }
        else if (c == '"')
            in_string = true;
        else if (c == '[' || c == '{')
        {
            if (++depth > limit)
                return false;
        }
        else if (c == ']' || c == '}')
            --depth;
    }
    return true;
}

} // namespace tarragonquay::ingress
