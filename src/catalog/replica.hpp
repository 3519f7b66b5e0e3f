#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catalog/applied_configuration.hpp"
#include "catalog/committer.hpp"
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

/// Applies the changes of the configuration log from the store and from peers,
/// and commits new changes to it. Must be used on the control thread; handlers
/// of the store may be called on other threads. Destroying a replica drops its
/// commits in flight without calling their handlers; the store must outlive
/// its own handlers.
template <store::table_store Store, clock_source Clock>
class replica
{
public:
    replica(Store& store, const Clock& clock, published_state& published,
        object_store objects, post_function post, replica_observer observer)
        : objects_(std::move(objects)),
          observer_(std::move(observer)),
          applied_(published, observer_),
          access_(store, clock, std::move(post)),
          reader_(access_, objects_, applied_),
          committer_({access_, objects_, applied_, reader_, observer_})
    {
    }

    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    const snapshot& current() const { return applied_.current(); }
    std::int64_t revision() const { return applied_.revision(); }

    /// Reads the head of the log and applies the changes up to it, unless an
    /// earlier poll is still running. Must be called regularly: it also resumes
    /// commits that wait for the store, and fails those whose deadline has
    /// passed.
    void poll_head()
    {
        committer_.resume_waiting();
        if (std::exchange(polling_, true))
            return;
        const auto sent_at = access_.now();
        access_.read_revision(rows::head_key, sent_at + access_.call_timeout,
            [this, sent_at](const result<rows::revision_row>& head)
            {
                if (!head)
                    return end_poll(head.error());
                reader_.catch_up(head->revision,
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

    /// See applied_configuration::apply.
    result<void> apply_changes(const std::vector<config::Change>& changes)
    {
        return applied_.apply(changes);
    }

    /// See applied_configuration::install.
    result<void> install_snapshot(const config::Snapshot& message)
    {
        return applied_.install(message);
    }

    /// See applied_configuration::changes_after.
    std::optional<std::vector<config::Change>> changes_after(
        std::int64_t after) const
    {
        return applied_.changes_after(after);
    }

    /// See committer::commit.
    void commit(config::Change change, std::string operation_id,
        std::int64_t expected_revision, time_point deadline,
        store::handler<std::int64_t> on_done)
    {
        committer_.commit(std::move(change), std::move(operation_id),
            expected_revision, deadline, std::move(on_done));
    }

private:
    void end_poll(const error& reason)
    {
        polling_ = false;
        observer_.on_store_failure(reason);
    }

    const object_store objects_;
    const replica_observer observer_;
    applied_configuration applied_;
    const store_access<Store, Clock> access_;
    log_reader<Store, Clock> reader_;
    committer<Store, Clock> committer_;
    bool polling_ = false;
};

} // namespace tarragonquay::catalog
