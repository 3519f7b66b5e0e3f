#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/endpoint_pool.hpp"
#include "gateway/model_demand.hpp"
#include "limits/fleet_limiter.hpp"

namespace tarragonquay::gateway
{

/// Demand and requests in flight of one instance, or the sums over several.
struct fleet_report
{
    /// Incarnation of the process that counts the admitted units.
    std::int64_t incarnation = 0;
    std::int64_t instances = 1;
    std::vector<limits::workspace_demand> demands;
    std::vector<std::pair<endpoint_id, dispatch::endpoint_load>> loads;
    std::vector<std::pair<demanded_model, double>> models;

    auto operator<=>(const fleet_report&) const = default;
};

/// Collects the reports of a relay: those of the members of its group, and the
/// sums that other relays report for theirs. Computes for each receiver the
/// sums over all other instances.
///
/// Admitted units are counters that only increase. A relay adds up the
/// increases since its own start, so that a sum does not jump when a member
/// joins, restarts or times out.
class fleet_reports
{
public:
    /// Time after which a report expires: six reporting intervals, as for
    /// members of a fleet without relays.
    static constexpr std::chrono::milliseconds lifetime{1'500};

    /// Stores the report of a member of this relay's group.
    void put_member(
        const instance_id& from, fleet_report report, time_point now);
    /// Stores the sums of another relay over its group.
    void put_group(
        const instance_id& relay, fleet_report report, time_point now);
    /// Drops expired reports. Their admitted units remain in the sums.
    void expire(time_point now);

    /// Members that report to this relay (`members`), and relays that report
    /// their sums (`groups`).
    std::vector<instance_id> members() const;
    std::vector<instance_id> groups() const;

    /// Sums over all groups without one member of the own group.
    fleet_report sums_excluding(const instance_id& receiver) const;
    /// Sums over the own group, including the demand for models.
    fleet_report group_sums() const;

private:
    struct source
    {
        bool is_member = true;
        bool alive = true;
        fleet_report report;
        time_point reported_at;
        /// Admitted units added up from the reports of this source.
        std::map<workspace_id, double> credited;
    };

    void put(const instance_id& from, bool is_member, fleet_report report,
        time_point now);
    static void credit(source& to, const fleet_report& report);
    template <class Predicate>
    fleet_report sum(const Predicate& is_included) const;

    std::map<instance_id, source> sources_;
};

} // namespace tarragonquay::gateway
