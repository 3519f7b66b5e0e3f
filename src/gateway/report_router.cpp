#include "gateway/report_router.hpp"

#include "fleet/relay_choice.hpp"

namespace tarragonquay::gateway
{

namespace
{

/// Number of instances below the limit at which a fleet returns to direct
/// reports. The hysteresis keeps a fleet of about that size from switching
/// modes each time an instance joins or leaves.
constexpr std::size_t mode_hysteresis = 2;

} // namespace

void report_router::update(const fleet::roster& roster, time_point now)
{
    auto members = roster.others();
    const auto& self = roster.self();
    members.push_back(self);
    self_ = self.id;
    const auto limit = relayed_ ? fleet::max_direct_instances - mode_hysteresis
                                : fleet::max_direct_instances;
    relayed_ = members.size() > limit;
    reports_.expire(now);
    chosen_relays_.clear();
    if (!relayed_)
    {
        relay_ = instance_id();
        acts_as_relay_ = false;
        return;
    }
    choose_relay(members, self, now);
    std::set<std::string> zones;
    for (const auto& each : members)
        zones.insert(each.availability_zone);
    acts_as_relay_ = relay_ == self_ || !reports_.members().empty();
    if (!acts_as_relay_)
        return;
    for (const auto& zone : zones)
        for (const auto& each : fleet::relays_of_zone(members, zone, {}))
            chosen_relays_.insert(each);
}

void report_router::choose_relay(const std::vector<fleet::member>& members,
    const fleet::member& self, time_point now)
{
    const bool timed_out = !relay_.empty() && relay_ != self.id &&
                           now - relay_heard_at_ >= relay_timeout;
    if (timed_out)
        avoided_until_[relay_] = now + relay_avoidance_period;
    std::set<instance_id> avoided;
    std::erase_if(
        avoided_until_, [now](const auto& each) { return now >= each.second; });
    for (const auto& [id, until] : avoided_until_)
        avoided.insert(id);
    const auto relays =
        fleet::relays_of_zone(members, self.availability_zone, avoided);
    const auto chosen = fleet::relay_of(self.id, relays).value_or(self.id);
    if (chosen == relay_)
        return;
    relay_ = chosen;
    // The timeout of the new relay starts now.
    relay_heard_at_ = now;
}

std::vector<instance_id> report_router::other_relays() const
{
    auto all = chosen_relays_;
    // Members of another zone may have replaced a relay that this instance
    // still considers alive.
    for (const auto& each : reports_.groups())
        all.insert(each);
    all.erase(self_);
    return {all.begin(), all.end()};
}

} // namespace tarragonquay::gateway
