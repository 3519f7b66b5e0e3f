#include "ingress/completion_request.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "ingress/caller_request.hpp"

namespace tarragonquay::ingress
{

using json = nlohmann::json;

namespace
{

constexpr int max_nesting = 64;
constexpr std::int64_t default_max_tokens = 512;
constexpr std::int64_t max_tokens_limit = 1'000'000;
constexpr std::size_t max_name_bytes = 256;
// Tokens that the chat template may add to each message.
constexpr std::int64_t tokens_per_message = 16;

constexpr std::array known_members{
    "model", "adapter", "messages", "max_tokens", "stream"};

tl::unexpected<error> invalid(std::string message)
{
    return fail(error_code::invalid_argument, std::move(message));
}

bool is_name(const json& value)
{
    return value.is_string() && !value.get_ref<const std::string&>().empty() &&
           value.get_ref<const std::string&>().size() <= max_name_bytes;
}

result<void> parse_messages(completion_request& out, const json& messages)
{
    if (!messages.is_array() || messages.empty())
        return invalid("messages must be a non-empty array");
    for (const auto& message : messages)
    {
        if (!message.is_object() || !message.contains("role") ||
            !message.contains("content"))
            return invalid("each message must have a role and content");
        out.prompt_tokens += tokens_per_message;
        for (const auto& [name, value] : message.items())
        {
            if (name != "role" && name != "content" && name != "name")
                return invalid("a message has an unknown member");
            if (!value.is_string())
                return invalid("the members of a message must be strings");
            out.prompt_tokens += static_cast<std::int64_t>(
                value.get_ref<const std::string&>().size());
        }
    }
    out.messages = messages.dump();
    return {};
}

result<void> parse_options(completion_request& out, const json& source)
{
    if (source.contains("adapter"))
    {
        if (!is_name(source["adapter"]))
            return invalid("adapter must be a name");
        out.adapter = adapter_id(source["adapter"].get<std::string>());
    }
    out.max_tokens = default_max_tokens;
    if (source.contains("max_tokens"))
    {
        const auto& value = source["max_tokens"];
        if (!value.is_number_integer() || value < 1 || value > max_tokens_limit)
            return invalid("max_tokens must be from 1 to 1000000");
        out.max_tokens = value.get<std::int64_t>();
    }
    if (source.contains("stream"))
    {
        if (!source["stream"].is_boolean())
            return invalid("stream must be true or false");
        out.stream = source["stream"].get<bool>();
    }
    return {};
}

} // namespace

result<completion_request> parse_completion(const std::string& body)
{
    if (!nesting_within(body, max_nesting))
        return invalid("the JSON body is nested too deeply");
    const auto source = json::parse(body, nullptr, false);
    if (!source.is_object())
        return invalid("the body must be a JSON object");
    for (const auto& [name, value] : source.items())
    {
        if (std::find(known_members.begin(), known_members.end(), name) ==
            known_members.end())
            return invalid("the body has an unknown member");
    }
    completion_request out;
    if (!source.contains("model") || !is_name(source["model"]))
        return invalid("model must be a name");
    out.model = model_id(source["model"].get<std::string>());
    if (!source.contains("messages"))
        return invalid("messages is missing");
    if (auto status = parse_messages(out, source["messages"]); !status)
        return tl::unexpected<error>(status.error());
    if (auto status = parse_options(out, source); !status)
        return tl::unexpected<error>(status.error());
    return out;
}

std::string engine_body(
    const completion_request& request, routing::priority priority)
{
    json body{{"model", request.model.str()},
        {"messages", json::parse(request.messages)},
        {"max_tokens", request.max_tokens}, {"stream", true},
        {"priority", priority == routing::priority::interactive ? "interactive"
                     : priority == routing::priority::batch     ? "batch"
                                                                : "normal"}};
    if (!request.adapter.empty())
        body["adapter"] = request.adapter.str();
    return body.dump();
}

} // namespace tarragonquay::ingress
