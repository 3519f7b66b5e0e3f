#include "support/callers.hpp"

#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "common/digest.hpp"

namespace tarragonquay::test_support
{

using nlohmann::json;

nlohmann::json completion_call::body() const
{
    json message = {{"role", "user"}, {"content", prompt}};
    json body = {{"model", model}, {"messages", json::array({message})},
        {"max_tokens", max_tokens}, {"stream", stream}};
    if (!adapter.empty())
        body["adapter"] = adapter;
    return body;
}

std::string completion_call::expected_text() const
{
    const std::string input =
        model + '\0' + adapter + '\0' + "user: " + prompt + "\n";
    std::string text;
    for (int offset = 0; offset < max_tokens; ++offset)
    {
        const auto hash = fast_hash(input, static_cast<std::uint64_t>(offset));
        text += fmt::format(" {:04x}", hash & 0xffffu);
    }
    return text;
}

http_call completion_call::request(const std::string& key) const
{
    http_call call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["Authorization"] = "Bearer " + key;
    call.headers["Content-Type"] = "application/json";
    call.body = body().dump();
    call.time = milliseconds(30'000);
    return call;
}

std::string text_of(const http_reply& reply)
{
    std::string text;
    for (const auto& event : reply.events)
    {
        const auto data = json::parse(event.data, nullptr, false);
        const json::json_pointer path("/choices/0/delta/content");
        if (event.name.empty() && data.is_object() && data.contains(path))
            text += data.at(path).get<std::string>();
    }
    const auto whole = json::parse(reply.body, nullptr, false);
    const json::json_pointer path("/choices/0/message/content");
    if (whole.is_object() && whole.contains(path))
        text += whole.at(path).get<std::string>();
    return text;
}

bool claims_whole(const http_reply& reply)
{
    if (reply.status != 200 || !reply.complete)
        return false;
    if (reply.headers.at("content-type") != "text/event-stream")
        return true;
    for (const auto& event : reply.events)
        if (event.name == "error")
            return false;
    return !reply.events.empty() && reply.events.back().data == "[DONE]";
}

bool ends_with_error_event(const http_reply& reply)
{
    return reply.complete && !reply.events.empty() &&
           reply.events.back().name == "error";
}

std::string describe(const http_reply& reply)
{
    return fmt::format("status {}, complete {}, body {}", reply.status,
        reply.complete, reply.body);
}

std::string error_code_of(const http_reply& reply)
{
    const bool event = !reply.events.empty();
    const auto body = json::parse(
        event ? reply.events.back().data : reply.body, nullptr, false);
    const json::json_pointer path("/error/code");
    return body.is_object() && body.contains(path)
               ? body.at(path).get<std::string>()
               : std::string();
}

http_reply complete(const std::string& entry, const std::string& key,
    const completion_call& call)
{
    return send_once(entry, call.request(key));
}

http_call order_request(const std::string& key, const std::string& order)
{
    http_call call;
    call.method = "POST";
    call.target = "/services/orders/send";
    call.headers["Authorization"] = "Bearer " + key;
    call.headers["Content-Type"] = "application/json";
    call.headers["Idempotency-Key"] = order;
    call.body = json{{"order", order}}.dump();
    call.time = milliseconds(30'000);
    return call;
}

configured_system start_configured(const deployment_options& options)
{
    configured_system made;
    made.system = deployment::start(options);
    auto& system = *made.system;
    if (!system.wait_healthy(0))
        throw std::runtime_error("the first daemon did not become ready");
    constexpr std::int64_t tokens = 10'000'000;
    system.put_workspace("w1", tokens, tokens);
    system.put_workspace("w2", tokens, tokens);
    made.key1 = system.issue_key("k1", "w1");
    made.key2 = system.issue_key("k2", "w2");
    system.put_model("m", "1", 1'000'000'000);
    system.put_adapter("a", "m", "1", 10'000'000);
    system.put_service("orders", {"/open/::idempotent:open"});
    system.put_endpoints("orders");
    for (std::size_t i = 0; i < system.daemons(); ++i)
    {
        http_reply last;
        const bool served = eventually(
            [&]
            {
                last = complete(system.entry(i), made.key1);
                return claims_whole(last);
            },
            milliseconds(30'000));
        if (!served)
            throw std::runtime_error(
                "the model did not answer: " + describe(last));
    }
    return made;
}

nlohmann::json seen_by(const std::string& endpoint)
{
    return fetch(endpoint, "/admin/seen").json().at("requests");
}

std::size_t work_seen_by(const std::string& endpoint)
{
    std::size_t count = 0;
    for (const auto& request : seen_by(endpoint))
        count +=
            request.at("target").get<std::string>().rfind("/control/", 0) == 0
                ? 0
                : 1;
    return count;
}

} // namespace tarragonquay::test_support
