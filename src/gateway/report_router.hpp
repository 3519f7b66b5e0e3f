#pragma once

#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "fleet/roster.hpp"
#include "gateway/fleet_reports.hpp"

namespace tarragonquay::gateway
{

/// Decides which instances receive the reports of this one: all members in a
/// small fleet, the relay of its group in a large one. Performs no network
/// operations.
class report_router
{
public:
    /// Time without reports after which another relay is chosen: three
    /// reporting intervals, well within the time in which directory changes
    /// must reach every instance.
    static constexpr std::chrono::milliseconds relay_timeout{750};
    /// Time for which a relay that timed out is not chosen again.
    static constexpr std::chrono::milliseconds relay_avoidance_period{3'000};

    /// Updates the mode and the relays from the current members, and replaces a
    /// relay that timed out.
    void update(const fleet::roster& roster, time_point now);

    /// Whether reports go through relays.
    bool relayed() const { return relayed_; }
    /// The relay of this instance, which may be itself; empty without relays.
    const instance_id& relay() const { return relay_; }
    /// Whether other instances report to this one, or it is its own relay.
    bool acts_as_relay() const { return acts_as_relay_; }
    /// Records that the relay has sent its sums.
    void note_relay_heard(time_point now) { relay_heard_at_ = now; }

    fleet_reports& reports() { return reports_; }
    const fleet_reports& reports() const { return reports_; }

    /// The other relays of all availability zones, as known to this instance.
    std::vector<instance_id> other_relays() const;

private:
    void choose_relay(const std::vector<fleet::member>& members,
        const fleet::member& self, time_point now);

    fleet_reports reports_;
    bool relayed_ = false;
    bool acts_as_relay_ = false;
    instance_id relay_;
    time_point relay_heard_at_{};
    std::map<instance_id, time_point> avoided_until_;
    /// Relays that the members known at the last update are expected to choose.
    std::set<instance_id> chosen_relays_;
    instance_id self_;
};

} // namespace tarragonquay::gateway
