#pragma once

#include <algorithm>
#include <memory>
#include <utility>

#include "orders/order_types.hpp"
#include "records.pb.h"
#include "store/client.hpp"

namespace tarragonquay::orders
{

/// Exponential backoff before the next call to the store; `failures` is the
/// number of earlier failures.
inline duration order_retry_delay(int failures)
{
    constexpr std::chrono::milliseconds first_delay{50};
    constexpr std::chrono::seconds max_delay{5};
    constexpr int max_doublings = 10;
    return std::min<duration>(
        first_delay * (1U << std::min(failures, max_doublings)), max_delay);
}

inline tl::unexpected<error> malformed_order()
{
    return fail(error_code::malformed_message,
        "the row of the order can't be read", execution_state::unknown);
}

/// Records the outcomes of dispatches. Thread-safe if the store and the
/// environment are.
template <store::table_store Store>
class outcome_writer
{
public:
    using done_handler = std::function<void(result<void>)>;

    /// Bodies larger than this, in bytes, are kept in the object store.
    static constexpr std::size_t row_body_limit = 64UL << 10U;
    /// With the retry delays, writing an outcome is retried for about an hour.
    static constexpr int max_background_attempts = 720;
    static constexpr std::chrono::seconds store_call_limit{2};

    outcome_writer(Store& store, const order_environment& environment)
        : store_(store), environment_(environment)
    {
    }

    /// Stores the endpoint's answer. The handler is called with the result of
    /// the first attempt; if that fails, retries continue in the background.
    void complete(
        dispatch_permit permit, order_answer answer, done_handler handler)
    {
        auto change =
            make_change(std::move(permit), records::Order_record::COMPLETED);
        change->record.set_status(answer.status);
        change->record.set_content_type(answer.content_type);
        change->handler = std::move(handler);
        if (answer.body.size() <= row_body_limit)
        {
            change->record.set_body(std::move(answer.body));
            return store_change(std::move(change));
        }
        change->record.set_body_object("orders/" + change->permit.attempt_id);
        change->body = std::move(answer.body);
        store_body(std::move(change));
    }

    /// Records an outcome without an answer.
    void mark(dispatch_permit permit, records::Order_record::State state,
        done_handler handler)
    {
        auto change = make_change(std::move(permit), state);
        change->handler = std::move(handler);
        store_change(std::move(change));
    }

private:
    struct outcome_change
    {
        dispatch_permit permit;
        records::Order_record record;
        std::int64_t expected_version = 0;
        std::string body;
        int failures = 0;
        done_handler handler;
    };
    using change_ptr = std::shared_ptr<outcome_change>;

    static change_ptr make_change(
        dispatch_permit permit, records::Order_record::State state)
    {
        auto change = std::make_shared<outcome_change>();
        change->record.ParseFromString(permit.record);
        change->record.set_state(state);
        change->expected_version = permit.version;
        change->permit = std::move(permit);
        return change;
    }

    void store_body(change_ptr change)
    {
        environment_.put_object(change->record.body_object(), change->body,
            [this, change](result<void> stored)
            {
                if (stored)
                    return store_change(change);
                change_failed(change, stored.error(),
                    [this, change] { store_body(change); });
            });
    }

    void store_change(change_ptr change)
    {
        store_.transact({{change->permit.row_key, change->expected_version}},
            {{change->permit.row_key, change->record.SerializeAsString()}},
            environment_.now() + store_call_limit,
            [this, change](result<store::transact_outcome> outcome)
            {
                if (outcome && outcome->applied)
                    return finish(change, {});
                if (outcome)
                    return read_conflicting_row(change);
                change_failed(change, outcome.error(),
                    [this, change] { store_change(change); });
            });
    }

    // The row does not have the expected version: an earlier write of this
    // change took effect, the write that created the attempt arrived late, or
    // another writer changed the row.
    void read_conflicting_row(change_ptr change)
    {
        store_.read({change->permit.row_key},
            environment_.now() + store_call_limit,
            [this, change](result<std::vector<store::row>> rows)
            {
                if (!rows)
                    return change_failed(change, rows.error(),
                        [this, change] { read_conflicting_row(change); });
                records::Order_record found;
                if (rows->empty() ||
                    !found.ParseFromString(rows->front().value))
                    return finish(change, malformed_order());
                if (found.attempt_id() != change->permit.attempt_id)
                    return finish(change, concurrent_write());
                if (found.state() == change->record.state())
                    return finish(change, {});
                if (found.state() != records::Order_record::DISPATCHED)
                    return finish(change, concurrent_write());
                change->expected_version = rows->front().version;
                store_change(change);
            });
    }

    static tl::unexpected<error> concurrent_write()
    {
        return fail(error_code::conflict,
            "another writer has changed the order", execution_state::unknown);
    }

    void change_failed(
        change_ptr change, const error& cause, std::function<void()> again)
    {
        if (change->failures == max_background_attempts)
            return finish(change, tl::unexpected<error>(cause));
        const auto delay = order_retry_delay(change->failures++);
        if (auto handler = std::exchange(change->handler, nullptr))
            handler(tl::unexpected<error>(cause));
        environment_.after(delay, std::move(again));
    }

    static void finish(change_ptr change, result<void> outcome)
    {
        if (auto handler = std::exchange(change->handler, nullptr))
            handler(std::move(outcome));
    }

    Store& store_;
    const order_environment& environment_;
};

} // namespace tarragonquay::orders
