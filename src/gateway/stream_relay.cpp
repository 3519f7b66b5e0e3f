#include "gateway/stream_relay.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>

#include "gateway/endpoint_signals.hpp"
#include "gateway/event_framer.hpp"
#include "gateway/prompt_guard.hpp"
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
/// Shortest time from the send to the check whether the endpoint has lost the
/// request.
constexpr milliseconds check_delay{200};
/// After this multiple of the route's longest pause without an event, another
/// endpoint is looked for.
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

milliseconds silence_timeout(const routes::route& route)
{
    return std::max(min_silence_timeout,
        milliseconds(silence_timeout_in_pauses * route.max_event_gap_ms));
}

/// Relays a stream from one endpoint to the caller.
class relay
{
public:
    relay(call& call, stream_state& state, const dispatch::endpoint_choice& to)
        : call_(call),
          state_(state),
          to_(to),
          ticket_(make_ticket(call, to)),
          takeover_(call, state, to.id, silence_timeout(*call.route),
              [this] { close_connection(); })
    {
    }

    // Relays a stream that the endpoint has begun.
    relay(call& call, stream_state& state, begun_stream from)
        : call_(call),
          state_(state),
          to_(std::move(from.from)),
          ticket_(std::move(from.ticket)),
          connection_(std::move(from.connection)),
          head_(std::move(from.head)),
          send_(from.send),
          takeover_(call, state, to_.id, silence_timeout(*call.route),
              [this] { close_connection(); })
    {
    }

    asio::awaitable<relay_end> run()
    {
        call_.endpoint = to_.id;
        auto end = co_await run_attempt();
        end.endpoint = to_.id;
        if (end.outcome != relay_outcome::complete)
            end.continuation = co_await takeover_.outcome();
        cancel_close_handlers();
        if (call_.out.caller_gone() && end.outcome != relay_outcome::complete)
        {
            end.outcome = relay_outcome::caller_gone;
            end.continuation.reset();
        }
        if (end.continuation)
            log_moved(end.continuation->from.id);
        co_return end;
    }

private:
    asio::awaitable<relay_end> run_attempt()
    {
        call_.out.on_caller_gone(
            [this]
            {
                close_connection();
                takeover_.close();
            });
        end_when_interrupted();
        withdraw_when_refused();
        if (withdrawn_ || call_.ctx.interrupted)
            co_return make_withdrawn();
        if (connection_)
        {
            watch_first_event();
            co_return co_await relay_events(std::move(head_));
        }
        auto connection = co_await connect(call_, to_, call_.deadline);
        if (!connection)
            co_return handle_failure(connection.error());
        if (withdrawn_ || call_.ctx.interrupted || !may_use(call_, to_))
            co_return make_withdrawn();
        if (call_.out.caller_gone())
            co_return make_caller_gone();
        connection_.emplace(std::move(*connection));
        co_return co_await exchange();
    }

    void end_when_interrupted()
    {
        interruption_ = call_.ctx.interruption.subscribe(
            [this]
            {
                close_connection();
                takeover_.close();
            });
    }

    // Takes the request, which waits for its first event, back when it turns
    // out to hold a part that crashes engines.
    void withdraw_when_refused()
    {
        if (!call_.request.prompt || state_.begun)
            return;
        const auto withdraw_if_refused = [this]
        {
            if (call_.ctx.evidence.judge(
                    *call_.request.prompt, std::chrono::steady_clock::now()) !=
                dispatch::prompt_verdict::refused)
                return;
            withdrawn_ = true;
            close_connection();
            takeover_.close();
        };
        verdict_changes_ =
            call_.ctx.evidence_changed.subscribe(withdraw_if_refused);
        // The verdict may have changed while an engine was chosen.
        withdraw_if_refused();
    }

    // Ends an attempt that was withdrawn before the request was sent, or that
    // continues the answer of another one.
    relay_end make_withdrawn()
    {
        relay_end end;
        end.outcome =
            connection_ ? relay_outcome::broken : relay_outcome::not_connected;
        return end;
    }

    // Whether the endpoint broke the connection before the answer was
    // established.
    bool is_lost(const error& cause) const
    {
        return !established_ && !withdrawn_ && !call_.ctx.interrupted &&
               is_broken_by_endpoint(cause);
    }

    void close_connection()
    {
        if (connection_)
            connection_->close();
    }

    std::int64_t silent_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - silent_since_)
            .count();
    }

    void log_moved(const endpoint_id& next) const
    {
        call_.ctx.log.info("stream_moved",
            {{"request_id", call_.request.id}, {"from", to_.id.str()},
                {"to", next.str()}, {"silent_ms", silent_ms()}});
    }

    // Ends the attempt because another endpoint has begun the stream.
    relay_end leave_silent_endpoint()
    {
        call_.ctx.pool.record_failure(to_.id, std::chrono::steady_clock::now());
        log_attempt(call_, to_.id, attempt_outcome::unknown,
            "silent for " + std::to_string(silent_ms()) +
                " ms; another endpoint continues the stream",
            send_);
        relay_end end;
        end.outcome = relay_outcome::moved;
        return end;
    }

    relay_end handle_failure(const error& cause)
    {
        if (takeover_.accepted())
            return leave_silent_endpoint();
        relay_end end;
        end.outcome = cause.execution() == execution_state::not_run
                          ? relay_outcome::not_connected
                          : relay_outcome::broken;
        if (is_lost(cause))
            call_.lost_sends.push_back({to_, ticket_->ticket().started_unix_ms,
                std::chrono::steady_clock::now()});
        if (call_.out.caller_gone())
            end.outcome = relay_outcome::caller_gone;
        else if (!withdrawn_ && !call_.ctx.interrupted)
            call_.ctx.pool.record_failure(
                to_.id, std::chrono::steady_clock::now());
        log_attempt(call_, to_.id,
            end.outcome == relay_outcome::not_connected
                ? attempt_outcome::not_connected
            : end.outcome == relay_outcome::caller_gone
                ? attempt_outcome::caller_gone
                : attempt_outcome::unknown,
            cause.message(), send_);
        return end;
    }

    // Time of the first check whether the endpoint has lost the request.
    time_point first_check_at() const
    {
        return to_.expected_at +
               std::max(min_first_event_grace,
                   milliseconds(call_.route->target_latency_ms));
    }

    // Another endpoint is looked for when this one has probably lost the
    // request: it serves other requests but not this one, or serves none at
    // all.
    void watch_first_event()
    {
        const auto now = std::chrono::steady_clock::now();
        if (state_.begun)
        {
            watch_silence(std::max(to_.expected_at, now));
            return;
        }
        silent_since_ = now;
        if (call_.route->repeat == routes::repeat_rule::resumable)
            takeover_.search_at(std::max(first_check_at(), now + check_delay),
                [this] {
                    return call_.ctx.pool.lost_request(
                        to_.id, ticket_->ticket().sent_at);
                });
    }

    // Another endpoint is looked for when no event arrives from now on.
    void watch_silence(time_point from)
    {
        silent_since_ = from;
        if (call_.route->repeat == routes::repeat_rule::resumable)
            takeover_.search_at(from + silence_timeout(*call_.route));
    }

    asio::awaitable<relay_end> exchange()
    {
        auto& connection = *connection_;
        count_send(call_, to_.id);
        send_ = call_.sends;
        const auto request = make_stream_exchange(
            call_, state_, to_, next_endpoint_deadline(call_, state_));
        watch_first_event();
        auto head = co_await connection.send(request);
        if (!head)
            co_return handle_failure(head.error());
        note_answer_head(call_.ctx, {to_.id, to_.started_unix_ms}, *head);
        const auto kind = classify_head(call_, *head);
        if (kind == attempt_outcome::answered && head->status == status_ok)
            co_return co_await relay_events(std::move(*head));
        co_return co_await read_whole_answer(kind, std::move(*head));
    }

    // Reads a complete answer that is not a stream.
    asio::awaitable<relay_end> read_whole_answer(
        attempt_outcome kind, endpoints::answer_head head)
    {
        auto body = co_await collect_body(call_, *connection_, call_.deadline);
        if (!body)
            co_return handle_failure(body.error());
        if (kind == attempt_outcome::unknown)
            co_return handle_failure(error(error_code::wrong_answer,
                "the answer was not made by the endpoint",
                execution_state::unknown));
        if (may_keep_connection(call_, kind, head))
            return_to_pool();
        else
            connection_.reset();
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
        note_rejection(call_, to_, kind, head);
        log_attempt(call_, to_.id, kind, std::to_string(head.status), send_);
        end.outcome = relay_outcome::rejected;
        co_return end;
    }

    // From here on, a leaving caller closes no connection.
    void cancel_close_handlers()
    {
        call_.out.on_caller_gone(nullptr);
        verdict_changes_ = {};
        interruption_ = {};
        takeover_.close();
    }

    // A caller that leaves while the end of its stream is written must not
    // close the pooled connection.
    void return_to_pool()
    {
        if (connection_->reusable())
            call_.ctx.connections.put(to_.address, std::move(*connection_),
                std::chrono::steady_clock::now());
        connection_.reset();
    }

    asio::awaitable<relay_end> relay_events(endpoints::answer_head head)
    {
        event_framer framer;
        collected_bytes event_bytes(call_.ctx.collected_answer_bytes);
        bool first = true;
        while (true)
        {
            auto part = co_await connection_->read_some(
                first ? next_endpoint_deadline(call_, state_) : call_.deadline);
            // Events that arrived meanwhile are requested from the other
            // endpoint.
            if (takeover_.accepted())
                co_return leave_silent_endpoint();
            if (!part)
                co_return handle_failure(part.error());
            if (part->empty())
                break;
            framer.feed(*part);
            // Includes the events that are about to be delivered.
            if (auto held = event_bytes.resize(framer.pending_bytes()); !held)
                co_return handle_failure(held.error());
            auto events = take_events(framer);
            if (!events)
                co_return handle_failure(events.error());
            if (events->empty())
                continue;
            takeover_.stop();
            if (first)
                note_first_event();
            else
                note_progress();
            first = false;
            const bool written = co_await deliver(head, std::move(*events));
            if (!written)
                co_return make_caller_gone();
            event_bytes.resize(framer.pending_bytes());
            watch_silence(std::chrono::steady_clock::now());
        }
        if (framer.has_partial_event())
            co_return handle_failure(error(error_code::incomplete_answer,
                "the stream ended in the middle of an event",
                execution_state::unknown));
        takeover_.stop();
        note_established();
        return_to_pool();
        call_.ctx.pool.record_answer(to_.id, true);
        if (call_.request.prompt)
            call_.ctx.pool.note_stream_end(ticket_->ticket(), call_.service->id,
                call_.request.prompt->model,
                continued_ ? 0 : call_.request.prompt->output_tokens,
                std::chrono::steady_clock::now());
        if (!state_.begun)
        {
            const auto begun = co_await call_.out.begin_stream(head);
            if (!begun)
                co_return make_caller_gone();
        }
        const auto ended = co_await call_.out.end_stream();
        if (!ended)
            co_return make_caller_gone();
        relay_end end;
        end.outcome = relay_outcome::complete;
        co_return end;
    }

    static relay_end make_caller_gone()
    {
        relay_end end;
        end.outcome = relay_outcome::caller_gone;
        return end;
    }

    void note_first_event()
    {
        verdict_changes_ = {};
        const auto now = std::chrono::steady_clock::now();
        established_at_ = now + establishing_time;
        if (call_.request.prompt)
            call_.ctx.pool.note_first_event(ticket_->ticket(),
                call_.service->id, call_.request.prompt->model, now);
    }

    void note_progress()
    {
        const auto now = std::chrono::steady_clock::now();
        call_.ctx.pool.note_progress(to_.id, now);
        if (now >= established_at_)
            note_established();
    }

    void note_established()
    {
        if (!std::exchange(established_, true))
            note_prompt_established(call_);
    }

    // Returns the complete events in the framer, concatenated. Fails if their
    // ids do not continue the stream; then none of them counts as delivered.
    result<std::string> take_events(event_framer& framer)
    {
        std::string out;
        auto last = state_.last_event;
        while (true)
        {
            auto event = framer.pop();
            if (!event)
                return tl::unexpected<error>(event.error());
            if (!*event)
            {
                state_.last_event = last;
                return out;
            }
            const auto& id = (*event)->id;
            if (id && last && *id != *last + 1)
                return fail(error_code::wrong_answer,
                    "the stream skipped or repeated an event",
                    execution_state::unknown);
            if (id)
                last = id;
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
    std::unique_ptr<ticket_guard> ticket_;
    std::optional<endpoints::http_connection> connection_;
    endpoints::answer_head head_;
    /// Number of the send.
    int send_ = 0;
    time_point silent_since_ = std::chrono::steady_clock::now();
    /// Whether the endpoint sends only the rest of a stream.
    const bool continued_ = state_.last_event.has_value();
    /// An event from this time on shows that the stream is established.
    time_point established_at_ = time_point::max();
    /// Whether this endpoint has established the stream.
    bool established_ = false;
    /// Whether the request was taken back because its prompt is refused.
    bool withdrawn_ = false;
    change_signal::subscription interruption_;
    change_signal::subscription verdict_changes_;
    stream_takeover takeover_;
};

} // namespace

time_point first_event_deadline(const call& call)
{
    return std::min(
        call.deadline, call.request.arrived_at + caller_timeout(*call.route));
}

time_point next_endpoint_deadline(const call& call, const stream_state& state)
{
    return state.begun ? call.deadline : first_event_deadline(call);
}

asio::awaitable<relay_end> relay_stream(
    call& call, stream_state& state, dispatch::endpoint_choice to)
{
    auto current = std::make_unique<relay>(call, state, to);
    auto end = co_await current->run();
    while (end.continuation)
    {
        record_attempt(call, state, end.endpoint, end.outcome);
        call.may_have_run = true;
        co_await record_lost_sends(call);
        auto next =
            std::make_unique<relay>(call, state, std::move(*end.continuation));
        current = std::move(next);
        end = co_await current->run();
    }
    co_return end;
}

} // namespace tarragonquay::gateway
