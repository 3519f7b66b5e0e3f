#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/request_bound.hpp"

namespace tarragonquay::dispatch
{

/// The number of instances that share the capacity of an endpoint. More
/// instances find more requests for the endpoint, but each of them may send one
/// request at once: the bound allows `rate` x window x overshoot + slack in
/// each window, and `holders` + `rate` x window come.
std::size_t limit_holders(double requests_per_second, std::size_t serving,
    const request_bound& bound = advertised_limit_bound);

/// The rank of `self` among the instances that share the capacity, from 0 on;
/// no value when it has no share. By rendezvous hashing over the instances that
/// serve callers: a change of the fleet moves few shares.
std::optional<std::size_t> limit_share_rank(const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    double requests_per_second,
    const request_bound& bound = advertised_limit_bound);

/// The part of an endpoint's capacity that one instance may use.
struct share_part
{
    std::size_t rank = 0;
    double requests_per_second = 0;

    auto operator<=>(const share_part&) const = default;
};

/// The part of `self`; no value when it has none.
std::optional<share_part> find_share_part(const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    double requests_per_second, const request_bound& bound);

/// The part of an endpoint's capacity that this instance may use.
class limit_share
{
public:
    /// A new holder waits this long, until all instances know that it has
    /// replaced another one.
    static constexpr std::chrono::milliseconds handover_time{2'000};
    /// An unused place is kept this long for requests that no other endpoint
    /// can serve.
    static constexpr std::chrono::milliseconds reserve_time{500};
    /// Lower limits count as this one: without any request, nobody would hear
    /// that the limit has ended.
    static constexpr double min_rate = 0.25;

    explicit limit_share(const request_bound& bound = advertised_limit_bound)
        : bound_(bound)
    {
    }

    /// Ends the limit.
    void clear() { *this = limit_share(bound_); }
    /// Sets the limit and the instances that serve callers. The first places of
    /// a new limit come one after the other in the fleet. An instance that
    /// becomes a holder later waits for `handover_time`.
    void set(double requests_per_second, const instance_id& self,
        const std::vector<instance_id>& serving, const endpoint_id& endpoint,
        time_point now);
    /// Sets the limit and a part that no other instance uses any longer. The
    /// first places come one after the other in the fleet. Requests that were
    /// counted before still delay the next one.
    void set_part(double requests_per_second,
        const std::optional<share_part>& part, time_point now);

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

    request_bound bound_;
    bool limited_ = false;
    double fleet_rate_ = 0;
    /// Requests per second of this instance; no value when it has no share.
    std::optional<double> rate_;
    /// When the place after all that were taken is due.
    time_point due_at_{};
};

} // namespace tarragonquay::dispatch
