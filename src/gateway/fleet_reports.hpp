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

/// What one instance, or several together, demand and have under way.
struct fleet_report
{
    /// Process that counts the admitted units.
    std::int64_t incarnation = 0;
    std::int64_t instances = 1;
    std::vector<limits::workspace_demand> demands;
    std::vector<std::pair<endpoint_id, dispatch::endpoint_load>> loads;
    std::vector<std::pair<demanded_model, double>> models;

    auto operator<=>(const fleet_report&) const = default;
};

/// The reports that a relay collects: those of its members, and the sums of
/// other relays over their groups. Gives each receiver the sums over all
/// others.
///
/// Admitted units are counts that only grow. A relay counts what it learned
/// since its own start, so that a member that joins, restarts or falls silent
/// does not make a sum jump.
class fleet_reports
{
public:
    /// Six reporting intervals, as for members of a fleet without relays.
    static constexpr std::chrono::milliseconds lifetime{1'500};

    /// The report of a member of this relay's group.
    void put_member(
        const instance_id& from, fleet_report report, time_point now);
    /// The sums of another relay over its group.
    void put_group(
        const instance_id& relay, fleet_report report, time_point now);
    /// Drops reports whose lifetime has passed. Their units stay counted.
    void expire(time_point now);

    /// Members that report to this relay, and relays that tell their sums.
    std::vector<instance_id> members() const;
    std::vector<instance_id> groups() const;

    /// Sums over all but one instance of the group.
    fleet_report sums_excluding(const instance_id& receiver) const;
    /// Sums over the group, with the demand for models.
    fleet_report group_sums() const;

private:
    struct source
    {
        bool is_member = true;
        bool alive = true;
        fleet_report report;
        time_point reported_at;
        /// Units that were learned from it.
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
