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
#include "routes/configuration.hpp"

namespace tarragonquay::limits
{

/// What an instance asks for and has admitted in one workspace, in units of
/// its limit.
struct workspace_demand
{
    workspace_id workspace;
    double units_per_second = 0;
    /// Since the start of the instance.
    double admitted_units = 0;

    auto operator<=>(const workspace_demand&) const = default;
};

/// State of one limit, for the log of a decision.
struct limit_state
{
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    /// Of the account that decides.
    double level = 0;
    double demand_of_all = 0;
    /// Part of the limit that this instance may use; 1 unless it is cut off.
    double part = 1;

    auto operator<=>(const limit_state&) const = default;
};

/// Limits of workspaces over all instances, without a message for a request.
/// The instances tell each other several times a second what they admit and
/// what their callers ask for.
///
/// Each instance keeps an account of the whole limit, which its own requests
/// and the admitted units that others tell are taken from. What was admitted
/// before it was told becomes a debt of the account, so the rate holds on
/// average and an excess is bounded by the demand of one telling interval. An
/// instance that does not hear of most others keeps to its part of the limit
/// instead: parts follow the demand and add up to the whole.
///
/// A request is admitted while the account is above zero, whatever it costs.
/// Otherwise small requests would leave nothing to large ones when a workspace
/// asks for more than its rate. Very small ones have a reserve below zero.
///
/// Unlike basic_limiter it needs no epochs in the store.
class fleet_limiter
{
public:
    /// Limits of a new configuration. A changed limit binds at once.
    void apply(
        const std::vector<routes::workspace>& workspaces, time_point now);

    /// Takes the units of one request. Fails with rate_limited; `retry_at`
    /// then tells when the account has enough.
    result<void> admit(const workspace_id& workspace, std::int64_t units,
        time_point now, time_point& retry_at);
    /// Returns the units of a request that was not run.
    void refund(
        const workspace_id& workspace, std::int64_t units, time_point now);

    /// Zeros for a workspace without a limit.
    limit_state state(const workspace_id& workspace, time_point now) const;

    /// What a request costs: the tokens that it names, or what the limit counts
    /// for a request without them.
    static std::int64_t cost(
        const routes::workspace& workspace, std::optional<std::int64_t> tokens);

    /// What another instance told, or a relay about `instances` others.
    /// `incarnation` changes when its count of admitted units begins anew.
    void put_peer_demands(const instance_id& peer, std::int64_t incarnation,
        const std::vector<workspace_demand>& demands, time_point now,
        std::int64_t instances = 1);
    /// Forgets a peer whose demand is told by another one from now on.
    void erase_peer(const instance_id& peer);
    /// Nothing is heard of an instance any more. Its demand still counts for a
    /// while, and for as long as most instances are not heard of: then it is
    /// rather this one that is cut off.
    void mark_peer_lost(const instance_id& peer, time_point now);

    /// Demand of this instance, for the others.
    std::vector<workspace_demand> own_demands(time_point now) const;

private:
    struct peer_demand
    {
        double units_per_second = 0;
        double admitted_units = 0;
    };
    struct account
    {
        std::int64_t rate = 0;
        std::int64_t burst = 0;
        /// Of the whole limit; negative after requests that others told late,
        /// and after one that exceeds the burst.
        double whole = 0;
        /// Of this instance's part.
        double part = 0;
        time_point refilled_at;
        double demand = 0;
        time_point demand_at;
        double admitted = 0;
        std::map<instance_id, peer_demand> peers;
    };
    struct peer
    {
        std::int64_t incarnation = 0;
        std::int64_t instances = 1;
        /// None while it is heard of.
        std::optional<time_point> lost_at;
    };

    double part_of(const account& of, time_point now) const;
    double demand_of_all(const account& of, time_point now) const;
    void refill(account& of, time_point now) const;
    bool cut_off() const;
    /// Instances of the fleet without this one.
    std::int64_t other_instances() const;
    void forget_lost_peers(time_point now);
    static double decayed_demand(const account& of, time_point now);
    static void take(account& from, double units);

    std::map<workspace_id, account> accounts_;
    std::map<instance_id, peer> peers_;
};

} // namespace tarragonquay::limits
