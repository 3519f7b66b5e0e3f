#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::dispatch
{

/// The number of instances that share the limit of an endpoint. More instances
/// find more requests for the endpoint, but each of them may send one request
/// at once: the platform allows 1.5 x 4 `rate` + 5 requests in 4 s, and
/// `holders` + 4 `rate` come. In a larger fleet, instances without a share
/// replace others, which is why two places are left free.
std::size_t limit_holders(double requests_per_second, std::size_t serving);

/// The rank of `self` among the instances that share the limit, from 0 on; no
/// value when it has no share. By rendezvous hashing over the instances that
/// serve callers: a change of the fleet moves few shares.
std::optional<std::size_t> limit_share_rank(const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    double requests_per_second);

/// The part of an endpoint's limit that this instance may use.
class limit_share
{
public:
    /// A new holder waits this long, until all instances know that it has
    /// replaced another one.
    static constexpr std::chrono::milliseconds handover_time{2'000};
    /// An unused place is kept this long for requests that no other endpoint
    /// can serve.
    static constexpr std::chrono::milliseconds reserve_time{500};
    /// Unused places of this time may be used at once, where a share is larger.
    static constexpr std::chrono::milliseconds max_burst{500};
    /// Lower limits count as this one: without any request, nobody would hear
    /// that the limit has ended.
    static constexpr double min_rate = 0.25;

    /// Ends the limit.
    void clear() { *this = limit_share(); }
    /// Sets the limit and the instances that serve callers. The first places of
    /// a new limit come one after the other in the fleet.
    void set(double requests_per_second, const instance_id& self,
        const std::vector<instance_id>& serving, const endpoint_id& endpoint,
        time_point now);

    bool limited() const { return limited_; }
    /// Whether a request may be sent now.
    bool admits(time_point now) const
    {
        return !limited_ || (rate_ && now >= next_place());
    }
    /// Whether this instance has a share, or the endpoint no limit.
    bool has_places() const { return !limited_ || rate_; }
    /// Whether places are scarce, so that other endpoints are preferred.
    bool scarce(time_point now) const
    {
        return limited_ && (!rate_ || now < next_place() + reserve_time);
    }
    /// When this instance may send the next request. For an instance without a
    /// share, when some other one may.
    time_point next_place(time_point now) const;
    /// Records a request. One that had no place takes a later one.
    void take(time_point now);

private:
    time_point next_place() const;

    bool limited_ = false;
    double fleet_rate_ = 0;
    /// Requests per second of this instance; no value when it has no share.
    std::optional<double> rate_;
    /// When the place after all that were taken is due.
    time_point due_at_{};
};

} // namespace tarragonquay::dispatch
