#pragma once

#include <utility>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "common/clock.hpp"
#include "endpoints/http_exchange.hpp"
#include "remote_store/calls.hpp"
#include "store/types.hpp"

namespace tarragonquay::remote_store
{

/// Metrics record of one completed call to the store.
struct call_record
{
    /// Whether the call was a long poll for changes.
    bool is_feed = false;
    /// Error of the transport; no value when the store answered, with any
    /// status.
    std::optional<error_code> failure;
    duration elapsed{};

    auto operator<=>(const call_record&) const = default;
};

/// HTTP client of a table service. Models the concept store::table_store and
/// also provides change feeds. Not thread-safe; runs on the thread of its
/// io_context.
template <store_codec Codec>
class http_table_store
{
public:
    /// `address` is "ip:port". The context must outlive the store.
    http_table_store(boost::asio::io_context& context, std::string address)
        : context_(context), address_(std::move(address))
    {
    }

    void on_call_ended(std::function<void(const call_record&)> observer)
    {
        on_call_ended_ = std::move(observer);
    }

    /// Sets the observer of the era that an answer of the store tells, which is
    /// called before the answer is handled.
    void on_era(std::function<void(std::int64_t era)> observer)
    {
        on_era_ = std::move(observer);
    }
    /// Records that the store is known to be in this era. Later answers of an
    /// earlier one are dropped.
    void note_era(std::int64_t era) { era_ = std::max(era_, era); }

    void transact(std::vector<store::condition> conditions,
        std::vector<store::write> writes, time_point deadline,
        store::handler<store::transact_outcome> on_done)
    {
        spawn(Codec::transact(conditions, writes), false, deadline,
            [this, on_done = std::move(on_done)](const result<http_answer>& got)
            {
                on_done(decode(got, Codec::decode_transact,
                    error_code::store_outcome_unknown));
            });
    }

    void read(std::vector<std::string> keys, time_point deadline,
        store::handler<std::vector<store::row>> on_done)
    {
        boost::asio::co_spawn(context_,
            read_all(std::move(keys), deadline, std::move(on_done)),
            boost::asio::detached);
    }

    void scan(std::string prefix, std::string after, std::int32_t limit,
        time_point deadline, store::handler<store::scan_page> on_done)
    {
        // The smallest key after `after`.
        const auto from = after.empty() ? prefix : after + '\0';
        spawn(Codec::scan(from, prefix_end(prefix), limit), true, deadline,
            [this, on_done = std::move(on_done)](const result<http_answer>& got)
            {
                on_done(decode(
                    got, Codec::decode_scan, error_code::store_unavailable));
            });
    }

    /// Reads all rows of a table, page by page, in one era of the store.
    boost::asio::awaitable<result<table_changes>> read_table(
        std::string table, time_point deadline)
    {
        table_changes all;
        std::string from;
        while (true)
        {
            const auto got = co_await perform(
                Codec::read_table(table, from), true, deadline);
            auto page = decode_rows(got, error_code::store_unavailable);
            if (!page)
                co_return tl::unexpected<error>(page.error());
            // The pages that were read before belong to a lost version.
            if (!from.empty() && page->era != all.era)
            {
                all = {};
                from.clear();
                continue;
            }
            all.era = page->era;
            for (auto& each : page->rows)
                all.rows.push_back(std::move(each));
            // Keep the version of the first page: changes made while later
            // pages are read must still be followed.
            if (all.version == 0)
                all.version = page->version;
            if (!page->more || all.rows.empty())
                co_return all;
            auto next = all.rows.back().key + '\0';
            // Otherwise the same page would be collected until the deadline.
            if (next <= from)
                co_return fail(error_code::malformed_message,
                    "the store repeats a page of the table");
            from = std::move(next);
        }
    }

    /// Reads the changes of a table after a version. When there are none, the
    /// store holds its answer until `wait_until`. A feed uses a connection of
    /// its own, which the caller stores between calls.
    boost::asio::awaitable<result<table_changes>> follow_table(
        std::string table, std::int64_t after, time_point wait_until,
        std::optional<endpoints::http_connection>& connection)
    {
        /// Time that a slow store has to answer after the wait.
        constexpr std::chrono::milliseconds answer_timeout{1'500};
        const auto now = std::chrono::steady_clock::now();
        const auto wait_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                wait_until - now)
                .count();
        const auto deadline = wait_until + answer_timeout;
        if (!connection || !connection->is_idle())
        {
            auto opened = co_await endpoints::http_connection::open(
                address_, now + answer_timeout);
            if (!opened)
            {
                report_call_ended(true, opened, now);
                co_return tl::unexpected<error>(opened.error());
            }
            connection.emplace(std::move(*opened));
        }
        auto got = co_await round_trip(*connection,
            make_request(Codec::follow_table(table, after, wait_ms), deadline));
        report_call_ended(true, got, now);
        if (!got || !connection->reusable())
            connection.reset();
        co_return decode_rows(got, error_code::not_in_force);
    }

private:
    // Fails with the given code if the answer belongs to an earlier era than
    // the latest one, unless it tells only that the store is unavailable.
    template <class Decoder>
    auto decode(const result<http_answer>& got, Decoder decode_body,
        error_code outdated) -> decltype(decode_body(*got))
    {
        if (!got)
            return tl::unexpected<error>(got.error());
        const auto era = Codec::decode_era(got->era);
        if (!era)
            return tl::unexpected<error>(era.error());
        const bool current = *era >= era_;
        if (current)
        {
            era_ = *era;
            if (on_era_)
                on_era_(*era);
        }
        auto out = decode_body(*got);
        const bool unavailable =
            !out && out.error().code() == error_code::store_unavailable;
        if (current || unavailable)
            return out;
        return fail(outdated, "the answer is older than a restored store");
    }

    result<table_changes> decode_rows(
        const result<http_answer>& got, error_code outdated)
    {
        auto out = decode(got, Codec::decode_table, outdated);
        if (out)
            out->era = era_;
        return out;
    }

    template <class T>
    void report_call_ended(
        bool is_feed, const result<T>& got, time_point started_at) const
    {
        if (!on_call_ended_)
            return;
        call_record record;
        record.is_feed = is_feed;
        if (!got)
            record.failure = got.error().code();
        record.elapsed = std::chrono::steady_clock::now() - started_at;
        on_call_ended_(record);
    }

    endpoints::exchange_request make_request(
        http_request message, time_point deadline)
    {
        endpoints::exchange_request request;
        request.address = address_;
        request.method = std::move(message.method);
        request.target = std::move(message.target);
        request.body = std::move(message.body);
        if (!request.body.empty())
            request.headers.push_back({"Content-Type", "application/json"});
        request.deadline = deadline;
        return request;
    }

    boost::asio::awaitable<result<http_answer>> round_trip(
        endpoints::http_connection& connection,
        endpoints::exchange_request request)
    {
        const auto head = co_await connection.send(request);
        if (!head)
            co_return tl::unexpected<error>(head.error());
        http_answer out{head->status, {}, head->find(Codec::era_header)};
        while (true)
        {
            const auto part = co_await connection.read_some(request.deadline);
            if (!part)
                co_return tl::unexpected<error>(part.error());
            if (part->empty())
                co_return out;
            out.body += *part;
        }
    }

    boost::asio::awaitable<result<http_answer>> perform(
        http_request message, bool idempotent, time_point deadline)
    {
        const auto started_at = std::chrono::steady_clock::now();
        auto request = make_request(std::move(message), deadline);
        request.idempotent = idempotent;
        const auto got =
            co_await endpoints::exchange(pool_, std::move(request));
        report_call_ended(false, got, started_at);
        if (got)
            co_return http_answer{
                got->head.status, got->body, got->head.find(Codec::era_header)};
        const bool had_no_effect =
            got.error().execution() == execution_state::not_run || idempotent;
        co_return fail(had_no_effect ? error_code::store_unavailable
                                     : error_code::store_outcome_unknown,
            got.error().message(), got.error().execution());
    }

    template <class Handler>
    void spawn(http_request message, bool idempotent, time_point deadline,
        Handler on_done)
    {
        boost::asio::co_spawn(context_,
            run(std::move(message), idempotent, deadline, std::move(on_done)),
            boost::asio::detached);
    }

    template <class Handler>
    boost::asio::awaitable<void> run(http_request message, bool idempotent,
        time_point deadline, Handler on_done)
    {
        // Copied, because the linter warns about a moved coroutine parameter.
        auto got = co_await perform(message, idempotent, deadline);
        on_done(std::move(got));
    }

    boost::asio::awaitable<void> read_all(std::vector<std::string> keys,
        time_point deadline, store::handler<std::vector<store::row>> on_done)
    {
        std::vector<store::row> out;
        for (const auto& key : keys)
        {
            const auto got = co_await perform(
                Codec::scan(key, key + '\0', 1), true, deadline);
            auto page =
                decode(got, Codec::decode_scan, error_code::store_unavailable);
            if (!page)
            {
                on_done(tl::unexpected<error>(page.error()));
                co_return;
            }
            for (auto& row : page->rows)
                out.push_back(std::move(row));
        }
        on_done(std::move(out));
    }

    // Smallest string that is greater than all strings with the prefix.
    static std::string prefix_end(std::string prefix)
    {
        if (!prefix.empty())
            ++prefix.back();
        return prefix;
    }

    boost::asio::io_context& context_;
    const std::string address_;
    endpoints::connection_pool pool_;
    std::function<void(const call_record&)> on_call_ended_;
    std::function<void(std::int64_t)> on_era_;
    /// Highest era that is known.
    std::int64_t era_ = 0;
};

} // namespace tarragonquay::remote_store
