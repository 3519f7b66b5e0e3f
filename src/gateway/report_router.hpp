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

/// Decides whom an instance reports to: everybody in a small fleet, else the
/// relay of its group. Needs no network.
class report_router
{
public:
    /// Three reporting intervals; then another relay is chosen, well within
    /// the time in which changes of the directory must reach every instance.
    static constexpr std::chrono::milliseconds relay_timeout{750};
    /// A relay that was silent is not chosen again for this long.
    static constexpr std::chrono::milliseconds relay_avoidance_period{3'000};

    /// Takes the members that are known now, and replaces a silent relay.
    void update(const fleet::roster& roster, time_point now);

    /// Whether reports go through relays.
    bool relayed() const { return relayed_; }
    /// The relay of this instance, which may be itself; empty without relays.
    const instance_id& relay() const { return relay_; }
    /// Whether others report to this instance, or it is its own relay.
    bool acts_as_relay() const { return acts_as_relay_; }
    /// The relay has sent its sums.
    void note_relay_heard(time_point now) { relay_heard_at_ = now; }

    fleet_reports& reports() { return reports_; }
    const fleet_reports& reports() const { return reports_; }

    /// The other relays of all availability zones, by this instance's view.
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
    /// Relays that the members known at the last update would choose.
    std::set<instance_id> chosen_relays_;
    instance_id self_;
};

} // namespace tarragonquay::gateway
