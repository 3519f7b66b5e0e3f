#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "catalog/replica_observer.hpp"
#include "catalog/snapshot.hpp"
#include "common/error.hpp"
#include "config.pb.h"

namespace tarragonquay::catalog
{

/// The configuration that this instance has applied, and its latest changes.
/// Publishes each revision and reports it to the observer. Must be used on the
/// control thread.
class applied_configuration
{
public:
    /// Number of recent changes that are kept for peers.
    static constexpr std::size_t max_recent_changes = 1024;

    /// Both must outlive this object.
    applied_configuration(
        published_state& published, const replica_observer& observer);

    const snapshot& current() const { return current_; }
    std::int64_t revision() const { return current_.revision(); }

    /// Applies changes in order; ignores those already applied. Fails with
    /// `conflict` when a revision is missing before one of them; the changes
    /// before the gap stay applied.
    result<void> apply(const std::vector<config::Change>& changes);
    /// Replaces the configuration by a snapshot; ignores one that is not newer.
    /// Fails like `snapshot::from_proto`.
    result<void> install(const config::Snapshot& message);

    /// Returns the changes after a revision, or nothing when they are no longer
    /// kept and the peer needs the whole snapshot.
    std::optional<std::vector<config::Change>> changes_after(
        std::int64_t after) const;
    /// Lowest revision whose change is still kept.
    std::int64_t first_recent_revision() const;
    /// Revision of the kept change with this operation id, if any.
    std::optional<std::int64_t> recent_revision(
        const std::string& operation_id) const;

private:
    published_state& published_;
    const replica_observer& observer_;
    snapshot current_;
    std::deque<config::Change> recent_;
};

} // namespace tarragonquay::catalog
