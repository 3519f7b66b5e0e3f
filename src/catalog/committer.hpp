#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "catalog/applied_configuration.hpp"
#include "catalog/log_reader.hpp"
#include "catalog/replica_observer.hpp"
#include "catalog/rows.hpp"
#include "catalog/snapshot_writer.hpp"
#include "catalog/store_access.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "config.pb.h"
#include "store/client.hpp"

namespace tarragonquay::catalog
{

/// Commits changes to the configuration log of the store, with optimistic
/// concurrency control on the version of the head row.
template <store::table_store Store, clock_source Clock>
class committer
{
public:
    /// Dependencies; all must outlive the committer. No handler of the
    /// committer runs after `access` is destroyed.
    struct dependencies
    {
        const store_access<Store, Clock>& access;
        const object_store& objects;
        applied_configuration& applied;
        log_reader<Store, Clock>& reader;
        const replica_observer& observer;
    };

    explicit committer(const dependencies& parts)
        : access_(parts.access),
          objects_(parts.objects),
          applied_(parts.applied),
          reader_(parts.reader),
          observer_(parts.observer)
    {
    }

    committer(const committer&) = delete;
    committer& operator=(const committer&) = delete;

    /// Commits a change at the next revision and passes that revision to
    /// `on_done`; a repeated operation id gets the revision of its first
    /// commit. `expected_revision` is the last revision of the changed entity
    /// (of the membership, for membership changes and epochs): 0 when it must
    /// not exist, -1 for any. Fails with `conflict` when it differs or the
    /// entity is in use, with `store_unavailable` when nothing was written,
    /// with `store_outcome_unknown` when it can't be determined before the
    /// deadline whether the change was committed, and with `deadline_exceeded`
    /// when it was not committed because other commits came first each time.
    void commit(config::Change change, std::string operation_id,
        std::int64_t expected_revision, time_point deadline,
        store::handler<std::int64_t> on_done)
    {
        if (!is_valid_id(operation_id))
            return on_done(fail(error_code::invalid_argument,
                "operation_id must have 1 to 128 characters of letters, "
                "digits and -_.:"));
        change.set_operation_id(std::move(operation_id));
        start_attempt(
            std::make_shared<commit_task>(commit_task{std::move(change),
                expected_revision, deadline, std::move(on_done), {}, {}}));
    }

    /// Resumes the commits that wait for the store, and fails those whose
    /// deadline has passed.
    void resume_waiting()
    {
        for (auto& task : std::exchange(waiting_, {}))
            start_attempt(task);
    }

private:
    struct commit_task
    {
        config::Change change;
        std::int64_t expected_revision;
        time_point deadline;
        store::handler<std::int64_t> on_done;
        rows::revision_row head;
        /// Version of the head row that a transaction without an answer has as
        /// its condition. While the head has this version, the transaction may
        /// still be applied.
        std::optional<std::int64_t> unanswered_version;
        /// Revision of the first transaction without an answer, else 0.
        std::int64_t first_unanswered_revision = 0;
        /// Consecutive reads of the head that were older than the applied
        /// revision.
        int consecutive_stale_heads = 0;
        bool failed_before = false;
    };
    using task_ptr = std::shared_ptr<commit_task>;

    time_point call_deadline(const commit_task& task) const
    {
        return std::min(task.deadline, access_.call_deadline());
    }

    /// Starts an attempt. Reads the head before the operation's row: when the
    /// head has a new version and the operation's row is still missing, an
    /// unanswered transaction can no longer be applied.
    void start_attempt(const task_ptr& task)
    {
        if (access_.now() >= task->deadline)
            return fail_expired(*task);
        access_.read_revision(rows::head_key, call_deadline(*task),
            [this, task](const result<rows::revision_row>& head)
            {
                if (!head)
                    return wait_or_fail(task, head.error());
                task->head = *head;
                read_operation(task);
            });
    }

    void read_operation(const task_ptr& task)
    {
        access_.read_revision(rows::operation_key(task->change.operation_id()),
            call_deadline(*task),
            [this, task](const result<rows::revision_row>& operation)
            {
                if (!operation)
                    return wait_or_fail(task, operation.error());
                if (operation->version != 0)
                    return report_committed(task, operation->revision);
                if (task->unanswered_version != task->head.version)
                    task->unanswered_version.reset();
                reader_.catch_up(task->head.revision,
                    [this, task](const result<void>& done)
                    {
                        if (done)
                            write(task);
                        else
                            wait_or_fail(task, done.error());
                    });
            });
    }

    void report_committed(const task_ptr& task, std::int64_t committed)
    {
        // The change is committed even if reading it back fails.
        reader_.catch_up(committed, [task, committed](const result<void>&)
            { task->on_done(committed); });
    }

    result<void> check_expected(const commit_task& task) const
    {
        const auto entity = entity_of(task.change);
        const auto found = entity.empty()
                               ? applied_.current().membership_revision()
                               : applied_.current().entity_revision(entity);
        if (task.expected_revision < 0 || task.expected_revision == found)
            return {};
        return fail(error_code::conflict,
            fmt::format("{} is at revision {}, not {}",
                entity.empty() ? "the membership" : entity, found,
                task.expected_revision));
    }

    void write(const task_ptr& task)
    {
        // Newer changes were applied after the head was read. One of them may
        // be this change, which must not be reported as a conflict.
        if (applied_.revision() != task->head.revision)
        {
            if (task->consecutive_stale_heads++ < max_stale_heads)
                return start_attempt(task);
            task->consecutive_stale_heads = 0;
            return waiting_.push_back(task);
        }
        // The operation's row may have been erased together with its log row,
        // so the changes that are kept in memory are searched too.
        if (const auto known =
                applied_.recent_revision(task->change.operation_id()))
            return task->on_done(*known);
        if (task->first_unanswered_revision != 0 &&
            applied_.first_recent_revision() >
                task->first_unanswered_revision &&
            applied_.revision() - task->first_unanswered_revision >=
                snapshot_interval)
            return task->on_done(fail(error_code::store_outcome_unknown,
                fmt::format("operation {} may be committed; its record may "
                            "have been erased",
                    task->change.operation_id()),
                execution_state::unknown));
        if (auto checked = check_expected(*task); !checked)
            return task->on_done(tl::unexpected(checked.error()));
        auto& change = task->change;
        change.set_revision(applied_.revision() + 1);
        if (auto next = applied_.current().apply(change); !next)
            return task->on_done(tl::unexpected(next.error()));
        const auto text = std::to_string(change.revision());
        access_.store().transact({{rows::head_key, task->head.version}},
            {{rows::head_key, text},
                {rows::log_key(change.revision()), change.SerializeAsString()},
                {rows::operation_key(change.operation_id()), text}},
            call_deadline(*task),
            access_.template on_control<store::transact_outcome>(
                [this, task](const result<store::transact_outcome>& outcome)
                { on_written(task, outcome); }));
    }

    void on_written(
        const task_ptr& task, const result<store::transact_outcome>& outcome)
    {
        if (!outcome)
        {
            if (outcome.error().code() != error_code::store_outcome_unknown)
                return wait_or_fail(task, outcome.error());
            task->unanswered_version = task->head.version;
            if (task->first_unanswered_revision == 0)
                task->first_unanswered_revision = task->change.revision();
            return start_attempt(task);
        }
        if (!outcome->applied)
            return start_attempt(task);
        const auto committed = task->change.revision();
        // If this fails, the next poll applies the change.
        if (auto applied = applied_.apply({task->change}); !applied)
            observer_.on_store_failure(applied.error());
        if (committed % snapshot_check_interval == 0 &&
            applied_.revision() == committed)
            std::make_shared<snapshot_writer<Store>>(
                access_.store(), committed, access_.now() + snapshot_timeout)
                ->start(objects_,
                    applied_.current().to_proto().SerializeAsString());
        task->on_done(committed);
    }

    /// Handles a failed call to the store. A task with an unanswered
    /// transaction waits for the next poll. For any other task nothing was
    /// written, and it is retried once: a dead connection fails one call and is
    /// then replaced, so that only a second failure indicates an outage.
    void wait_or_fail(const task_ptr& task, const error& reason)
    {
        if (!task->unanswered_version)
        {
            if (std::exchange(task->failed_before, true) ||
                access_.now() >= task->deadline)
                return task->on_done(tl::unexpected(reason));
            return start_attempt(task);
        }
        if (access_.now() >= task->deadline)
            return fail_expired(*task);
        waiting_.push_back(task);
    }

    static void fail_expired(const commit_task& task)
    {
        if (task.unanswered_version)
            task.on_done(fail(error_code::store_outcome_unknown,
                fmt::format("operation {} may or may not be committed",
                    task.change.operation_id()),
                execution_state::unknown));
        else
            task.on_done(fail(error_code::deadline_exceeded,
                "the change was not committed before the deadline"));
    }

    /// Retries before the task waits for the next poll, so that a store that
    /// returns stale heads does not cause a busy loop.
    static constexpr int max_stale_heads = 3;
    /// Timeout of storing a snapshot, whose object may be large.
    static constexpr std::chrono::seconds snapshot_timeout{10};

    const store_access<Store, Clock>& access_;
    const object_store& objects_;
    applied_configuration& applied_;
    log_reader<Store, Clock>& reader_;
    const replica_observer& observer_;
    std::vector<task_ptr> waiting_;
};

} // namespace tarragonquay::catalog
