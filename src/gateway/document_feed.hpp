#pragma once

#include <utility>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/context.hpp"
#include "gateway/documents.hpp"
#include "gateway/feed_schedule.hpp"

namespace tarragonquay::gateway
{

/// Follows a table of the store: reads the full table, then waits for its
/// changes. After a failure it continues from the last version received. How
/// long a call waits follows from the calls of the other instances; one that
/// follows an unanswered call does not wait.
template <class Store>
class document_feed
{
public:
    using rows_handler =
        std::function<void(const remote_store::table_changes&, time_point)>;

    /// Wait after the first failed call; each further failure doubles it.
    static constexpr std::chrono::milliseconds initial_backoff{100};
    static constexpr std::chrono::milliseconds max_backoff{1'000};
    static constexpr std::chrono::milliseconds read_timeout{1'500};
    /// Interval at which a false condition is checked again.
    static constexpr std::chrono::milliseconds condition_interval{250};

    document_feed(context& ctx, Store& store, std::string table)
        : ctx_(ctx),
          store_(store),
          table_(std::move(table)),
          schedule_(ctx.roster.self().id)
    {
    }

    void on_table(rows_handler handler) { on_table_ = std::move(handler); }
    void on_changes(rows_handler handler) { on_changes_ = std::move(handler); }
    /// Sets the handler of each answer of the store, which is called before the
    /// rows of the answer are handled.
    void on_answer(std::function<void(time_point now)> handler)
    {
        on_answer_ = std::move(handler);
    }
    /// Sets the handler of the first answer after failed calls.
    void on_recovery(
        std::function<void(time_point failing_since, time_point now)> handler)
    {
        on_recovery_ = std::move(handler);
    }
    /// Whether the latest call failed.
    bool failing() const { return failing_; }
    /// Whether the store has answered the latest call that ended. A feed that
    /// begins or begins again does not work before its first answer.
    bool working() const { return table_read_ && answered_; }
    /// When the current call ends, if the store reports no change before.
    std::optional<time_point> call_ends_at() const { return call_ends_at_; }
    /// Records when the current call of another instance ends; no value when it
    /// has none.
    void note_peer(
        const instance_id& peer, const std::optional<time_point>& ends_at)
    {
        if (ends_at)
            schedule_.put(peer, *ends_at, std::chrono::steady_clock::now());
        else
            schedule_.erase(peer);
    }
    /// Makes no calls while the condition is false.
    void only_while(std::function<bool()> condition)
    {
        only_while_ = std::move(condition);
    }
    /// Sets a pause after each answer with changes, so that changes in quick
    /// succession take one call.
    void set_pause(std::chrono::milliseconds pause) { pause_ = pause; }
    /// Records that the store is known to be in this era. The table of an
    /// earlier one is read in full again. This is no failure of the store.
    void note_era(std::int64_t era)
    {
        era_ = std::max(era_, era);
        if (!table_read_ || version_.era >= era_)
            return;
        table_read_ = false;
        restart();
    }
    /// Skips changes up to this version, which were received from another
    /// source.
    void advance_to(const store::store_version& version)
    {
        version_ = std::max(version_, version);
    }
    /// Ends the current call and begins a new one over a new connection. This
    /// is no failure of the store.
    void restart()
    {
        if (!connection_)
            return;
        restarted_ = call_ends_at_.has_value();
        connection_->close();
    }
    /// Ends a call that was planned among the calls of others which are gone.
    void tick(time_point now)
    {
        if (call_ends_at_ && schedule_.ends_too_late(*call_ends_at_, now))
            restart();
    }

    boost::asio::awaitable<void> run()
    {
        while (!ctx_.stopping)
        {
            if (only_while_ && !only_while_())
            {
                answered_ = false;
                co_await pause_for(condition_interval);
                continue;
            }
            if (!table_read_)
                co_await read_full_table();
            else
                co_await follow();
            if (failing_)
                co_await back_off();
        }
    }

private:
    boost::asio::awaitable<void> read_full_table()
    {
        auto rows = co_await store_.read_table(
            table_, std::chrono::steady_clock::now() + read_timeout);
        if (rows && rows->era < era_)
            rows = fail(error_code::store_unavailable,
                "the table is older than a restored store");
        note(rows ? nullptr : &rows.error());
        if (!rows)
            co_return;
        table_read_ = true;
        era_ = rows->era;
        version_ = rows->at();
        after_changes_ = true;
        on_table_(*rows, std::chrono::steady_clock::now());
    }

    boost::asio::awaitable<void> follow()
    {
        const auto ends_at = next_call_end();
        call_ends_at_ = ends_at;
        auto changes = co_await store_.follow_table(
            table_, version_.version, ends_at, connection_);
        call_ends_at_.reset();
        if (std::exchange(restarted_, false) && !changes)
        {
            connection_.reset();
            answered_ = false;
            co_return;
        }
        if (!changes && changes.error().code() == error_code::not_in_force)
        {
            ctx_.log.info(
                "feed_history_gone", {{"table", table_}, {"era", version_.era},
                                         {"version", version_.version}});
            table_read_ = false;
            co_return;
        }
        note(changes ? nullptr : &changes.error());
        if (!changes)
            co_return;
        // Changes of another era do not follow the version that was asked for.
        if (changes->era != version_.era)
        {
            era_ = std::max(era_, changes->era);
            table_read_ = version_.era >= era_;
            co_return;
        }
        version_ = std::max(version_, changes->at());
        if (changes->rows.empty())
            co_return;
        after_changes_ = true;
        on_changes_(*changes, std::chrono::steady_clock::now());
        if (pause_.count() > 0)
            co_await pause_for(pause_);
    }

    // A call that follows an unanswered one does not wait for changes: it may
    // be sent while the store is still silent, and is never answered then.
    time_point next_call_end()
    {
        const auto now = std::chrono::steady_clock::now();
        if (!answered_)
            return now;
        return schedule_.next_end(now,
            std::chrono::milliseconds(ctx_.settings.feed_wait_ms),
            std::exchange(after_changes_, false));
    }

    void note(const error* failure)
    {
        const auto now = std::chrono::steady_clock::now();
        answered_ = failure == nullptr;
        if (failure != nullptr)
        {
            connection_.reset();
            if (!std::exchange(failing_, true))
            {
                failing_since_ = now;
                ctx_.log.warning("store_lost",
                    {{"table", table_}, {"reason", failure->message()},
                        {"version", version_.version}});
            }
            return;
        }
        backoff_ = initial_backoff;
        if (on_answer_)
            on_answer_(now);
        if (!std::exchange(failing_, false))
            return;
        ctx_.log.info("store_regained",
            {{"table", table_},
                {"after_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - failing_since_)
                        .count()}});
        if (on_recovery_)
            on_recovery_(failing_since_, now);
    }

    boost::asio::awaitable<void> back_off()
    {
        // Jitter spreads the calls of many gateways after an outage.
        const auto ms = std::uniform_int_distribution<std::int64_t>(
            backoff_.count() / 2, backoff_.count())(ctx_.random);
        backoff_ = std::min(backoff_ * 2, max_backoff);
        co_await pause_for(std::chrono::milliseconds(ms));
    }

    boost::asio::awaitable<void> pause_for(std::chrono::milliseconds time)
    {
        boost::asio::steady_timer pause(ctx_.io, time);
        boost::system::error_code ignored;
        co_await pause.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    context& ctx_;
    Store& store_;
    const std::string table_;
    rows_handler on_table_;
    rows_handler on_changes_;
    std::function<void(time_point)> on_answer_;
    std::function<void(time_point, time_point)> on_recovery_;
    std::function<bool()> only_while_;
    std::chrono::milliseconds pause_{0};
    std::optional<endpoints::http_connection> connection_;
    feed_schedule schedule_;
    std::optional<time_point> call_ends_at_;
    /// Whether the last call returned changes, which ended the calls of the
    /// other instances, too.
    bool after_changes_ = false;
    /// Whether the current call is ended by restart().
    bool restarted_ = false;
    store::store_version version_;
    /// Latest known era of the store.
    std::int64_t era_ = 0;
    bool table_read_ = false;
    /// Whether the store has answered the last call.
    bool answered_ = false;
    bool failing_ = false;
    time_point failing_since_{};
    std::chrono::milliseconds backoff_ = initial_backoff;
};

} // namespace tarragonquay::gateway
