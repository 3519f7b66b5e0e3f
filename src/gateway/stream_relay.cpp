#include "gateway/stream_relay.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "gateway/event_framer.hpp"
#include "gateway/ticket_guard.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

// Callers abandon a stream without an event after the longest of: this time,
// this multiple of the latency target, this multiple of the longest pause.
constexpr milliseconds min_caller_timeout{2'000};
constexpr int caller_timeout_in_targets = 4;
constexpr int caller_timeout_in_pauses = 8;

/// The endpoint of a resumable stream is checked when the first event is
/// overdue by this time or by the route's latency target, whichever is longer.
constexpr milliseconds min_first_event_grace{300};
/// Interval of the checks whether an endpoint has lost a request.
constexpr milliseconds check_interval{200};
/// An endpoint without an event for this multiple of the route's longest pause
/// is considered stalled.
constexpr int silence_timeout_in_pauses = 4;
constexpr milliseconds min_silence_timeout{500};

constexpr int status_ok = 200;
constexpr int first_server_error = 500;

milliseconds caller_timeout(const routes::route& route)
{
    return std::max({min_caller_timeout,
        milliseconds(caller_timeout_in_targets * route.target_latency_ms),
        milliseconds(caller_timeout_in_pauses * route.max_event_gap_ms)});
}

/// Relays a stream from one endpoint to the caller.
class relay
{
public:
    relay(call& call, stream_state& state, const dispatch::endpoint_choice& to)
        : call_(call),
          state_(state),
          to_(to),
          ticket_(call.ctx.pool,
              call.ctx.pool.begin(to,
                  call.request.prompt ? &*call.request.prompt : nullptr,
                  call.service->engines ? call.service->engines->cache_tokens
                                        : 0,
                  std::chrono::steady_clock::now())),
          watchdog_(call.ctx.io)
    {
    }

    asio::awaitable<relay_end> run()
    {
        call_.endpoint = to_.id;
        auto connection = co_await connect(call_, to_, call_.deadline);
        if (!connection)
            co_return handle_failure(connection.error());
        call_.out.on_caller_gone([&] { connection->close(); });
        auto end = co_await exchange(*connection);
        cancel_close_handlers();
        co_return end;
    }

private:
    relay_end handle_failure(const error& cause)
    {
        relay_end end;
        end.outcome = cause.execution() == execution_state::not_run
                          ? relay_outcome::not_connected
                          : relay_outcome::broken;
        if (call_.out.caller_gone())
            end.outcome = relay_outcome::caller_gone;
        else
            call_.ctx.pool.record_failure(
                to_.id, std::chrono::steady_clock::now());
        log_attempt(call_, to_.id,
            end.outcome == relay_outcome::not_connected
                ? attempt_outcome::not_connected
            : end.outcome == relay_outcome::caller_gone
                ? attempt_outcome::caller_gone
                : attempt_outcome::unknown,
            cause.message());
        return end;
    }

    // Time of the first check whether the endpoint has lost the request.
    time_point first_check_at() const
    {
        return to_.expected_at +
               std::max(min_first_event_grace,
                   milliseconds(call_.route->target_latency_ms));
    }

    // Closes the connection when the endpoint has lost the request: it serves
    // other requests but not this one, or serves none at all.
    void watch_first_event(endpoints::http_connection& connection)
    {
        watchdog_.expires_at(std::max(first_check_at(),
            std::chrono::steady_clock::now() + check_interval));
        watchdog_.async_wait(
            [this, &connection, alive = std::weak_ptr<int>(watch_token_)](
                const boost::system::error_code& failed)
            {
                // A handler that is already queued runs even after a cancel.
                if (failed || alive.expired())
                    return;
                if (call_.ctx.pool.lost_request(
                        to_.id, ticket_.ticket().sent_at))
                    connection.close();
                else
                    watch_first_event(connection);
            });
    }

    time_point next_event_deadline() const
    {
        const auto now = std::chrono::steady_clock::now();
        if (!may_resume_elsewhere(call_))
            return std::min(call_.deadline, now + caller_timeout(*call_.route));
        return std::min(call_.deadline,
            now + std::max(min_silence_timeout,
                      milliseconds(silence_timeout_in_pauses *
                                   call_.route->max_event_gap_ms)));
    }

    asio::awaitable<relay_end> exchange(endpoints::http_connection& connection)
    {
        ++call_.sends;
        auto request = make_exchange(call_, to_, first_event_deadline(call_));
        if (may_resume_elsewhere(call_))
            watch_first_event(connection);
        if (state_.last_event)
        {
            const auto& name = call_.ctx.dialect.headers.last_event;
            std::erase_if(request.headers, [&](const endpoints::header& each)
                { return each.name == name; });
            request.headers.push_back(
                {name, std::to_string(*state_.last_event)});
        }
        auto head = co_await connection.send(request);
        if (!head)
            co_return handle_failure(head.error());
        const auto kind = classify_head(call_, *head);
        if (kind == attempt_outcome::answered && head->status == status_ok)
            co_return co_await relay_events(connection, std::move(*head));
        co_return co_await read_whole_answer(
            connection, kind, std::move(*head));
    }

    // Reads a complete answer that is not a stream.
    asio::awaitable<relay_end> read_whole_answer(
        endpoints::http_connection& connection, attempt_outcome kind,
        endpoints::answer_head head)
    {
        auto body = co_await collect_body(call_, connection, call_.deadline);
        if (!body)
            co_return handle_failure(body.error());
        if (kind == attempt_outcome::unknown)
            co_return handle_failure(error(error_code::wrong_answer,
                "the answer was not made by the endpoint",
                execution_state::unknown));
        if (may_keep_connection(kind, head))
            return_to_pool(connection);
        relay_end end;
        if (kind == attempt_outcome::answered)
        {
            call_.ctx.pool.record_answer(
                to_.id, head.status < first_server_error);
            end.outcome = relay_outcome::answered;
            end.answer =
                make_caller_answer(call_, std::move(head), std::move(*body));
            co_return end;
        }
        if (kind == attempt_outcome::misdirected)
            note_misdirected(head);
        else
            call_.ctx.pool.mark_full(to_.id, std::chrono::steady_clock::now());
        log_attempt(call_, to_.id, kind, std::to_string(head.status));
        end.outcome = relay_outcome::rejected;
        co_return end;
    }

    void note_misdirected(const endpoints::answer_head& head)
    {
        const auto id = head.find(call_.ctx.dialect.headers.endpoint);
        if (!id.empty() && id != to_.id.str())
            call_.ctx.pool.mark_leaving(to_.id);
        else if (call_.request.prompt)
            call_.ctx.pool.mark_missing(to_.id, call_.request.prompt->model,
                call_.request.prompt->adapter,
                std::chrono::steady_clock::now());
    }

    void cancel_watchdog()
    {
        watch_token_.reset();
        watchdog_.cancel();
    }

    // From here on, neither the watchdog nor a leaving caller closes the
    // connection.
    void cancel_close_handlers()
    {
        call_.out.on_caller_gone(nullptr);
        cancel_watchdog();
    }

    void return_to_pool(endpoints::http_connection& connection)
    {
        // The caller may close its connection while the end of its stream is
        // written; that must not close the pooled connection.
        cancel_close_handlers();
        if (connection.reusable())
            call_.ctx.connections.put(to_.address, std::move(connection),
                std::chrono::steady_clock::now());
    }

    asio::awaitable<relay_end> relay_events(
        endpoints::http_connection& connection, endpoints::answer_head head)
    {
        event_framer framer;
        bool first = true;
        while (true)
        {
            auto part = co_await connection.read_some(
                first ? first_event_deadline(call_) : next_event_deadline());
            if (!part)
                co_return handle_failure(part.error());
            if (part->empty())
                break;
            framer.feed(*part);
            auto events = take_events(framer);
            if (!events)
                co_return handle_failure(events.error());
            if (events->empty())
                continue;
            if (first)
                note_first_event();
            else
                call_.ctx.pool.note_progress(
                    to_.id, std::chrono::steady_clock::now());
            first = false;
            const bool written = co_await deliver(head, std::move(*events));
            if (!written)
                co_return make_caller_gone();
        }
        if (framer.has_partial_event())
            co_return handle_failure(error(error_code::incomplete_answer,
                "the stream ended in the middle of an event",
                execution_state::unknown));
        return_to_pool(connection);
        call_.ctx.pool.record_answer(to_.id, true);
        if (call_.request.prompt)
            call_.ctx.pool.note_stream_end(ticket_.ticket(), call_.service->id,
                call_.request.prompt->model, std::chrono::steady_clock::now());
        if (!state_.begun)
        {
            const auto begun = co_await call_.out.begin_stream(head);
            if (!begun)
                co_return make_caller_gone();
        }
        const auto ended = co_await call_.out.end_stream();
        if (!ended)
            co_return make_caller_gone();
        co_return relay_end{relay_outcome::complete, {}};
    }

    static relay_end make_caller_gone()
    {
        return {relay_outcome::caller_gone, {}};
    }

    void note_first_event()
    {
        cancel_watchdog();
        if (call_.request.prompt)
            call_.ctx.pool.note_first_event(ticket_.ticket(), call_.service->id,
                call_.request.prompt->model, std::chrono::steady_clock::now());
    }

    // Returns the complete events in the framer, concatenated. Fails if their
    // ids do not continue the stream.
    result<std::string> take_events(event_framer& framer)
    {
        std::string out;
        while (true)
        {
            auto event = framer.pop();
            if (!event)
                return tl::unexpected<error>(event.error());
            if (!*event)
                return out;
            const auto& id = (*event)->id;
            if (id && state_.last_event && *id != *state_.last_event + 1)
                return fail(error_code::wrong_answer,
                    "the stream skipped or repeated an event",
                    execution_state::unknown);
            if (id)
                state_.last_event = id;
            out += (*event)->bytes;
        }
    }

    asio::awaitable<bool> deliver(
        const endpoints::answer_head& head, std::string events)
    {
        if (!state_.begun)
        {
            state_.begun = true;
            const auto begun = co_await call_.out.begin_stream(head);
            if (!begun)
                co_return false;
        }
        const auto written = co_await call_.out.write_stream(std::move(events));
        co_return written.has_value();
    }

    call& call_;
    stream_state& state_;
    const dispatch::endpoint_choice to_;
    ticket_guard ticket_;
    asio::steady_timer watchdog_;
    /// Reset when the watchdog must no longer close the connection.
    std::shared_ptr<int> watch_token_ = std::make_shared<int>(0);
};

} // namespace

time_point first_event_deadline(const call& call)
{
    return std::min(
        call.deadline, call.request.arrived_at + caller_timeout(*call.route));
}

bool may_resume_elsewhere(const call& call)
{
    return call.route->repeat == routes::repeat_rule::resumable &&
           call.sends < call.route->max_attempts;
}

asio::awaitable<relay_end> relay_stream(
    call& call, stream_state& state, dispatch::endpoint_choice to)
{
    relay attempt(call, state, to);
    co_return co_await attempt.run();
}

} // namespace tarragonquay::gateway
