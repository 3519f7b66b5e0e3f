#pragma once

#include <algorithm>
#include <optional>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/cold_phase.hpp"
#include "dispatch/limit_share.hpp"
#include "dispatch/recent_fleets.hpp"

namespace tarragonquay::dispatch
{

/// The cold phases of a service, and the bound of what a cold endpoint gets.
struct warm_up
{
    cold_rule rule;
    request_bound bound;

    auto operator<=>(const warm_up&) const = default;
};

/// The requests that this instance may send to an endpoint, by the limit that
/// the endpoint has named and by its warm-up. When both apply, the stricter one
/// holds.
class endpoint_capacity
{
public:
    /// The part of a named limit.
    limit_share& named() { return named_; }
    const limit_share& named() const { return named_; }

    /// Sets the cold phase of the service; no value when it has none.
    void set_warm_up(const std::optional<warm_up>& warm_up)
    {
        if (warm_up_ == warm_up)
            return;
        warm_up_ = warm_up;
        cold_share_ = warm_up ? limit_share(warm_up->bound) : limit_share();
        share_until_ = {};
    }
    bool has_warm_up() const { return warm_up_.has_value(); }
    /// The state that sources have reported. `note_phase` must follow a change.
    cold_phase& phase() { return phase_; }
    const cold_phase& phase() const { return phase_; }
    /// Sets the part of this instance if a cold phase begins; returns whether
    /// one does.
    bool note_phase(const instance_id& self, const recent_fleets& fleets,
        const endpoint_id& endpoint, time_point now);
    /// Sets the part of this instance in a cold phase after a change of the
    /// fleet.
    void update_part(const instance_id& self, const recent_fleets& fleets,
        const endpoint_id& endpoint, time_point now);

    /// End of the current cold phase, which may have passed.
    time_point cold_until() const
    {
        return warm_up_ ? phase_.until(warm_up_->rule) : time_point();
    }
    bool cold(time_point now) const { return now < cold_until(); }
    /// Whether the endpoint takes only some of the usual requests.
    bool limited(time_point now) const { return named_.limited() || cold(now); }
    /// Whether a request may be sent now.
    bool admits(time_point now) const
    {
        return named_.admits(now) && (!cold(now) || cold_share_.admits(now));
    }
    /// Whether the endpoint accepts requests but has no place because it is
    /// cold.
    bool waits_for_warm_up(time_point now) const
    {
        return cold(now) && !cold_share_.admits(now);
    }
    /// Whether this instance has a share of each limit that applies.
    bool has_places(time_point now) const
    {
        return named_.has_places() && (!cold(now) || cold_share_.has_places());
    }
    /// Whether other endpoints are preferred.
    bool scarce(time_point now) const
    {
        return named_.scarce(now) || cold(now);
    }
    /// When this instance, or another one if this one has no share, may send
    /// the next request.
    time_point next_place(time_point now) const;
    /// Records a request.
    void take(time_point now)
    {
        named_.take(now);
        if (cold(now))
            cold_share_.take(now);
    }

private:
    limit_share named_;
    std::optional<warm_up> warm_up_;
    cold_phase phase_;
    limit_share cold_share_;
    /// End of the phase for which `cold_share_` was set.
    time_point share_until_{};
};

} // namespace tarragonquay::dispatch
