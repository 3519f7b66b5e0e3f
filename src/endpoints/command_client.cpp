#include <utility>

#include "endpoints/command_client.hpp"

#include <nlohmann/json.hpp>

#include "common/random.hpp"
#include "endpoints/http_exchange.hpp"
#include "records.pb.h"

namespace tarragonquay::endpoints
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t answer_limit_bytes = 64UL << 10U;

const char* kind_name(records::Command_intent::Kind kind)
{
    switch (kind)
    {
    case records::Command_intent::LOAD_MODEL:
        return "load_model";
    case records::Command_intent::UNLOAD_MODEL:
        return "unload_model";
    case records::Command_intent::LOAD_ADAPTER:
        return "load_adapter";
    case records::Command_intent::UNLOAD_ADAPTER:
        return "unload_adapter";
    default:
        return "";
    }
}

result<command_answer> decode_status(int status)
{
    switch (status)
    {
    case 202:
        return command_answer::accepted;
    case 200:
        return command_answer::already_known;
    case 409:
        return fail(error_code::stale_fencing,
            "the engine has restarted or has seen a newer fencing number");
    case 507:
        return fail(error_code::no_memory,
            "the engine does not have enough memory for the command");
    default:
        break;
    }
    const auto execution = status >= 400 && status < 500
                               ? execution_state::not_run
                               : execution_state::unknown;
    return fail(error_code::endpoint_rejected,
        "the engine answered the command with status " + std::to_string(status),
        execution);
}

} // namespace

std::string encode_command(const records::Command_intent& intent)
{
    nlohmann::json body{{"command_id", intent.command_id()},
        {"incarnation", intent.engine_incarnation()},
        {"fencing", intent.fencing()}, {"kind", kind_name(intent.kind())},
        {"model", intent.model()}, {"version", intent.version()},
        {"bytes", intent.bytes()},
        {"deadline_unix_ms", intent.deadline_unix_ms()}};
    if (!intent.adapter().empty())
        body["adapter"] = intent.adapter();
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

asio::awaitable<result<command_answer>> send_command(
    std::string address, records::Command_intent intent, time_point deadline)
{
    if (*kind_name(intent.kind()) == '\0')
        co_return fail(error_code::invalid_argument, "the command has no kind");
    exchange_request request;
    request.address = std::move(address);
    request.method = "POST";
    request.target = "/control/commands";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = encode_command(intent);
    request.request_id = unique_id();
    request.deadline = deadline;
    request.body_limit = answer_limit_bytes;
    connection_pool unused_pool;
    auto answer = co_await exchange(unused_pool, std::move(request));
    if (!answer)
        co_return tl::unexpected<error>(answer.error());
    co_return decode_status(answer->head.status);
}

} // namespace tarragonquay::endpoints
