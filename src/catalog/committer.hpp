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

/// Commits changes to the configuration log of the store.
template <store::table_store Store, clock_source Clock>
class committer
{
public:
    /// What a committer works with; all of it must outlive the committer,
    /// whose handlers end with `access`.
    struct environment
    {
        const store_access<Store, Clock>& access;
        const object_store& objects;
        applied_configuration& applied;
        log_reader<Store, Clock>& reader;
        const replica_observer& observer;
    };

    explicit committer(const environment& parts)
        : access_(parts.access),
          objects_(parts.objects),
          applied_(parts.applied),
          reader_(parts.reader),
          observer_(parts.observer)
    {
    }

    committer(const committer&) = delete;
    committer& operator=(const committer&) = delete;

    /// Commits a change at the next revision and hands back that revision; a
    /// repeated operation id gets the revision of the first commit.
    /// `expected_revision` is the last revision of the changed entity (of the
    /// membership, for membership changes and epochs): 0 when it must not
    /// exist, -1 for any. Fails with `conflict` when it differs or the entity
    /// is in use, with `store_unavailable` when nothing was written, with
    /// `store_outcome_unknown` when the outcome can't be settled before the
    /// deadline, and with `deadline_exceeded` when others were always first.
    void commit(config::Change change, std::string operation_id,
        std::int64_t expected_revision, time_point deadline,
        store::handler<std::int64_t> on_done)
    {
        if (!is_valid_id(operation_id))
            return on_done(fail(error_code::invalid_argument,
                "operation_id must have 1 to 128 characters of letters, "
                "digits and -_.:"));
        change.set_operation_id(std::move(operation_id));
        step(std::make_shared<commit_task>(commit_task{std::move(change),
            expected_revision, deadline, std::move(on_done), {}, {}}));
    }

    /// Continues the commits that wait for the store, and ends those whose
    /// deadline has passed.
    void resume_waiting()
    {
        for (auto& task : std::exchange(waiting_, {}))
            step(task);
    }

private:
    struct commit_task
    {
        config::Change change;
        std::int64_t expected_revision;
        time_point deadline;
        store::handler<std::int64_t> on_done;
        rows::revision_row head;
        /// Version of the head row that a transaction without an answer
        /// depends on; while the head keeps it, the transaction may apply.
        std::optional<std::int64_t> unanswered_version;
        /// Revision of the first transaction without an answer, else 0.
        std::int64_t attempted = 0;
        /// Heads read in a row that were older than the applied revision.
        int stale_heads = 0;
        bool failed_before = false;
    };
    using task_ptr = std::shared_ptr<commit_task>;

    time_point call_deadline(const commit_task& task) const
    {
        return std::min(task.deadline, access_.call_deadline());
    }

    /// Reads the head and then the operation's row, in this order: when the
    /// head has moved on before the operation's row is found missing, an
    /// unanswered transaction can't apply any more.
    void step(const task_ptr& task)
    {
        if (access_.now() >= task->deadline)
            return end_late(*task);
        access_.read_revision(rows::head, call_deadline(*task),
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
        access_.read_revision(rows::operation(task->change.operation_id()),
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
        // The change is committed even when it can't be read back now.
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
        // Newer changes were applied after the head was read. Among them may
        // be this very change, which must not be taken for a conflict.
        if (applied_.revision() != task->head.revision)
        {
            if (task->stale_heads++ < stale_head_limit)
                return step(task);
            task->stale_heads = 0;
            return waiting_.push_back(task);
        }
        // The operation's row may have been erased together with its log row.
        if (const auto known =
                applied_.recent_revision(task->change.operation_id()))
            return task->on_done(*known);
        if (task->attempted != 0 &&
            applied_.first_recent_revision() > task->attempted &&
            applied_.revision() - task->attempted >= snapshot_interval)
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
        access_.store().transact({{rows::head, task->head.version}},
            {{rows::head, text},
                {rows::log(change.revision()), change.SerializeAsString()},
                {rows::operation(change.operation_id()), text}},
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
            if (task->attempted == 0)
                task->attempted = task->change.revision();
            return step(task);
        }
        if (!outcome->applied)
            return step(task);
        const auto committed = task->change.revision();
        // A failure here leaves the change to the next poll.
        if (auto applied = applied_.apply({task->change}); !applied)
            observer_.on_store_failure(applied.error());
        if (committed % snapshot_check_interval == 0 &&
            applied_.revision() == committed)
            std::make_shared<snapshot_writer<Store>>(
                access_.store(), committed, access_.now() + snapshot_limit)
                ->start(objects_,
                    applied_.current().to_proto().SerializeAsString());
        task->on_done(committed);
    }

    /// The store did not answer. Nothing was written unless a transaction is
    /// unanswered; such a task waits for the next poll. Any other is begun
    /// once more: a connection that went silent fails one call and is replaced
    /// then, so that only a second failure shows an outage.
    void wait_or_fail(const task_ptr& task, const error& reason)
    {
        if (!task->unanswered_version)
        {
            if (std::exchange(task->failed_before, true) ||
                access_.now() >= task->deadline)
                return task->on_done(tl::unexpected(reason));
            return step(task);
        }
        if (access_.now() >= task->deadline)
            return end_late(*task);
        waiting_.push_back(task);
    }

    static void end_late(const commit_task& task)
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

    /// A store that answers with old heads must not cause a busy loop.
    static constexpr int stale_head_limit = 3;
    /// Bound of storing a snapshot object, which may be large.
    static constexpr std::chrono::seconds snapshot_limit{10};

    const store_access<Store, Clock>& access_;
    const object_store& objects_;
    applied_configuration& applied_;
    log_reader<Store, Clock>& reader_;
    const replica_observer& observer_;
    std::vector<task_ptr> waiting_;
};

} // namespace tarragonquay::catalog
