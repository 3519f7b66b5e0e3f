#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"
#include "limits/recent_units.hpp"
#include "routes/configuration.hpp"

namespace tarragonquay::limits
{

/// Demand and admitted units of an instance in one workspace, in the units of
/// the workspace's limit (tokens or requests).
struct workspace_demand
{
    workspace_id workspace;
    double units_per_second = 0;
    /// Total since the start of the instance.
    double admitted_units = 0;

    auto operator<=>(const workspace_demand&) const = default;
};

/// State of one limit, to be logged with a decision.
struct limit_state
{
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    /// Units in the level that currently decides: the global, the local, or the
    /// lower of both.
    double level = 0;
    /// Demand of all instances, in units per second.
    double demand_of_all = 0;
    /// Fraction of the limit that this instance may use; 1 unless it is
    /// partitioned from most others or the demand exceeds the rate.
    double part = 1;
    /// Whether this instance has admitted its part of the window's remainder,
    /// which the others do not know of yet.
    bool unreported = false;

    auto operator<=>(const limit_state&) const = default;
};

/// Enforces workspace limits across all instances without a message per
/// request. The instances report several times a second what they admitted and
/// what their callers request.
///
/// Each instance keeps a token bucket for the whole limit. Its own requests and
/// the units that others report as admitted are taken from that bucket. Units
/// that were admitted before they were reported become debt, so the rate holds
/// on average. While all instances together are asked for more than the rate,
/// each one also keeps to its fraction of the limit: otherwise all of them
/// would admit everything whenever the bucket seems to have units left, until
/// the reports arrive. An instance that loses contact with most others uses its
/// fraction alone. The fractions follow the demand and add up to the whole
/// limit.
///
/// A spike of demand is known to the others only from the next reports on.
/// Until then, each instance admits at most its fraction of what a window of
/// 8 s has left: the rate times 8 s and the burst, less what all are known to
/// have admitted. Without signs of a spike it may also admit what requests that
/// arrive at random need, since few instances need that at the same time.
///
/// A request is admitted while the level is above zero, whatever its cost.
/// Otherwise small requests would starve large ones when a workspace requests
/// more than its rate. Very small requests may also use a reserve below zero.
///
/// Unlike basic_limiter it needs no epochs in the store.
class fleet_limiter
{
public:
    /// Applies the limits of a new configuration. Changed limits take effect
    /// immediately.
    void apply(
        const std::vector<routes::workspace>& workspaces, time_point now);

    /// Takes the units of one request. Fails with `rate_limited` and sets
    /// `retry_at` to the estimated time at which the level reaches zero and the
    /// others know of enough admitted units, at most a minute from now.
    result<void> admit(const workspace_id& workspace, std::int64_t units,
        time_point now, time_point& retry_at);
    /// Takes the units of a repeat of a request that may have run, which is not
    /// refused.
    void charge(
        const workspace_id& workspace, std::int64_t units, time_point now);
    /// Refunds the units of a request that did not run.
    void refund(
        const workspace_id& workspace, std::int64_t units, time_point now);

    /// Default values for an unknown workspace.
    limit_state state(const workspace_id& workspace, time_point now) const;

    /// Units that a request costs: 1 if the limit counts requests; otherwise
    /// its tokens, or the workspace's default for a request without a token
    /// count.
    static std::int64_t cost(
        const routes::workspace& workspace, std::optional<std::int64_t> tokens);

    /// Records the demands that another instance reported, or that a relay
    /// reported for `instances` instances. A new `incarnation` means that the
    /// sender's count of admitted units restarted.
    void put_peer_demands(const instance_id& peer, std::int64_t incarnation,
        const std::vector<workspace_demand>& demands, time_point now,
        std::int64_t instances = 1);
    /// Removes a peer whose demand is reported by another peer from now on.
    void erase_peer(const instance_id& peer);
    /// Marks a peer that sends no more reports. Its demand still counts for a
    /// while, and for as long as most instances are lost, because then it is
    /// probably this instance that is partitioned.
    void mark_peer_lost(const instance_id& peer, time_point now);

    /// Demand of this instance, to be reported to the others.
    std::vector<workspace_demand> own_demands(time_point now) const;

private:
    struct peer_demand
    {
        double units_per_second = 0;
        double admitted_units = 0;
    };
    struct bucket
    {
        std::int64_t rate = 0;
        std::int64_t burst = 0;
        /// Units left of the whole limit. Negative after others reported units
        /// that they had admitted, and after a request that exceeds the level.
        double global_level = 0;
        /// Units left of this instance's fraction of the limit.
        double local_level = 0;
        time_point refilled_at;
        double demand = 0;
        time_point demand_at;
        double admitted = 0;
        /// Whether the demand exceeds the rate and has used up the level.
        bool contended = false;
        /// Units of the largest recent request.
        double largest_cost = 0;
        /// Units that callers requested here, that were admitted here, that
        /// others reported as admitted, and others' demand at each report.
        recent_units own_requested;
        recent_units own_admitted;
        recent_units others_admitted;
        recent_units others_requested;
        std::map<instance_id, peer_demand> peers;
    };
    struct peer
    {
        std::int64_t incarnation = 0;
        std::int64_t instances = 1;
        /// None while the peer sends reports.
        std::optional<time_point> lost_at;
    };

    /// The level that decides on a request, and the fraction of rate and burst
    /// that belongs to it.
    struct deciding_level
    {
        double units = 0;
        double fraction = 1;
    };

    /// Units that this instance may admit before the others know of them, and
    /// how many of them are left.
    struct budget
    {
        double share = 0;
        double left = 0;
    };

    deciding_level current_level(const bucket& limit, time_point now) const;
    /// Whether callers of all instances request more than the rate.
    bool oversubscribed(const bucket& limit, time_point now) const;
    double local_fraction(const bucket& limit, time_point now) const;
    double demand_of_all(const bucket& limit, time_point now) const;
    budget unreported_budget(const bucket& limit, time_point now) const;
    /// Whether the known units of one second of the window exceed the rate by
    /// far.
    static bool spiked_recently(const bucket& limit, time_point now);
    /// When units that were admitted here have become known to the others, so
    /// that the budget has room again.
    time_point budget_returns_at(
        double units, const bucket& limit, time_point now) const;
    bool has_budget_for(
        double units, const bucket& limit, time_point now) const;
    void update_contention(bucket& limit, time_point now) const;
    void refill(bucket& limit, time_point now) const;
    /// Whether more than half of the other instances are lost.
    bool partitioned() const;
    /// Number of instances in the fleet, without this one.
    std::int64_t other_instances() const;
    void forget_lost_peers(time_point now);
    static double decayed_demand(const bucket& limit, time_point now);
    static void take(bucket& from, double units, time_point now);

    std::map<workspace_id, bucket> buckets_;
    std::map<instance_id, peer> peers_;
};

} // namespace tarragonquay::limits
