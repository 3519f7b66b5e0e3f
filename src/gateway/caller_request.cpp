#include "gateway/caller_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

#include <boost/beast/core/string.hpp>

namespace tarragonquay::gateway
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop{"Connection", "Keep-Alive",
    "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade"};

std::string_view find(const raw_request& raw, std::string_view name)
{
    for (const auto& each : raw.headers)
        if (same_name(each.name, name))
            return each.value;
    return {};
}

std::optional<std::int64_t> parse_whole(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
        value < 0)
        return std::nullopt;
    return value;
}

// Names in the Connection field are hop-by-hop as well.
bool is_named_in(std::string_view list, std::string_view name)
{
    while (!list.empty())
    {
        const auto comma = list.find(',');
        auto item = list.substr(0, comma);
        while (item.starts_with(' '))
            item.remove_prefix(1);
        while (item.ends_with(' '))
            item.remove_suffix(1);
        if (same_name(item, name))
            return true;
        list = comma == std::string_view::npos ? std::string_view()
                                               : list.substr(comma + 1);
    }
    return false;
}

bool is_forwarded(const endpoints::header& field, const header_names& names,
    std::string_view connection)
{
    if (is_hop_by_hop(field.name) || is_named_in(connection, field.name))
        return false;
    // Written anew for each send.
    if (same_name(field.name, "Host") ||
        same_name(field.name, "Content-Length") ||
        same_name(field.name, "Expect") ||
        same_name(field.name, names.request_id) ||
        same_name(field.name, names.deadline_ms) ||
        same_name(field.name, names.last_event))
        return false;
    for (const auto* own : {&names.key, &names.workspace, &names.priority,
             &names.expected_endpoint})
        if (same_name(field.name, *own))
            return false;
    return std::none_of(names.reserved.begin(), names.reserved.end(),
        [&](const std::string& each) { return same_name(each, field.name); });
}

std::optional<dispatch::prompt> parse_prompt(
    const raw_request& raw, const header_names& names)
{
    const auto model = find(raw, names.model);
    if (model.empty())
        return std::nullopt;
    dispatch::prompt out;
    const auto slash = model.find('/');
    out.model = model_id(std::string(model.substr(0, slash)));
    if (slash != std::string_view::npos)
        out.adapter = adapter_id(std::string(model.substr(slash + 1)));
    const auto counts = find(raw, names.token_counts);
    const auto comma = counts.find(',');
    out.prompt_tokens = parse_whole(counts.substr(0, comma)).value_or(0);
    if (comma != std::string_view::npos)
        out.output_tokens = parse_whole(counts.substr(comma + 1)).value_or(0);
    // The parts only guide the choice of an engine, so unreadable ones do not
    // fail the request.
    if (auto parts =
            dispatch::parse_prompt_parts(find(raw, names.prompt_parts)))
        out.parts = std::move(*parts);
    return out;
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
        [&](std::string_view each) { return same_name(each, name); });
}

result<caller_request> parse_request(
    raw_request raw, const header_names& names, time_point arrived_at)
{
    caller_request out;
    out.id = find(raw, names.request_id);
    if (out.id.empty())
        return fail(error_code::invalid_argument, "the request has no id");
    out.host = find(raw, "Host");
    out.key = find(raw, names.key);
    out.arrived_at = arrived_at;
    if (const auto wait = parse_whole(find(raw, names.deadline_ms)))
        out.deadline = arrived_at + std::chrono::milliseconds(*wait);
    out.last_event = parse_whole(find(raw, names.last_event));
    out.prompt = parse_prompt(raw, names);
    if (!find(raw, names.token_counts).empty() && out.prompt)
        out.tokens = out.prompt->prompt_tokens + out.prompt->output_tokens;
    const std::string connection(find(raw, "Connection"));
    for (auto& field : raw.headers)
        if (is_forwarded(field, names, connection))
            out.headers.push_back(std::move(field));
    out.method = std::move(raw.method);
    out.target = std::move(raw.target);
    out.body = std::move(raw.body);
    return out;
}

} // namespace tarragonquay::gateway
