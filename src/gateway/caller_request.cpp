#include "gateway/caller_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

#include <boost/beast/core/string.hpp>

#include "common/plain_name.hpp"
#include "gateway/interval.hpp"

namespace tarragonquay::gateway
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop{"Connection", "Keep-Alive",
    "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade"};

std::string_view find_field(const raw_request& raw, std::string_view name)
{
    for (const auto& each : raw.headers)
        if (equal_ignoring_case(each.name, name))
            return each.value;
    return {};
}

/// Sums of some of these numbers, and times in milliseconds that are added to a
/// time point, must not overflow.
constexpr std::int64_t max_number = 1'000'000'000'000;

std::optional<std::int64_t> parse_non_negative(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
        value < 0 || value > max_number)
        return std::nullopt;
    return value;
}

// Whether a comma-separated list contains the name. Fields that are listed in
// the Connection field are hop-by-hop as well.
bool list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty())
    {
        const auto comma = list.find(',');
        auto item = list.substr(0, comma);
        while (item.starts_with(' '))
            item.remove_prefix(1);
        while (item.ends_with(' '))
            item.remove_suffix(1);
        if (equal_ignoring_case(item, name))
            return true;
        list = comma == std::string_view::npos ? std::string_view()
                                               : list.substr(comma + 1);
    }
    return false;
}

bool is_forwarded(const endpoints::header& field, const header_names& names,
    std::string_view connection)
{
    if (is_hop_by_hop(field.name) || list_contains(connection, field.name))
        return false;
    // Set again for each send.
    if (equal_ignoring_case(field.name, "Host") ||
        equal_ignoring_case(field.name, "Content-Length") ||
        equal_ignoring_case(field.name, "Expect") ||
        equal_ignoring_case(field.name, names.request_id) ||
        equal_ignoring_case(field.name, names.deadline_ms) ||
        equal_ignoring_case(field.name, names.last_event))
        return false;
    for (const auto* internal : {&names.key, &names.workspace, &names.priority,
             &names.expected_endpoint})
        if (equal_ignoring_case(field.name, *internal))
            return false;
    return std::none_of(names.reserved.begin(), names.reserved.end(),
        [&](const std::string& each)
        { return equal_ignoring_case(each, field.name); });
}

std::optional<dispatch::prompt> parse_prompt(
    const raw_request& raw, const header_names& names)
{
    const auto model = find_field(raw, names.model);
    if (model.empty())
        return std::nullopt;
    dispatch::prompt out;
    const auto slash = model.find('/');
    out.model = model_id(std::string(model.substr(0, slash)));
    if (slash != std::string_view::npos)
        out.adapter = adapter_id(std::string(model.substr(slash + 1)));
    const auto counts = find_field(raw, names.token_counts);
    const auto comma = counts.find(',');
    out.prompt_tokens = parse_non_negative(counts.substr(0, comma)).value_or(0);
    if (comma != std::string_view::npos)
        out.output_tokens =
            parse_non_negative(counts.substr(comma + 1)).value_or(0);
    // The parts are only hints for the choice of an engine, so malformed ones
    // do not fail the request.
    if (auto parts =
            dispatch::parse_prompt_parts(find_field(raw, names.prompt_parts)))
        out.parts = std::move(*parts);
    return out;
}

// Both are repeated in messages to other gateways and in commands.
bool has_plain_names(const dispatch::prompt& prompt)
{
    return is_plain_text(prompt.model.str()) &&
           is_plain_text(prompt.adapter.str());
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
        [&](std::string_view each) { return equal_ignoring_case(each, name); });
}

result<caller_request> parse_request(
    raw_request raw, const header_names& names, time_point arrived_at)
{
    caller_request out;
    out.id = find_field(raw, names.request_id);
    if (out.id.empty())
        return fail(error_code::invalid_argument, "the request has no id");
    out.host = find_field(raw, "Host");
    out.key = find_field(raw, names.key);
    out.arrived_at = arrived_at;
    if (const auto wait =
            parse_non_negative(find_field(raw, names.deadline_ms)))
        out.deadline = end_of_interval(arrived_at, *wait);
    out.last_event = parse_non_negative(find_field(raw, names.last_event));
    out.prompt = parse_prompt(raw, names);
    if (out.prompt && !has_plain_names(*out.prompt))
        return fail(error_code::invalid_argument,
            "the name of the model or the adapter has characters that are not "
            "allowed or is too long");
    if (!find_field(raw, names.token_counts).empty() && out.prompt)
        out.tokens = out.prompt->prompt_tokens + out.prompt->output_tokens;
    const std::string connection(find_field(raw, "Connection"));
    for (auto& field : raw.headers)
        if (is_forwarded(field, names, connection))
            out.headers.push_back(std::move(field));
    out.method = std::move(raw.method);
    out.target = std::move(raw.target);
    out.body = std::move(raw.body);
    return out;
}

} // namespace tarragonquay::gateway
