#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/crash_evidence.hpp"
#include "fleet/roster.hpp"
#include "gateway/report_router.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

/// Decides when this instance sends its crash evidence, what it sends and to
/// which instances. Performs no network operations.
///
/// Changes are sent soon and forwarded by every receiver to which they are new,
/// so that relays pass them on; a message without news causes no other.
/// Repetitions serve instances that start later or missed a message.
class evidence_exchange
{
public:
    /// Delay within which changes are combined into one message: an engine that
    /// ends loses many requests at once.
    static constexpr std::chrono::milliseconds coalescing_delay{20};
    /// Interval of repetitions while there are records.
    static constexpr std::chrono::milliseconds repeat_interval{1'000};
    /// Interval at which expired records are dropped.
    static constexpr std::chrono::milliseconds expiry_interval{1'000};

    explicit evidence_exchange(dispatch::crash_evidence& evidence)
        : evidence_(evidence)
    {
    }

    /// Records that this instance's evidence has changed.
    void note_change(time_point now);

    /// Merges the records of another instance. Returns the number of entries
    /// that were ignored.
    std::size_t receive(const peer::Evidence_update& update, time_point now);

    /// Drops expired records.
    void tick(time_point now);

    /// When the next message is due; time_point::max() if none is.
    time_point send_at() const { return send_at_; }
    /// The message that is due, if there are records.
    std::optional<peer::Evidence_update> take_due(time_point now);
    /// All records, for an instance that has just become known.
    std::optional<peer::Evidence_update> message(time_point now) const;

    /// All members of a small fleet. In a large one, an instance sends to its
    /// relay, and a relay also to the other relays and to its group.
    static std::vector<instance_id> receivers(
        const fleet::roster& roster, const report_router& router);

private:
    dispatch::crash_evidence& evidence_;
    time_point send_at_ = time_point::max();
    time_point expire_at_{};
};

} // namespace tarragonquay::gateway
