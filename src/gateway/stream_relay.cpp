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

// Callers abandon a stream after the longest of these without an event.
constexpr milliseconds least_patience{2'000};
constexpr int targets_of_patience = 4;
constexpr int pauses_of_patience = 8;

/// A resumable stream moves on when its first event is this much later than
/// expected, as far as the route's target allows.
constexpr milliseconds least_first_event_grace{300};
/// Between two looks whether an endpoint has lost a request.
constexpr milliseconds check_interval{200};
/// A pause of this many times the longest usual one means that the endpoint
/// has gone silent.
constexpr int pauses_to_move = 4;
constexpr milliseconds least_pause_limit{500};

constexpr int status_ok = 200;
constexpr int first_server_error = 500;

milliseconds patience(const routes::route& route)
{
    return std::max({least_patience,
        milliseconds(targets_of_patience * route.target_latency_ms),
        milliseconds(pauses_of_patience * route.max_event_gap_ms)});
}

/// One send of a stream to one endpoint.
class relay
{
public:
    relay(call& of, stream_state& state, const dispatch::endpoint_choice& to)
        : of_(of),
          state_(state),
          to_(to),
          held_(of.on.pool,
              of.on.pool.begin(to,
                  of.request.prompt ? &*of.request.prompt : nullptr,
                  of.service->engines ? of.service->engines->cache_tokens : 0,
                  std::chrono::steady_clock::now())),
          watchdog_(of.on.io)
    {
    }

    asio::awaitable<relay_end> run()
    {
        of_.endpoint = to_.id;
        auto connection = co_await connect(of_, to_, of_.deadline);
        if (!connection)
            co_return failed(connection.error());
        of_.out.on_caller_gone([&] { connection->close(); });
        auto end = co_await exchange(*connection);
        detach();
        co_return end;
    }

private:
    relay_end failed(const error& cause)
    {
        relay_end end;
        end.outcome = cause.execution() == execution_state::not_run
                          ? relay_outcome::not_connected
                          : relay_outcome::broken;
        if (of_.out.caller_gone())
            end.outcome = relay_outcome::caller_gone;
        else
            of_.on.pool.record_failure(
                to_.id, std::chrono::steady_clock::now());
        log_attempt(of_, to_.id,
            end.outcome == relay_outcome::not_connected
                ? attempt_outcome::not_connected
            : end.outcome == relay_outcome::caller_gone
                ? attempt_outcome::caller_gone
                : attempt_outcome::unknown,
            cause.message());
        return end;
    }

    // When to look whether the endpoint has lost the request.
    time_point first_check() const
    {
        return to_.expected_at +
               std::max(least_first_event_grace,
                   milliseconds(of_.route->target_latency_ms));
    }

    // Closes the connection when the endpoint serves others, but not this
    // request, or when it serves nobody.
    void watch_first_event(endpoints::http_connection& connection)
    {
        watchdog_.expires_at(std::max(
            first_check(), std::chrono::steady_clock::now() + check_interval));
        watchdog_.async_wait(
            [this, &connection, alive = std::weak_ptr<int>(watched_)](
                const boost::system::error_code& failed)
            {
                // A handler that was queued before a cancel runs after it.
                if (failed || alive.expired())
                    return;
                if (of_.on.pool.lost_request(to_.id, held_.held().sent_at))
                    connection.close();
                else
                    watch_first_event(connection);
            });
    }

    time_point pause_limit() const
    {
        const auto now = std::chrono::steady_clock::now();
        if (!may_move(of_))
            return std::min(of_.deadline, now + patience(*of_.route));
        return std::min(of_.deadline,
            now + std::max(least_pause_limit,
                      milliseconds(
                          pauses_to_move * of_.route->max_event_gap_ms)));
    }

    asio::awaitable<relay_end> exchange(endpoints::http_connection& connection)
    {
        ++of_.sends;
        auto request = make_exchange(of_, to_, first_event_limit(of_));
        if (may_move(of_))
            watch_first_event(connection);
        if (state_.last_event)
        {
            const auto& name = of_.on.dialect.headers.last_event;
            std::erase_if(request.headers, [&](const endpoints::header& each)
                { return each.name == name; });
            request.headers.push_back(
                {name, std::to_string(*state_.last_event)});
        }
        auto head = co_await connection.send(request);
        if (!head)
            co_return failed(head.error());
        const auto kind = classify_head(of_, *head);
        if (kind == attempt_outcome::answered && head->status == status_ok)
            co_return co_await relay_events(connection, std::move(*head));
        co_return co_await whole(connection, kind, std::move(*head));
    }

    // Reads an answer that is no stream.
    asio::awaitable<relay_end> whole(endpoints::http_connection& connection,
        attempt_outcome kind, endpoints::answer_head head)
    {
        std::string body;
        while (true)
        {
            const auto part = co_await connection.read_some(of_.deadline);
            if (!part)
                co_return failed(part.error());
            if (part->empty())
                break;
            body += *part;
        }
        if (kind == attempt_outcome::unknown)
            co_return failed(error(error_code::wrong_answer,
                "not an answer of the endpoint", execution_state::unknown));
        keep(connection);
        relay_end end;
        if (kind == attempt_outcome::answered)
        {
            of_.on.pool.record_answer(to_.id, head.status < first_server_error);
            end.outcome = relay_outcome::answered;
            end.answer = to_caller(of_, std::move(head), std::move(body));
            co_return end;
        }
        if (kind == attempt_outcome::misdirected)
            note_misdirected(head);
        else
            of_.on.pool.mark_full(to_.id, std::chrono::steady_clock::now());
        log_attempt(of_, to_.id, kind, std::to_string(head.status));
        end.outcome = relay_outcome::rejected;
        co_return end;
    }

    void note_misdirected(const endpoints::answer_head& head)
    {
        const auto id = head.find(of_.on.dialect.headers.endpoint);
        if (!id.empty() && id != to_.id.str())
            of_.on.pool.mark_leaving(to_.id);
        else if (of_.request.prompt)
            of_.on.pool.mark_missing(to_.id, of_.request.prompt->model,
                of_.request.prompt->adapter, std::chrono::steady_clock::now());
    }

    void end_watch()
    {
        watched_.reset();
        watchdog_.cancel();
    }

    // Nothing closes the connection from outside any more.
    void detach()
    {
        of_.out.on_caller_gone(nullptr);
        end_watch();
    }

    void keep(endpoints::http_connection& connection)
    {
        // The caller may leave while the end of its stream is written.
        detach();
        if (connection.reusable())
            of_.on.connections.put(to_.address, std::move(connection),
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
                first ? first_event_limit(of_) : pause_limit());
            if (!part)
                co_return failed(part.error());
            if (part->empty())
                break;
            framer.feed(*part);
            auto events = take_events(framer);
            if (!events)
                co_return failed(events.error());
            if (events->empty())
                continue;
            if (first)
                note_first_event();
            else
                of_.on.pool.note_progress(
                    to_.id, std::chrono::steady_clock::now());
            first = false;
            const bool written = co_await deliver(head, std::move(*events));
            if (!written)
                co_return gone();
        }
        if (framer.partial())
            co_return failed(error(error_code::incomplete_answer,
                "the stream ended in the middle of an event",
                execution_state::unknown));
        keep(connection);
        of_.on.pool.record_answer(to_.id, true);
        if (of_.request.prompt)
            of_.on.pool.note_stream_end(held_.held(), of_.service->id,
                of_.request.prompt->model, std::chrono::steady_clock::now());
        if (!state_.begun)
        {
            const auto begun = co_await of_.out.begin_stream(head);
            if (!begun)
                co_return gone();
        }
        const auto ended = co_await of_.out.end_stream();
        if (!ended)
            co_return gone();
        co_return relay_end{relay_outcome::complete, {}};
    }

    static relay_end gone() { return {relay_outcome::caller_gone, {}}; }

    void note_first_event()
    {
        end_watch();
        if (of_.request.prompt)
            of_.on.pool.note_first_event(held_.held(), of_.service->id,
                of_.request.prompt->model, std::chrono::steady_clock::now());
    }

    // Whole events that continue the stream, joined.
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
                    "an event of the stream is missing or repeated",
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
            const auto begun = co_await of_.out.begin_stream(head);
            if (!begun)
                co_return false;
        }
        const auto written = co_await of_.out.write_stream(std::move(events));
        co_return written.has_value();
    }

    call& of_;
    stream_state& state_;
    const dispatch::endpoint_choice to_;
    ticket_guard held_;
    asio::steady_timer watchdog_;
    /// Reset when the connection needs no watch any more.
    std::shared_ptr<int> watched_ = std::make_shared<int>(0);
};

} // namespace

time_point first_event_limit(const call& of)
{
    return std::min(of.deadline, of.request.arrived_at + patience(*of.route));
}

bool may_move(const call& of)
{
    return of.route->repeat == routes::repeat_rule::resumable &&
           of.sends < of.route->max_attempts;
}

asio::awaitable<relay_end> relay_stream(
    call& of, stream_state& state, dispatch::endpoint_choice to)
{
    relay one(of, state, to);
    co_return co_await one.run();
}

} // namespace tarragonquay::gateway
