#include "dispatch/endpoint_capacity.hpp"

namespace tarragonquay::dispatch
{

bool endpoint_capacity::note_phase(const instance_id& self,
    const recent_fleets& fleets, const endpoint_id& endpoint, time_point now)
{
    if (!cold(now))
        return false;
    const bool begins = share_until_ <= now;
    share_until_ = cold_until();
    if (!begins)
        return false;
    // Without a part in between, the first places of the phase come one after
    // the other in the fleet.
    cold_share_.set_part(warm_up_->rule.requests_per_second, std::nullopt, now);
    update_part(self, fleets, endpoint, now);
    return true;
}

void endpoint_capacity::update_part(const instance_id& self,
    const recent_fleets& fleets, const endpoint_id& endpoint, time_point now)
{
    if (!cold(now))
        return;
    const auto rate = warm_up_->rule.requests_per_second;
    cold_share_.set_part(
        rate, fleets.smallest_part(self, endpoint, rate, warm_up_->bound), now);
}

time_point endpoint_capacity::next_place(time_point now) const
{
    const auto named = named_.next_place(now);
    return cold(now) ? std::max(named,
                           std::min(cold_until(), cold_share_.next_place(now)))
                     : named;
}

} // namespace tarragonquay::dispatch
