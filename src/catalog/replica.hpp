#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "catalog/rows.hpp"
#include "catalog/snapshot.hpp"
#include "catalog/snapshot_writer.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "config.pb.h"
#include "platform/client.hpp"

namespace tarragonquay::catalog
{

/// Runs a function on the control thread.
using post_function = std::function<void(std::function<void()>)>;

/// What a replica reports, on the control thread. All functions are set.
struct replica_observer
{
    std::function<void(const snapshot&, const config::Change&)> on_applied;
    std::function<void(const snapshot&)> on_snapshot_installed;
    /// The head was read and all changes up to it are applied.
    std::function<void(time_point read_was_sent_at, std::int64_t head_revision)>
        on_store_contact;
    std::function<void(const error&)> on_store_failure;
};

/// Follows the configuration log of the store and of the peers, and commits
/// changes to it. Belongs to the control thread; handlers of the store may
/// arrive on other threads. Destroying a replica drops its commits in flight
/// without a call of their handlers; the store must outlive its own handlers.
template <platform::table_store Store, clock_source Clock>
class replica
{
public:
    /// Changes kept for peers that ask for them.
    static constexpr std::size_t recent_limit = 1024;
    /// Bound of one call of the store, so that a frozen call leaves time to
    /// settle its outcome.
    static constexpr std::chrono::seconds call_limit{2};

    replica(Store& store, const Clock& clock, published_state& published,
        object_store objects, post_function post, replica_observer observer)
        : store_(store),
          clock_(clock),
          published_(published),
          objects_(std::move(objects)),
          post_(std::move(post)),
          observer_(std::move(observer))
    {
    }

    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    const snapshot& current() const { return current_; }
    std::int64_t revision() const { return current_.revision(); }

    /// Reads the head and the changes up to it. Does nothing while an
    /// earlier poll runs. Must be called regularly: it also resumes commits
    /// that wait for the store, and ends those whose deadline has passed.
    void poll_head()
    {
        for (auto& task : std::exchange(waiting_, {}))
            step(task);
        if (std::exchange(polling_, true))
            return;
        const auto sent_at = clock_.now();
        read_revision(rows::head, sent_at + call_limit,
            [this, sent_at](const result<rows::revision_row>& head)
            {
                if (!head)
                    return end_poll(head.error());
                catch_up(head->revision,
                    [this, sent_at, target = head->revision](
                        const result<void>& done)
                    {
                        if (!done)
                            return end_poll(done.error());
                        polling_ = false;
                        observer_.on_store_contact(sent_at, target);
                    });
            });
    }

    /// Applies changes in order; ignores those already applied. Fails with
    /// `conflict` when a revision is missing before one of them; the changes
    /// before the gap stay applied.
    result<void> apply_changes(const std::vector<config::Change>& changes)
    {
        for (const auto& change : changes)
        {
            if (change.revision() <= revision())
                continue;
            if (change.revision() != revision() + 1)
                return fail(error_code::conflict,
                    fmt::format("change {} leaves a gap after revision {}",
                        change.revision(), revision()));
            auto next = current_.apply(change);
            if (!next)
                return tl::unexpected(next.error());
            current_ = std::move(*next);
            recent_.push_back(change);
            if (recent_.size() > recent_limit)
                recent_.pop_front();
            published_.publish(current_);
            observer_.on_applied(current_, change);
        }
        return {};
    }

    /// Takes over a whole configuration; ignores one that is not newer.
    result<void> install_snapshot(const config::Snapshot& message)
    {
        if (message.revision() <= revision())
            return {};
        auto next = snapshot::from_proto(message);
        if (!next)
            return tl::unexpected(next.error());
        current_ = std::move(*next);
        // The changes in between are not known.
        recent_.clear();
        published_.publish(current_);
        observer_.on_snapshot_installed(current_);
        return {};
    }

    /// Changes after a revision; nothing when they are no longer kept, so
    /// that the asker needs the whole snapshot.
    std::optional<std::vector<config::Change>> changes_after(
        std::int64_t after) const
    {
        const auto kept = static_cast<std::int64_t>(recent_.size());
        if (after < revision() - kept)
            return std::nullopt;
        const auto skipped = std::min(kept, after - (revision() - kept));
        return std::vector<config::Change>(
            recent_.begin() + skipped, recent_.end());
    }

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
        platform::handler<std::int64_t> on_done)
    {
        if (!is_valid_id(operation_id))
            return on_done(fail(error_code::invalid_argument,
                "operation_id must have 1 to 128 characters of letters, "
                "digits and -_.:"));
        change.set_operation_id(std::move(operation_id));
        step(std::make_shared<commit_task>(commit_task{std::move(change),
            expected_revision, deadline, std::move(on_done), {}, {}}));
    }

private:
    struct commit_task
    {
        config::Change change;
        std::int64_t expected_revision;
        time_point deadline;
        platform::handler<std::int64_t> on_done;
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
    using completion = std::function<void(result<void>)>;

    /// A handler that continues on the control thread while this lives.
    template <class T, class Function>
    platform::handler<T> on_control(Function function)
    {
        return [alive = std::weak_ptr<char>(alive_), post = post_,
                   function = std::move(function)](result<T> value)
        {
            post(
                [alive, function, value = std::move(value)]
                {
                    if (!alive.expired())
                        function(value);
                });
        };
    }

    template <class Function>
    void read_revision(
        const std::string& key, time_point deadline, Function on_done)
    {
        store_.read({key}, deadline,
            on_control<std::vector<platform::row>>(
                [on_done = std::move(on_done)](
                    const result<std::vector<platform::row>>& found)
                {
                    on_done(found ? rows::parse_revision_row(*found)
                                  : tl::unexpected(found.error()));
                }));
    }

    void end_poll(const error& reason)
    {
        polling_ = false;
        observer_.on_store_failure(reason);
    }

    time_point call_deadline() const { return clock_.now() + call_limit; }

    /// Applies everything up to `target`: from the log when it is near, else
    /// from the stored snapshot first.
    void catch_up(std::int64_t target, completion on_done)
    {
        if (revision() >= target)
            return on_done({});
        if (target - revision() > snapshot_interval)
            return load_snapshot(target, false, std::move(on_done));
        read_log(target, true, std::move(on_done));
    }

    void read_log(
        std::int64_t target, bool may_load_snapshot, completion on_done)
    {
        if (revision() >= target)
            return on_done({});
        std::vector<std::string> keys;
        const auto last = std::min(target, revision() + snapshot_interval);
        for (auto next = revision() + 1; next <= last; ++next)
            keys.push_back(rows::log(next));
        store_.read(std::move(keys), call_deadline(),
            on_control<std::vector<platform::row>>(
                [this, target, last, may_load_snapshot,
                    on_done = std::move(on_done)](
                    const result<std::vector<platform::row>>& found)
                {
                    if (!found)
                        return on_done(tl::unexpected(found.error()));
                    const auto applied = apply_rows(*found);
                    if (revision() >= last)
                        return read_log(target, true, on_done);
                    // Rows were erased: a snapshot covers them.
                    if (may_load_snapshot)
                        return load_snapshot(target, true, on_done);
                    on_done(applied ? fail(error_code::not_found,
                                          fmt::format("log row {} is missing",
                                              revision() + 1))
                                    : applied);
                }));
    }

    result<void> apply_rows(const std::vector<platform::row>& found)
    {
        std::vector<config::Change> changes;
        for (const auto& row : found)
        {
            config::Change change;
            if (!change.ParseFromString(row.value))
                return fail(error_code::malformed_message,
                    fmt::format("row {} holds no change", row.key));
            changes.push_back(std::move(change));
        }
        std::sort(changes.begin(), changes.end(),
            [](const auto& left, const auto& right)
            { return left.revision() < right.revision(); });
        return apply_changes(changes);
    }

    /// `is_needed` says that the log alone can't be followed.
    void load_snapshot(std::int64_t target, bool is_needed, completion on_done)
    {
        read_revision(rows::snapshot_pointer, call_deadline(),
            [this, target, is_needed, on_done = std::move(on_done)](
                const result<rows::revision_row>& pointer)
            {
                if (!pointer)
                    return on_done(tl::unexpected(pointer.error()));
                if (pointer->revision <= revision())
                {
                    if (is_needed)
                        return on_done(fail(error_code::not_found,
                            fmt::format("neither log row {} nor a newer "
                                        "snapshot exists",
                                revision() + 1)));
                    return read_log(target, false, on_done);
                }
                fetch_snapshot(target, pointer->revision, on_done);
            });
    }

    void fetch_snapshot(
        std::int64_t target, std::int64_t stored, completion on_done)
    {
        objects_.fetch(rows::snapshot_object(stored), call_deadline(),
            on_control<std::optional<std::string>>(
                [this, target, on_done = std::move(on_done)](
                    const result<std::optional<std::string>>& content)
                {
                    if (!content)
                        return on_done(tl::unexpected(content.error()));
                    config::Snapshot message;
                    if (!*content || !message.ParseFromString(**content))
                        return on_done(fail(error_code::malformed_message,
                            "the stored snapshot is missing or unreadable"));
                    if (auto installed = install_snapshot(message); !installed)
                        return on_done(installed);
                    read_log(target, false, on_done);
                }));
    }

    time_point call_deadline(const commit_task& task) const
    {
        return std::min(task.deadline, call_deadline());
    }

    /// Reads the head and then the operation's row, in this order: when the
    /// head has moved on before the operation's row is found missing, an
    /// unanswered transaction can't apply any more.
    void step(const task_ptr& task)
    {
        if (clock_.now() >= task->deadline)
            return end_late(*task);
        read_revision(rows::head, call_deadline(*task),
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
        read_revision(rows::operation(task->change.operation_id()),
            call_deadline(*task),
            [this, task](const result<rows::revision_row>& operation)
            {
                if (!operation)
                    return wait_or_fail(task, operation.error());
                if (operation->version != 0)
                    return report_committed(task, operation->revision);
                if (task->unanswered_version != task->head.version)
                    task->unanswered_version.reset();
                catch_up(task->head.revision,
                    [this, task](const result<void>& done)
                    {
                        if (done)
                            write(task);
                        else
                            wait_or_fail(task, done.error());
                    });
            });
    }

    /// Lowest revision whose change is kept here.
    std::int64_t first_recent_revision() const
    {
        return revision() - static_cast<std::int64_t>(recent_.size()) + 1;
    }

    /// Revision at which a kept change committed the operation.
    std::optional<std::int64_t> recent_revision(
        const std::string& operation_id) const
    {
        const auto found = std::find_if(recent_.rbegin(), recent_.rend(),
            [&](const config::Change& change)
            { return change.operation_id() == operation_id; });
        if (found == recent_.rend())
            return std::nullopt;
        return found->revision();
    }

    void report_committed(const task_ptr& task, std::int64_t committed)
    {
        // The change is committed even when it can't be read back now.
        catch_up(committed, [task, committed](const result<void>&)
            { task->on_done(committed); });
    }

    result<void> check_expected(const commit_task& task) const
    {
        const auto entity = entity_of(task.change);
        const auto found = entity.empty() ? current_.membership_revision()
                                          : current_.entity_revision(entity);
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
        if (revision() != task->head.revision)
        {
            if (task->stale_heads++ < stale_head_limit)
                return step(task);
            task->stale_heads = 0;
            return waiting_.push_back(task);
        }
        // The operation's row may have been erased together with its log row.
        if (const auto known = recent_revision(task->change.operation_id()))
            return task->on_done(*known);
        if (task->attempted != 0 && first_recent_revision() > task->attempted &&
            revision() - task->attempted >= snapshot_interval)
            return task->on_done(fail(error_code::store_outcome_unknown,
                fmt::format("operation {} may be committed; its record may "
                            "have been erased",
                    task->change.operation_id()),
                execution_state::unknown));
        if (auto checked = check_expected(*task); !checked)
            return task->on_done(tl::unexpected(checked.error()));
        auto& change = task->change;
        change.set_revision(revision() + 1);
        if (auto next = current_.apply(change); !next)
            return task->on_done(tl::unexpected(next.error()));
        const auto text = std::to_string(change.revision());
        store_.transact({{rows::head, task->head.version}},
            {{rows::head, text},
                {rows::log(change.revision()), change.SerializeAsString()},
                {rows::operation(change.operation_id()), text}},
            call_deadline(*task),
            on_control<platform::transact_outcome>(
                [this, task](const result<platform::transact_outcome>& outcome)
                { on_written(task, outcome); }));
    }

    void on_written(
        const task_ptr& task, const result<platform::transact_outcome>& outcome)
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
        if (auto applied = apply_changes({task->change}); !applied)
            observer_.on_store_failure(applied.error());
        if (committed % snapshot_check_interval == 0 && revision() == committed)
            std::make_shared<snapshot_writer<Store>>(
                store_, committed, clock_.now() + snapshot_limit)
                ->start(objects_, current_.to_proto().SerializeAsString());
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
                clock_.now() >= task->deadline)
                return task->on_done(tl::unexpected(reason));
            return step(task);
        }
        if (clock_.now() >= task->deadline)
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

    Store& store_;
    const Clock& clock_;
    published_state& published_;
    const object_store objects_;
    const post_function post_;
    const replica_observer observer_;
    snapshot current_;
    std::deque<config::Change> recent_;
    std::vector<task_ptr> waiting_;
    bool polling_ = false;
    /// Expires with this object; handlers check it.
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace tarragonquay::catalog
