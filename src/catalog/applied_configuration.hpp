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
/// Publishes and reports each revision. Belongs to the control thread.
class applied_configuration
{
public:
    /// Changes kept for peers that ask for them.
    static constexpr std::size_t recent_limit = 1024;

    /// Both must outlive this object.
    applied_configuration(
        published_state& published, const replica_observer& observer);

    const snapshot& current() const { return current_; }
    std::int64_t revision() const { return current_.revision(); }

    /// Applies changes in order; ignores those already applied. Fails with
    /// `conflict` when a revision is missing before one of them; the changes
    /// before the gap stay applied.
    result<void> apply(const std::vector<config::Change>& changes);
    /// Takes over a whole configuration; ignores one that is not newer.
    result<void> install(const config::Snapshot& message);

    /// Changes after a revision; nothing when they are no longer kept, so
    /// that the asker needs the whole snapshot.
    std::optional<std::vector<config::Change>> changes_after(
        std::int64_t after) const;
    /// Lowest revision whose change is kept here.
    std::int64_t first_recent_revision() const;
    /// Revision at which a kept change committed the operation.
    std::optional<std::int64_t> recent_revision(
        const std::string& operation_id) const;

private:
    published_state& published_;
    const replica_observer& observer_;
    snapshot current_;
    std::deque<config::Change> recent_;
};

} // namespace tarragonquay::catalog
