#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "gateway/call.hpp"
#include "gateway/endpoint_signals.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/prompt_guard.hpp"
#include "gateway/stop_limit.hpp"
#include "gateway/ticket_guard.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// A repeatable request without an answer after this multiple of its latency
/// target is sent to another endpoint, if it has attempts left.
constexpr int switch_delay_in_targets = 2;
/// With a shorter delay, usual variations of latency would cause a switch.
constexpr milliseconds min_switch_delay{200};
/// Interval of the checks whether another endpoint can be used.
constexpr milliseconds switch_check_interval{100};
/// Retry-After when all endpoints are full, in seconds.
constexpr double full_retry_s = 0.2;

constexpr int first_server_error = 500;

struct attempt_end
{
    attempt_outcome outcome = attempt_outcome::unknown;
    /// Set when the outcome is `answered`.
    whole_answer answer;
    error_code cause = error_code::internal;
};

// Closes the connection of a repeatable request without a complete answer when
// it can be sent to another endpoint. Until then it stays open, since its
// endpoint may still answer.
class endpoint_switch
{
public:
    endpoint_switch(call& call, const dispatch::endpoint_choice& current,
        endpoints::http_connection& connection)
        : call_(call),
          current_(current.id),
          connection_(connection),
          timer_(call.ctx.io)
    {
        if (call.route->repeat == routes::repeat_rule::at_most_once ||
            call.sends + 1 >= call.route->max_attempts)
            return;
        check_at(std::chrono::steady_clock::now() +
                 std::max(min_switch_delay,
                     milliseconds(switch_delay_in_targets *
                                  call.route->target_latency_ms)));
    }
    ~endpoint_switch() { *alive_ = false; }
    endpoint_switch(const endpoint_switch&) = delete;
    endpoint_switch& operator=(const endpoint_switch&) = delete;

    /// Whether the endpoint's slowness was recorded as a failure.
    bool failure_recorded() const { return failure_recorded_; }

private:
    void check_at(time_point at)
    {
        timer_.expires_at(at);
        timer_.async_wait(
            [this, alive = alive_](const boost::system::error_code& failed)
            {
                if (!failed && *alive)
                    check(std::chrono::steady_clock::now());
            });
    }

    void check(time_point now)
    {
        // Also without another endpoint: new requests must avoid this one.
        if (!std::exchange(failure_recorded_, true))
            call_.ctx.pool.record_failure(current_, now);
        if (now >= latest_answer_begin(call_))
            return;
        if (has_other_endpoint(now) && has_repeat(call_, now))
        {
            call_.repeat_taken = take_repeat(call_);
            connection_.close();
        }
        else
            check_at(now + switch_check_interval);
    }

    bool has_other_endpoint(time_point now) const
    {
        auto used = call_.tried;
        used.insert(current_);
        const auto other =
            call_.ctx.pool.choose_plain(call_.service->id, used, now);
        return other && !call_.ctx.pool.suspended(other->id, now);
    }

    call& call_;
    const endpoint_id current_;
    endpoints::http_connection& connection_;
    asio::steady_timer timer_;
    bool failure_recorded_ = false;
    // Shared with the handler, which can run after the switch is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

attempt_end handle_failure(call& call, const dispatch::endpoint_choice& to,
    const error& cause, bool recorded = false)
{
    attempt_end end;
    end.cause = cause.code();
    end.outcome = cause.execution() == execution_state::not_run
                      ? attempt_outcome::not_connected
                      : attempt_outcome::unknown;
    if (is_abandoned(call))
        end.outcome = attempt_outcome::caller_gone;
    else if (!recorded && !call.ctx.interrupted)
        call.ctx.pool.record_failure(to.id, std::chrono::steady_clock::now());
    log_attempt(call, to.id, end.outcome, cause.message(), call.sends);
    return end;
}

void note_lost(call& call, const dispatch::endpoint_choice& at,
    const dispatch::in_flight_request& sent, const error& cause)
{
    if (is_broken_by_endpoint(cause) && !call.ctx.interrupted &&
        !is_abandoned(call))
        call.lost_sends.push_back(
            {at, sent.started_unix_ms, std::chrono::steady_clock::now()});
}

asio::awaitable<attempt_end> send_and_receive(call& call,
    const dispatch::endpoint_choice& to,
    const dispatch::in_flight_request& sent,
    endpoints::http_connection& connection, const endpoint_switch& switching)
{
    ++call.sends;
    charge_send(call);
    auto head =
        co_await connection.send(make_exchange(call, to, call.deadline));
    if (!head)
    {
        note_lost(call, to, sent, head.error());
        co_return handle_failure(
            call, to, head.error(), switching.failure_recorded());
    }
    const auto established_at =
        std::chrono::steady_clock::now() + establishing_time;
    note_answer_head(call.ctx, {to.id, to.started_unix_ms}, *head);
    const auto kind = classify_head(call, *head);
    auto body = co_await collect_body(call, connection, call.deadline);
    if (!body)
    {
        if (std::chrono::steady_clock::now() < established_at)
            note_lost(call, to, sent, body.error());
        co_return handle_failure(
            call, to, body.error(), switching.failure_recorded());
    }
    if (kind == attempt_outcome::unknown)
        co_return handle_failure(call, to,
            error(error_code::wrong_answer,
                "the answer was not made by the endpoint",
                execution_state::unknown));
    if (may_keep_connection(call, kind, *head) && connection.reusable())
        call.ctx.connections.put(to.address, std::move(connection),
            std::chrono::steady_clock::now());
    attempt_end end;
    end.outcome = kind;
    if (kind == attempt_outcome::answered)
    {
        const bool success = head->status < first_server_error;
        call.ctx.pool.record_answer(to.id, success);
        if (success)
        {
            note_prompt_established(call);
            call.ctx.pool.note_plain_end(
                sent, call.service->id, std::chrono::steady_clock::now());
        }
        end.answer =
            make_caller_answer(call, std::move(*head), std::move(*body));
        co_return end;
    }
    note_not_run(call);
    if (kind == attempt_outcome::misdirected)
        note_leaving(call.ctx, {to.id, to.started_unix_ms},
            dispatch::leaving_source::misdirected);
    else
        call.ctx.pool.mark_full(to.id, std::chrono::steady_clock::now());
    log_attempt(call, to.id, kind, std::to_string(head->status), call.sends);
    co_return end;
}

asio::awaitable<attempt_end> attempt(
    call& call, const dispatch::endpoint_choice& to)
{
    ticket_guard ticket(call.ctx.pool,
        call.ctx.pool.begin(to, nullptr, 0, std::chrono::steady_clock::now()));
    call.endpoint = to.id;
    auto connection = co_await connect(call, to, call.deadline);
    if (!connection)
        co_return handle_failure(call, to, connection.error());
    if (call.ctx.interrupted || !may_use(call, to))
    {
        attempt_end withdrawn;
        withdrawn.outcome = attempt_outcome::not_connected;
        co_return withdrawn;
    }
    if (call.out.caller_gone())
    {
        attempt_end left;
        left.outcome = attempt_outcome::caller_gone;
        co_return left;
    }
    call.out.on_caller_gone(
        [&]
        {
            if (is_abandoned(call))
                connection->close();
        });
    const auto interruption =
        call.ctx.interruption.subscribe([&] { connection->close(); });
    const endpoint_switch switching(call, to, *connection);
    auto end = co_await send_and_receive(
        call, to, ticket.ticket(), *connection, switching);
    call.out.on_caller_gone(nullptr);
    co_return end;
}

bool may_try_another(const call& call, attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::not_connected:
    case attempt_outcome::rejected:
    case attempt_outcome::misdirected:
        return true;
    case attempt_outcome::answered:
    case attempt_outcome::unknown:
        return call.route->repeat != routes::repeat_rule::at_most_once;
    case attempt_outcome::caller_gone:
        return false;
    }
    return false;
}

// Answers the caller when the request can't be sent again.
asio::awaitable<void> give_up(call& call, std::optional<whole_answer> last)
{
    if (last)
    {
        call.reason = "endpoint_failed";
        co_await call.out.respond(std::move(*last));
        co_return;
    }
    const auto now = std::chrono::steady_clock::now();
    const bool late = now >= call.deadline;
    if (now >= latest_answer_begin(call))
        co_await refuse_at_stop(call);
    else if (runs_or_may_have_run(call))
        co_await refuse(
            call, late ? 504 : 502, late ? "timeout" : "unanswered");
    else if (const auto blocked = find_blocked(call))
        co_await refuse(call, 503, blocked->reason, blocked->retry_after_s);
    else
        co_await refuse(call, 503, "no_endpoint", full_retry_s);
}

} // namespace

asio::awaitable<void> run_plain_call(call& call)
{
    std::optional<whole_answer> last;
    while (std::chrono::steady_clock::now() <
               std::min(call.deadline, latest_answer_begin(call)) &&
           attempts_left(call))
    {
        const auto permission = co_await permit_prompt(call);
        if (permission == send_permission::refused)
            co_return;
        if (permission == send_permission::not_repeated || !take_repeat(call))
            break;
        const auto to = call.ctx.pool.choose_plain(
            call.service->id, call.tried, std::chrono::steady_clock::now());
        if (!to)
            break;
        auto end = co_await attempt(call, *to);
        call.tried.insert(to->id);
        co_await record_lost_sends(call);
        call.suspect.reset();
        if (end.outcome == attempt_outcome::caller_gone && is_abandoned(call))
        {
            call.reason = "caller_gone";
            co_return;
        }
        if (end.outcome == attempt_outcome::answered)
        {
            const bool success = end.answer.status < first_server_error;
            if (success || !may_try_another(call, end.outcome))
            {
                call.reason = success ? "answered" : "endpoint_failed";
                co_await call.out.respond(std::move(end.answer));
                co_return;
            }
            last = std::move(end.answer);
        }
        if (end.outcome == attempt_outcome::answered ||
            end.outcome == attempt_outcome::unknown)
            call.may_have_run = true;
        if (!may_try_another(call, end.outcome))
            break;
    }
    co_await give_up(call, std::move(last));
}

} // namespace tarragonquay::gateway
