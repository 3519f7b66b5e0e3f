#include "catalog/types.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <set>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace tarragonquay::catalog
{

namespace
{

constexpr std::size_t max_id_length = 128;
constexpr std::size_t max_prefix_length = 1024;
constexpr std::size_t digest_hex_digits = 64;
constexpr int max_port = 65535;

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

result<void> check_id(std::string_view field, const std::string& id)
{
    if (!is_valid_id(id))
        return fail(error_code::invalid_argument,
            fmt::format("{} must have 1 to {} characters of letters, digits "
                        "and -_.:",
                field, max_id_length));
    return {};
}

result<void> check_optional_id(std::string_view field, const std::string& id)
{
    return id.empty() ? result<void>() : check_id(field, id);
}

result<void> check_at_least(
    std::string_view field, std::int64_t value, std::int64_t minimum)
{
    if (value < minimum)
        return fail(error_code::invalid_argument,
            fmt::format(
                "{} must be at least {}, not {}", field, minimum, value));
    return {};
}

result<void> check_address(std::string_view field, const std::string& address)
{
    if (!is_valid_address(address))
        return fail(error_code::invalid_argument,
            fmt::format("{} must be ip:port, not '{}'", field, address));
    return {};
}

/// Returns the first failure, or success when all checks passed.
result<void> first_failure(std::initializer_list<result<void>> checks)
{
    for (const auto& checked : checks)
    {
        if (!checked)
            return checked;
    }
    return {};
}

result<void> check_route(const route& rule)
{
    if (rule.path_prefix.size() > max_prefix_length ||
        !rule.path_prefix.starts_with('/'))
        return fail(error_code::invalid_argument,
            fmt::format("route prefix must start with / and have at most {} "
                        "characters",
                max_prefix_length));
    if (!std::all_of(rule.method.begin(), rule.method.end(),
            [](char c) { return c >= 'A' && c <= 'Z'; }))
        return fail(error_code::invalid_argument,
            fmt::format("route method must be upper-case letters, not '{}'",
                rule.method));
    return {};
}

} // namespace

bool is_valid_id(const std::string& id)
{
    return !id.empty() && id.size() <= max_id_length &&
           std::all_of(id.begin(), id.end(),
               [](char c)
               {
                   return is_letter_or_digit(c) || c == '-' || c == '_' ||
                          c == '.' || c == ':';
               });
}

bool is_valid_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    const auto port_text = std::string_view(address).substr(colon + 1);
    int port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port < 1 ||
        port > max_port)
        return false;
    auto host = address.substr(0, colon);
    std::array<unsigned char, sizeof(in6_addr)> parsed_host{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                   parsed_host.data()) == 1;
    return inet_pton(AF_INET, host.c_str(), parsed_host.data()) == 1;
}

bool is_idempotent(const route& rule, const std::string& method)
{
    switch (rule.repeat)
    {
    case repeat_rule::idempotent:
        return true;
    case repeat_rule::not_idempotent:
        return false;
    case repeat_rule::by_method:
        break;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

result<void> validate(const workspace& value)
{
    return first_failure({check_id("workspace id", value.id.str()),
        check_at_least(
            "rate_tokens_per_second", value.rate_tokens_per_second, 1),
        check_at_least("burst_tokens", value.burst_tokens, 1)});
}

result<void> validate(const api_key& value)
{
    const auto& digest = value.secret_sha256;
    if (digest.size() != digest_hex_digits ||
        !std::all_of(digest.begin(), digest.end(),
            [](char c)
            { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }))
        return fail(error_code::invalid_argument,
            "secret_sha256 must be 64 lower-case hex digits");
    return first_failure({check_id("key id", value.id.str()),
        check_id("workspace of key", value.workspace.str())});
}

result<void> validate(const model& value)
{
    return first_failure({check_id("model id", value.id.str()),
        check_optional_id("model version", value.version),
        check_at_least("model bytes", value.bytes, 0)});
}

result<void> validate(const adapter& value)
{
    return first_failure({check_id("adapter id", value.id.str()),
        check_id("model of adapter", value.model.str()),
        check_optional_id("adapter version", value.version),
        check_at_least("adapter bytes", value.bytes, 0)});
}

result<void> validate(const service& value)
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& rule : value.routes)
    {
        if (auto checked = check_route(rule); !checked)
            return checked;
        if (!seen.emplace(rule.path_prefix, rule.method).second)
            return fail(error_code::invalid_argument,
                fmt::format("route '{}' with method '{}' is given twice",
                    rule.path_prefix, rule.method));
    }
    return check_id("service name", value.name.str());
}

result<void> validate(const endpoint& value)
{
    const bool is_service = value.kind == endpoint_kind::service;
    if (is_service == value.service.empty())
        return fail(error_code::invalid_argument,
            is_service ? "an endpoint of kind service must name its service"
                       : "an endpoint of kind engine must not name a service");
    return first_failure({check_id("endpoint id", value.id.str()),
        check_address("endpoint address", value.address),
        check_optional_id("availability_zone", value.availability_zone),
        check_optional_id("region", value.region),
        check_optional_id("service of endpoint", value.service.str()),
        check_at_least("accelerators", value.accelerators, 0),
        check_at_least("capacity_bytes", value.capacity_bytes, 0)});
}

result<void> validate(const member& value)
{
    return first_failure({check_id("member instance", value.instance.str()),
        check_id("member incarnation", value.incarnation),
        value.peer_address.empty()
            ? result<void>()
            : check_address("peer_address", value.peer_address),
        value.entry_address.empty()
            ? result<void>()
            : check_address("entry_address", value.entry_address),
        check_optional_id("availability_zone", value.availability_zone),
        check_optional_id("region", value.region)});
}

} // namespace tarragonquay::catalog
