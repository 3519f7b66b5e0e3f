#pragma once

#include <algorithm>
#include <cctype>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "orders/order_types.hpp"
#include "orders/outcome_writer.hpp"
#include "records.pb.h"
#include "store/client.hpp"

namespace tarragonquay::orders
{

/// Keeps a record of each non-idempotent call and allows at most one dispatch
/// per record across all instances. Thread-safe if the store and the
/// environment are. Must outlive all outstanding handlers of the store.
template <store::table_store Store>
class order_book
{
public:
    using begin_handler = std::function<void(result<begin_outcome>)>;
    using done_handler = typename outcome_writer<Store>::done_handler;
    struct versioned_order
    {
        records::Order_record record;
        std::int64_t version = 0;
    };
    using show_handler = std::function<void(result<versioned_order>)>;

    static constexpr auto store_call_limit =
        outcome_writer<Store>::store_call_limit;

    order_book(Store& store, order_environment environment)
        : store_(store),
          environment_(std::move(environment)),
          outcomes_(store, environment_)
    {
    }

    /// Requests the only dispatch of a call. The outcome is a permit or the
    /// answer of an earlier dispatch. Fails with order_in_progress,
    /// idempotency_key_reused, outcome_unknown, store_unavailable,
    /// deadline_exceeded, no_view_lease or malformed_message. An attempt that
    /// fails with execution not_run is never dispatched.
    void begin(order_call call, begin_handler handler)
    {
        const auto membership = environment_.membership();
        if (!membership)
            return handler(fail(error_code::no_view_lease,
                "this instance is not a member, so it accepts no orders"));
        auto attempt = std::make_shared<begin_attempt>();
        attempt->record.set_membership_revision(*membership);
        attempt->row_key = order_row_key(call.workspace, call.idempotency_key);
        attempt->record.set_order_id(environment_.new_id());
        attempt->record.set_workspace(call.workspace.str());
        attempt->record.set_idempotency_key(call.idempotency_key);
        attempt->record.set_body_sha256(call.digest);
        attempt->record.set_attempt_id(environment_.new_id());
        attempt->record.set_instance(environment_.instance);
        attempt->record.set_incarnation(environment_.incarnation);
        attempt->record.set_state(records::Order_record::DISPATCHED);
        attempt->record.set_created_unix_ms(environment_.unix_ms());
        attempt->record.set_service(call.service);
        attempt->record.set_method(call.method);
        attempt->record.set_path(call.path);
        attempt->call = std::move(call);
        attempt->handler = std::move(handler);
        create(std::move(attempt));
    }

    /// Fails with no_view_lease unless a permit may still be used. The caller
    /// must check its view lease first. While the membership is unchanged, no
    /// other instance considers this one fenced, so no operator can have
    /// resolved the order. Without this check, an instance that was paused
    /// could dispatch an order that has run in the meantime.
    result<void> check(const dispatch_permit& permit) const
    {
        if (environment_.membership() == permit.membership_revision)
            return {};
        return fail(error_code::no_view_lease,
            "the membership has changed since the order was recorded");
    }

    /// Stores the endpoint's answer. The handler is called with the result of
    /// the first attempt; if that fails, retries continue in the background.
    void complete(
        dispatch_permit permit, order_answer answer, done_handler handler)
    {
        outcomes_.complete(
            std::move(permit), std::move(answer), std::move(handler));
    }

    /// Records that the endpoint may or may not have run the call.
    void mark_unknown(dispatch_permit permit, done_handler handler)
    {
        outcomes_.mark(std::move(permit), records::Order_record::UNKNOWN,
            std::move(handler));
    }

    /// Records that no byte was or will be sent, so a repeat may be dispatched.
    void mark_not_run(dispatch_permit permit, done_handler handler)
    {
        outcomes_.mark(std::move(permit), records::Order_record::NOT_RUN,
            std::move(handler));
    }

    void show(const workspace_id& workspace, const std::string& idempotency_key,
        show_handler handler)
    {
        store_.read({order_row_key(workspace, idempotency_key)},
            environment_.now() + store_call_limit,
            [this, handler](result<std::vector<store::row>> rows)
            {
                if (!rows)
                    return handler(tl::unexpected<error>(rows.error()));
                if (rows->empty())
                    return handler(fail(
                        error_code::not_found, "the order does not exist"));
                records::Order_record record;
                if (!record.ParseFromString(rows->front().value))
                    return handler(malformed_order());
                if (is_abandoned(record))
                    record.set_state(records::Order_record::UNKNOWN);
                handler(
                    versioned_order{std::move(record), rows->front().version});
            });
    }

    /// Resolves an order with an unknown outcome. `expected_version` is a
    /// version returned by show(). Fails with conflict if the row has changed
    /// since or if the outcome of the order is not unknown.
    void resolve(const workspace_id& workspace,
        const std::string& idempotency_key, std::int64_t expected_version,
        resolution decision, const std::string& resolved_by,
        show_handler handler)
    {
        show(workspace, idempotency_key,
            [this, expected_version, decision, resolved_by,
                row_key = order_row_key(workspace, idempotency_key),
                handler](result<versioned_order> shown)
            {
                if (!shown)
                    return handler(std::move(shown));
                if (shown->version != expected_version)
                    return handler(fail(error_code::conflict,
                        "the order has changed to version " +
                            std::to_string(shown->version)));
                if (shown->record.state() != records::Order_record::UNKNOWN)
                    return handler(fail(error_code::conflict,
                        "the outcome of the order is not unknown"));
                write_resolution(
                    std::move(*shown), row_key, decision, resolved_by, handler);
            });
    }

private:
    struct begin_attempt
    {
        order_call call;
        std::string row_key;
        records::Order_record record;
        /// Version of the row that this attempt replaces; 0 for none.
        std::int64_t replaced_version = 0;
        /// Whether a write with an unknown result may still take effect.
        bool may_be_written = false;
        int failures = 0;
        begin_handler handler;
    };
    using attempt_ptr = std::shared_ptr<begin_attempt>;

    time_point call_deadline(time_point limit) const
    {
        return std::min(limit, environment_.now() + store_call_limit);
    }

    bool is_abandoned(const records::Order_record& record) const
    {
        return record.state() == records::Order_record::DISPATCHED &&
               environment_.is_fenced(record.instance(), record.incarnation(),
                   record.membership_revision());
    }

    void create(attempt_ptr attempt)
    {
        store_.transact({{attempt->row_key, attempt->replaced_version}},
            {{attempt->row_key, attempt->record.SerializeAsString()}},
            call_deadline(attempt->call.deadline),
            [this, attempt](result<store::transact_outcome> outcome)
            {
                if (!outcome)
                    return creation_failed(attempt, outcome.error());
                if (!outcome->applied)
                    return read_back(attempt);
                grant_permit(attempt, outcome->revision);
            });
    }

    void creation_failed(attempt_ptr attempt, const error& cause)
    {
        if (cause.code() != error_code::store_unavailable)
            attempt->may_be_written = true;
        if (!attempt->may_be_written)
            return refuse(attempt, error_code::store_unavailable,
                "the order can't be recorded");
        read_back_later(attempt);
    }

    void read_back_later(attempt_ptr attempt)
    {
        const auto delay = order_retry_delay(attempt->failures++);
        if (environment_.now() + delay >= attempt->call.deadline)
            return give_up(attempt);
        environment_.after(delay, [this, attempt] { read_back(attempt); });
    }

    void read_back(attempt_ptr attempt)
    {
        store_.read({attempt->row_key}, call_deadline(attempt->call.deadline),
            [this, attempt](result<std::vector<store::row>> rows)
            {
                if (!rows && !attempt->may_be_written)
                    return refuse(attempt, error_code::store_unavailable,
                        "the order can't be read");
                if (!rows)
                    return read_back_later(attempt);
                if (environment_.now() >= attempt->call.deadline)
                    return give_up(attempt);
                handle_current_row(attempt, *rows);
            });
    }

    void handle_current_row(
        attempt_ptr attempt, const std::vector<store::row>& rows)
    {
        const auto version = rows.empty() ? 0 : rows.front().version;
        if (version == attempt->replaced_version)
        {
            // The write with the unknown result has not taken effect. It is
            // safe to write again, because at most one of the two writes finds
            // this version.
            if (environment_.now() >= attempt->call.deadline)
                return give_up(attempt);
            return create(attempt);
        }
        records::Order_record found;
        if (rows.empty() || !found.ParseFromString(rows.front().value))
            return attempt->handler(malformed_order());
        // An operator may have resolved this attempt while it was paused.
        if (found.attempt_id() == attempt->record.attempt_id() &&
            found.state() == records::Order_record::DISPATCHED)
            return grant_permit(attempt, version);
        answer_from_record(attempt, found, version);
    }

    // Another attempt owns the row, so an outstanding write of this attempt
    // can't take effect any more.
    void answer_from_record(attempt_ptr attempt,
        const records::Order_record& found, std::int64_t version)
    {
        attempt->may_be_written = false;
        if (found.body_sha256() != attempt->record.body_sha256())
            return attempt->handler(fail(error_code::idempotency_key_reused,
                "the idempotency key belongs to another request, order " +
                    found.order_id()));
        switch (found.state())
        {
        case records::Order_record::COMPLETED:
            return replay(attempt, found);
        case records::Order_record::NOT_RUN:
            attempt->record.set_order_id(found.order_id());
            attempt->record.set_attempt_id(environment_.new_id());
            attempt->replaced_version = version;
            if (environment_.now() >= attempt->call.deadline)
                return refuse(attempt, error_code::deadline_exceeded,
                    "the order could not be recorded in time");
            return create(attempt);
        case records::Order_record::DISPATCHED:
            if (!is_abandoned(found))
                return attempt->handler(fail(error_code::order_in_progress,
                    "the order " + found.order_id() + " is running",
                    execution_state::unknown));
            [[fallthrough]];
        default:
            return attempt->handler(fail(error_code::outcome_unknown,
                "the outcome of the order " + found.order_id() + " is unknown",
                execution_state::unknown));
        }
    }

    // Guards against a damaged row that would produce an invalid HTTP response.
    static bool is_valid_answer(const records::Order_record& found)
    {
        constexpr int lowest_status = 100;
        constexpr int highest_status = 999;
        const auto& type = found.content_type();
        return found.status() >= lowest_status &&
               found.status() <= highest_status &&
               std::none_of(type.begin(), type.end(),
                   [](unsigned char c)
                   { return c != '\t' && std::iscntrl(c) != 0; });
    }

    void replay(attempt_ptr attempt, const records::Order_record& found)
    {
        if (!is_valid_answer(found))
            return attempt->handler(fail(error_code::malformed_message,
                "the stored answer of the order " + found.order_id() +
                    " can't be read",
                execution_state::completed));
        order_answer answer{found.status(), found.content_type(), found.body()};
        if (found.body_object().empty())
            return attempt->handler(begin_outcome(std::move(answer)));
        environment_.fetch_object(found.body_object(),
            [attempt, answer](result<std::string> body) mutable
            {
                if (!body)
                    return attempt->handler(fail(error_code::store_unavailable,
                        "the stored answer can't be read",
                        execution_state::completed));
                answer.body = std::move(*body);
                attempt->handler(begin_outcome(std::move(answer)));
            });
    }

    void grant_permit(attempt_ptr attempt, std::int64_t version)
    {
        dispatch_permit granted{attempt->row_key,
            attempt->record.SerializeAsString(), attempt->record.order_id(),
            attempt->record.attempt_id(), version,
            attempt->record.membership_revision()};
        if (environment_.now() < attempt->call.deadline)
            return attempt->handler(begin_outcome(std::move(granted)));
        mark_not_run(std::move(granted), [](result<void>) {});
        refuse(attempt, error_code::deadline_exceeded,
            "the order was recorded after its deadline");
    }

    static void refuse(
        attempt_ptr attempt, error_code code, std::string message)
    {
        attempt->handler(fail(code, std::move(message)));
    }

    // Refuses an attempt that reached its deadline. It is never dispatched; a
    // record that it may have written is marked not_run in the background, so
    // that a repeat can be dispatched.
    void give_up(attempt_ptr attempt)
    {
        dispatch_permit abandoned{attempt->row_key,
            attempt->record.SerializeAsString(), attempt->record.order_id(),
            attempt->record.attempt_id(), attempt->replaced_version,
            attempt->record.membership_revision()};
        if (attempt->may_be_written)
            mark_not_run(std::move(abandoned), [](result<void>) {});
        refuse(attempt, error_code::store_unavailable,
            "the order could not be recorded in time");
    }

    void write_resolution(versioned_order shown, const std::string& row_key,
        resolution decision, const std::string& resolved_by,
        show_handler handler)
    {
        shown.record.set_resolved_by(resolved_by);
        shown.record.set_state(decision == resolution::ran
                                   ? records::Order_record::COMPLETED
                                   : records::Order_record::NOT_RUN);
        if (decision == resolution::ran)
        {
            constexpr int status_ok = 200;
            shown.record.set_status(status_ok);
            shown.record.set_content_type("application/json");
            shown.record.set_body(R"({"resolved":"ran"})");
        }
        store_.transact({{row_key, shown.version}},
            {{row_key, shown.record.SerializeAsString()}},
            environment_.now() + store_call_limit,
            [shown, handler](result<store::transact_outcome> outcome) mutable
            {
                if (!outcome)
                    return handler(tl::unexpected<error>(outcome.error()));
                if (!outcome->applied)
                    return handler(
                        fail(error_code::conflict, "the order has changed"));
                shown.version = outcome->revision;
                handler(std::move(shown));
            });
    }

    Store& store_;
    const order_environment environment_;
    outcome_writer<Store> outcomes_;
};

} // namespace tarragonquay::orders
