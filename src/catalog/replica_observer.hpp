#pragma once

#include <cstdint>
#include <functional>

#include "catalog/snapshot.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "config.pb.h"

namespace tarragonquay::catalog
{

/// Callbacks of a replica, called on the control thread. All must be set.
struct replica_observer
{
    std::function<void(const snapshot&, const config::Change&)> on_applied;
    std::function<void(const snapshot&)> on_snapshot_installed;
    /// Called when the head was read and all changes up to it are applied.
    std::function<void(time_point read_was_sent_at, std::int64_t head_revision)>
        on_store_contact;
    std::function<void(const error&)> on_store_failure;
};

} // namespace tarragonquay::catalog
