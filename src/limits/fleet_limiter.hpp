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

/// What an instance asks for in one workspace, in units of its limit a second.
struct workspace_demand
{
    workspace_id workspace;
    double units_per_second = 0;

    auto operator<=>(const workspace_demand&) const = default;
};

/// Limits of workspaces over all instances, split by demand. Each instance
/// gets the part of rate and burst that its demand has in the demand of all,
/// which the instances tell each other several times a second. No message is
/// needed for a request, and the parts add up to the whole as long as the
/// instances know the same demands. Unlike basic_limiter it needs no epochs in
/// the store; in exchange, the sum is exact only up to the age of the demands.
class fleet_limiter
{
public:
    /// Limits and keys of a new configuration. A changed limit binds at once.
    void apply(
        const std::vector<routes::workspace>& workspaces, time_point now);

    /// Takes the units of one request. Fails with rate_limited; `retry_at`
    /// then tells when the bucket has enough.
    result<void> admit(const workspace_id& workspace, std::int64_t units,
        time_point now, time_point& retry_at);
    /// Returns the units of a request that was not run.
    void refund(
        const workspace_id& workspace, std::int64_t units, time_point now);

    /// What a request costs: the tokens that it names, or what the limit counts
    /// for a request without them.
    static std::int64_t cost(
        const routes::workspace& workspace, std::optional<std::int64_t> tokens);

    /// Demand of another instance. It counts until it is told anew or the peer
    /// is erased.
    void put_peer_demands(
        const instance_id& peer, const std::vector<workspace_demand>& demands);
    void erase_peer(const instance_id& peer);
    /// Number of instances, this one included; a part of the limit is split
    /// evenly among them, so that one without demand can begin at once.
    void set_instances(std::int64_t count) { instances_ = count; }

    /// Demand of this instance, for the others.
    std::vector<workspace_demand> own_demands(time_point now) const;

private:
    struct bucket
    {
        std::int64_t rate = 0;
        std::int64_t burst = 0;
        /// May be negative: a request above the level is admitted when the
        /// bucket is full, else one that exceeds the burst never ran.
        double level = 0;
        time_point refilled_at;
        double demand = 0;
        time_point demand_at;
        std::map<instance_id, double> peers;
    };

    double part(const bucket& of, time_point now) const;
    void refill(bucket& of, time_point now) const;
    static double decayed_demand(const bucket& of, time_point now);

    std::map<workspace_id, bucket> buckets_;
    std::int64_t instances_ = 1;
};

} // namespace tarragonquay::limits
