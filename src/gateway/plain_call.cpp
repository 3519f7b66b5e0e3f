#include <algorithm>
#include <chrono>
#include <optional>

#include "gateway/call.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/ticket_guard.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// An idempotent request that has no answer after this many times its target
/// is sent to another endpoint, if it may be.
constexpr int targets_to_switch = 2;
/// Shorter targets would switch on usual variations.
constexpr milliseconds least_switch{200};
/// When a caller may return after all endpoints were full.
constexpr double full_retry_s = 0.2;

constexpr int first_server_error = 500;

struct attempt_end
{
    attempt_outcome outcome = attempt_outcome::unknown;
    /// Of `answered`.
    whole_answer answer;
    error_code cause = error_code::internal;
};

// Reads the rest of an answer; the connection goes back to the pool when it
// may be used again.
asio::awaitable<result<std::string>> read_body(
    call& of, endpoints::http_connection& connection, time_point deadline)
{
    std::string body;
    while (true)
    {
        auto part = co_await connection.read_some(deadline);
        if (!part)
            co_return tl::unexpected<error>(part.error());
        if (part->empty())
            co_return body;
        body += *part;
        if (of.out.caller_gone())
            co_return fail(error_code::cancelled, "the caller has gone",
                execution_state::unknown);
    }
}

attempt_end failed(
    call& of, const dispatch::endpoint_choice& to, const error& cause)
{
    attempt_end end;
    end.cause = cause.code();
    end.outcome = cause.execution() == execution_state::not_run
                      ? attempt_outcome::not_connected
                      : attempt_outcome::unknown;
    if (of.out.caller_gone())
        end.outcome = attempt_outcome::caller_gone;
    else
        of.on.pool.record_failure(to.id, std::chrono::steady_clock::now());
    log_attempt(of, to.id, end.outcome, cause.message());
    return end;
}

asio::awaitable<attempt_end> exchange_over(call& of,
    const dispatch::endpoint_choice& to, endpoints::http_connection& connection,
    time_point deadline)
{
    ++of.sends;
    auto head = co_await connection.send(make_exchange(of, to, deadline));
    if (!head)
        co_return failed(of, to, head.error());
    const auto kind = classify_head(of, *head);
    auto body = co_await read_body(of, connection, deadline);
    if (!body)
        co_return failed(of, to, body.error());
    if (kind == attempt_outcome::unknown)
        co_return failed(of, to,
            error(error_code::wrong_answer, "not an answer of the endpoint",
                execution_state::unknown));
    if (connection.reusable())
        of.on.connections.put(to.address, std::move(connection),
            std::chrono::steady_clock::now());
    attempt_end end;
    end.outcome = kind;
    if (kind == attempt_outcome::answered)
    {
        of.on.pool.record_answer(to.id, head->status < first_server_error);
        end.answer = to_caller(of, std::move(*head), std::move(*body));
        co_return end;
    }
    if (kind == attempt_outcome::misdirected)
        of.on.pool.mark_leaving(to.id);
    else
        of.on.pool.mark_full(to.id, std::chrono::steady_clock::now());
    log_attempt(of, to.id, kind, std::to_string(head->status));
    co_return end;
}

asio::awaitable<attempt_end> attempt(
    call& of, const dispatch::endpoint_choice& to, time_point deadline)
{
    ticket_guard held(of.on.pool,
        of.on.pool.begin(to, nullptr, 0, std::chrono::steady_clock::now()));
    of.endpoint = to.id;
    auto connection = co_await connect(of, to, deadline);
    if (!connection)
        co_return failed(of, to, connection.error());
    of.out.on_caller_gone([&] { connection->close(); });
    auto end = co_await exchange_over(of, to, *connection, deadline);
    of.out.on_caller_gone(nullptr);
    co_return end;
}

time_point attempt_deadline(const call& of)
{
    const bool may_switch =
        of.route->repeat != routes::repeat_rule::at_most_once &&
        of.sends + 1 < of.route->max_attempts;
    if (!may_switch)
        return of.deadline;
    const auto wait = std::max(least_switch,
        milliseconds(targets_to_switch * of.route->target_latency_ms));
    return std::min(of.deadline, std::chrono::steady_clock::now() + wait);
}

bool may_go_on(const call& of, attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::not_connected:
    case attempt_outcome::rejected:
    case attempt_outcome::misdirected:
        return true;
    case attempt_outcome::answered:
    case attempt_outcome::unknown:
        return of.route->repeat != routes::repeat_rule::at_most_once;
    case attempt_outcome::caller_gone:
        return false;
    }
    return false;
}

// Answers when no further send is possible.
asio::awaitable<void> give_up(call& of, std::optional<whole_answer> last)
{
    if (last)
    {
        of.reason = "endpoint_failed";
        co_await of.out.respond(std::move(*last));
        co_return;
    }
    const bool late = std::chrono::steady_clock::now() >= of.deadline;
    if (of.may_have_run)
        co_await refuse(of, late ? 504 : 502, late ? "timeout" : "unanswered");
    else
        co_await refuse(of, 503, "no_endpoint", full_retry_s);
}

} // namespace

asio::awaitable<void> run_plain_call(call& of)
{
    std::optional<whole_answer> last;
    while (std::chrono::steady_clock::now() < of.deadline && take_attempt(of))
    {
        const auto to = of.on.pool.choose_plain(
            of.service->id, of.tried, std::chrono::steady_clock::now());
        if (!to)
            break;
        auto end = co_await attempt(of, *to, attempt_deadline(of));
        of.tried.insert(to->id);
        if (end.outcome == attempt_outcome::caller_gone)
        {
            of.reason = "caller_gone";
            co_return;
        }
        if (end.outcome == attempt_outcome::answered)
        {
            const bool success = end.answer.status < first_server_error;
            if (success || !may_go_on(of, end.outcome))
            {
                of.reason = success ? "answered" : "endpoint_failed";
                co_await of.out.respond(std::move(end.answer));
                co_return;
            }
            last = std::move(end.answer);
        }
        if (end.outcome == attempt_outcome::answered ||
            end.outcome == attempt_outcome::unknown)
            of.may_have_run = true;
        if (!may_go_on(of, end.outcome))
            break;
    }
    co_await give_up(of, std::move(last));
}

} // namespace tarragonquay::gateway
