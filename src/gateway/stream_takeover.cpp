#include "gateway/stream_takeover.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/endpoint_signals.hpp"
#include "gateway/prompt_guard.hpp"
#include "gateway/stream_relay.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// Interval of the checks of a condition.
constexpr milliseconds check_interval{200};
constexpr int status_ok = 200;
constexpr int first_server_error = 500;

} // namespace

// Once the phase is `closed`, the call may be destroyed and is not used.
class stream_takeover::search
{
public:
    search(call& call, stream_state& state, endpoint_id current,
        milliseconds retry_interval, std::function<void()> on_accepted)
        : call_(call),
          state_(state),
          current_(std::move(current)),
          retry_interval_(retry_interval),
          on_accepted_(std::move(on_accepted)),
          wake_(call.ctx.io),
          settled_(call.ctx.io, time_point::max())
    {
    }

    static void begin(const std::shared_ptr<search>& self)
    {
        self->running_ = true;
        asio::co_spawn(self->call_.ctx.io, run(self),
            [self](const std::exception_ptr& failure)
            {
                if (failure)
                    self->close();
            });
    }

    bool running() const { return running_; }

    void search_at(time_point due, std::function<bool()> condition)
    {
        due_at_ = due;
        condition_ = std::move(condition);
        if (due < wake_.expiry())
            wake_.cancel();
    }

    void stop()
    {
        due_at_.reset();
        if (phase_ != phase::asking)
            return;
        if (connection_)
        {
            log_attempt(call_, asked_->id, attempt_outcome::unknown,
                "withdrawn, since the other endpoint continues the stream",
                send_);
            note_tried(relay_outcome::broken);
            connection_->close();
        }
        settle(phase::withdrawn);
    }

    void close()
    {
        if (phase_ == phase::asking && connection_)
            connection_->close();
        taken_.reset();
        settle(phase::closed);
        wake_.cancel();
    }

    bool accepted() const { return phase_ == phase::accepted; }

    static asio::awaitable<std::optional<begun_stream>> outcome(
        std::shared_ptr<search> self)
    {
        while (self->phase_ == phase::asking)
        {
            boost::system::error_code ignored;
            co_await self->settled_.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return std::exchange(self->taken_, std::nullopt);
    }

private:
    enum class phase
    {
        /// Waits for the time of the next search.
        waiting,
        asking,
        /// The request was withdrawn; the coroutine has not noticed it yet.
        withdrawn,
        accepted,
        closed
    };

    bool ended() const
    {
        return phase_ == phase::accepted || phase_ == phase::closed;
    }

    static asio::awaitable<void> run(std::shared_ptr<search> self)
    {
        while (!self->ended())
        {
            const auto now = std::chrono::steady_clock::now();
            if (!self->due_at_ || now < *self->due_at_)
            {
                self->wake_.expires_at(
                    self->due_at_.value_or(time_point::max()));
                boost::system::error_code ignored;
                co_await self->wake_.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
                continue;
            }
            if (self->condition_ && !self->condition_())
            {
                self->due_at_ = now + check_interval;
                continue;
            }
            self->due_at_ = now + self->retry_interval_;
            auto to = self->choose(now);
            if (!to)
                continue;
            self->ask_from(std::move(*to), now);
            co_await self->ask();
            if (self->ended())
                co_return;
            self->connection_.reset();
            // After a withdrawal, the time of the next search is already set.
            if (self->phase_ != phase::withdrawn)
                self->due_at_ =
                    std::chrono::steady_clock::now() + self->retry_interval_;
            self->phase_ = phase::waiting;
        }
    }

    std::optional<dispatch::endpoint_choice> choose(time_point now)
    {
        if (!may_send_elsewhere(call_, now))
            return std::nullopt;
        auto to = choose_next(call_, state_, {current_}, now);
        // The connection alone may have gone silent.
        if (!to && state_.begun && !current_asked_ &&
            !call_.tried.contains(current_))
            to = choose_again(call_, current_, now);
        if (!to || !take_repeat(call_))
            return std::nullopt;
        return *to;
    }

    void ask_from(dispatch::endpoint_choice to, time_point now)
    {
        phase_ = phase::asking;
        ticket_ = make_ticket(call_, to);
        deadline_ = next_endpoint_deadline(call_, state_);
        // Another endpoint could be asked when this one does not answer.
        if (call_.sends - call_.sends_to_known + 1 < call_.route->max_attempts)
            deadline_ = std::min(
                deadline_, std::max(now, to.expected_at) + retry_interval_);
        current_asked_ = current_asked_ || to.id == current_;
        asked_ = std::move(to);
    }

    // Sends the request and waits for the head of the answer.
    asio::awaitable<void> ask()
    {
        auto connection = co_await connect(call_, *asked_, deadline_);
        if (phase_ != phase::asking)
            co_return;
        if (!connection)
        {
            fail(attempt_outcome::not_connected, connection.error().message());
            co_return;
        }
        if (!may_use(call_, *asked_))
        {
            note_tried(relay_outcome::not_connected);
            settle(phase::waiting);
            co_return;
        }
        connection_.emplace(std::move(*connection));
        count_send(call_, asked_->id);
        if (asked_->id == current_)
            ++call_.sends_to_known;
        send_ = call_.sends;
        const auto request =
            make_stream_exchange(call_, state_, *asked_, deadline_);
        auto head = co_await connection_->send(request);
        if (phase_ != phase::asking)
            co_return;
        if (!head)
        {
            if (is_broken_by_endpoint(head.error()))
                call_.lost_sends.push_back(
                    {*asked_, ticket_->ticket().started_unix_ms,
                        std::chrono::steady_clock::now()});
            fail(attempt_outcome::unknown, head.error().message());
            co_return;
        }
        handle_head(std::move(*head));
    }

    void handle_head(endpoints::answer_head head)
    {
        note_answer_head(
            call_.ctx, {asked_->id, asked_->started_unix_ms}, head);
        const auto kind = classify_head(call_, head);
        if (kind == attempt_outcome::answered && head.status == status_ok)
        {
            accept(std::move(head));
            return;
        }
        const auto status = std::to_string(head.status);
        if (kind == attempt_outcome::unknown)
        {
            fail(kind, "the answer was not made by the endpoint");
            return;
        }
        if (kind == attempt_outcome::answered)
            call_.ctx.pool.record_answer(
                asked_->id, head.status < first_server_error);
        else
            note_rejection(call_, *asked_, kind, head);
        log_attempt(call_, asked_->id, kind, status, send_);
        note_tried(kind == attempt_outcome::answered ? relay_outcome::answered
                                                     : relay_outcome::rejected);
        settle(phase::waiting);
    }

    void accept(endpoints::answer_head head)
    {
        begun_stream taken{*asked_, std::move(ticket_), std::move(*connection_),
            std::move(head), send_};
        taken_.emplace(std::move(taken));
        connection_.reset();
        settle(phase::accepted);
        on_accepted_();
    }

    void fail(attempt_outcome outcome, const std::string& detail)
    {
        call_.ctx.pool.record_failure(
            asked_->id, std::chrono::steady_clock::now());
        log_attempt(call_, asked_->id, outcome, detail, send_);
        note_tried(outcome == attempt_outcome::not_connected
                       ? relay_outcome::not_connected
                       : relay_outcome::broken);
        settle(phase::waiting);
    }

    void note_tried(relay_outcome outcome)
    {
        // The relay records the attempt at the current endpoint.
        if (asked_->id != current_)
            record_attempt(call_, state_, asked_->id, outcome);
        call_.may_have_run = call_.may_have_run ||
                             outcome == relay_outcome::broken ||
                             outcome == relay_outcome::answered;
    }

    void settle(phase next)
    {
        phase_ = next;
        ticket_.reset();
        settled_.cancel();
    }

    call& call_;
    stream_state& state_;
    const endpoint_id current_;
    const milliseconds retry_interval_;
    const std::function<void()> on_accepted_;
    bool running_ = false;
    bool current_asked_ = false;
    phase phase_ = phase::waiting;
    /// Time of the next search; no value while there is none to begin.
    std::optional<time_point> due_at_;
    std::function<bool()> condition_;
    asio::steady_timer wake_;
    /// Cancelled when the phase `asking` ends.
    asio::steady_timer settled_;
    /// The endpoint that is asked, and the deadline for its answer.
    std::optional<dispatch::endpoint_choice> asked_;
    time_point deadline_;
    std::unique_ptr<ticket_guard> ticket_;
    /// Has a value from the send on.
    std::optional<endpoints::http_connection> connection_;
    int send_ = 0;
    std::optional<begun_stream> taken_;
};

stream_takeover::stream_takeover(call& call, stream_state& state,
    endpoint_id current, milliseconds retry_interval,
    std::function<void()> on_accepted)
    : search_(std::make_shared<search>(call, state, std::move(current),
          retry_interval, std::move(on_accepted)))
{
}

stream_takeover::~stream_takeover()
{
    search_->close();
}

void stream_takeover::search_at(time_point due, std::function<bool()> condition)
{
    search_->search_at(due, std::move(condition));
    if (!search_->running())
        search::begin(search_);
}

void stream_takeover::stop()
{
    search_->stop();
}

void stream_takeover::close()
{
    search_->close();
}

bool stream_takeover::accepted() const
{
    return search_->accepted();
}

asio::awaitable<std::optional<begun_stream>> stream_takeover::outcome()
{
    return search::outcome(search_);
}

} // namespace tarragonquay::gateway
