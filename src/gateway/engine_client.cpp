#include "gateway/engine_client.hpp"

#include <chrono>

#include <fmt/format.h>

#include "gateway/endpoint_signals.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;

namespace
{

/// Engines answer within milliseconds. The result of a command without an
/// answer is read from the engine's report instead of waiting longer.
constexpr std::chrono::milliseconds call_timeout{500};
/// A report lists some thousand names at most.
constexpr std::size_t max_answer_bytes = 1UL << 20U;

// The engine may have been withdrawn while the connection was opened.
endpoints::exchange_request make_request(const context& ctx,
    const endpoints::directory_entry& engine, std::string target)
{
    endpoints::exchange_request out;
    out.address = engine.address;
    out.target = std::move(target);
    out.headers.push_back(
        {ctx.dialect.headers.expected_endpoint, engine.id.str()});
    out.body_limit = max_answer_bytes;
    // Answers carry no request id. Without this, the request uses a new
    // connection, where no answer to an earlier request can arrive.
    out.idempotent = false;
    out.deadline = std::chrono::steady_clock::now() + call_timeout;
    out.before_send = [&ctx, process = dispatch::endpoint_process{engine.id,
                                 engine.started_unix_ms}]() -> result<void>
    {
        if (ctx.pool.accepts_requests(
                process, std::chrono::steady_clock::now()))
            return {};
        return fail(error_code::no_endpoint, "the engine accepts no requests",
            execution_state::not_run);
    };
    return out;
}

result<engine_answer> to_engine_answer(int status)
{
    switch (status)
    {
    case 202:
        return engine_answer::accepted;
    case 200:
        return engine_answer::holds_already;
    case 409:
        return engine_answer::conflict;
    case 412:
        return engine_answer::stale_fencing;
    case 421:
        return engine_answer::misdirected;
    default:
        return engine_answer::refused;
    }
}

} // namespace

std::string_view to_string(engine_answer value)
{
    switch (value)
    {
    case engine_answer::accepted:
        return "accepted";
    case engine_answer::holds_already:
        return "holds_already";
    case engine_answer::conflict:
        return "conflict";
    case engine_answer::stale_fencing:
        return "stale_fencing";
    case engine_answer::misdirected:
        return "misdirected";
    case engine_answer::refused:
        return "refused";
    }
    return "refused";
}

asio::awaitable<result<engine_answer>> send_engine_command(
    context& ctx, endpoints::directory_entry engine, engine_command command)
{
    auto request = make_request(ctx, engine, ctx.dialect.command_path);
    request.method = "POST";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = ctx.dialect.encode_engine_command(command);
    const auto answer =
        co_await endpoints::exchange(ctx.connections, std::move(request));
    if (!answer)
        co_return tl::unexpected<error>(answer.error());
    note_answer_head(ctx, {engine.id, engine.started_unix_ms}, answer->head);
    co_return to_engine_answer(answer->head.status);
}

asio::awaitable<result<endpoints::engine_report>> read_engine_report(
    context& ctx, endpoints::directory_entry engine)
{
    auto request = make_request(ctx, engine, ctx.dialect.report_path);
    const auto answer =
        co_await endpoints::exchange(ctx.connections, std::move(request));
    if (!answer)
        co_return tl::unexpected<error>(answer.error());
    note_answer_head(ctx, {engine.id, engine.started_unix_ms}, answer->head);
    constexpr int status_ok = 200;
    if (answer->head.status != status_ok)
        co_return fail(error_code::endpoint_rejected,
            fmt::format(
                "the engine answered with status {}", answer->head.status));
    co_return ctx.dialect.decode_engine_report(answer->body);
}

} // namespace tarragonquay::gateway
