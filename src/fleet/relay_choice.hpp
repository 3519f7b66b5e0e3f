#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "fleet/roster.hpp"

namespace tarragonquay::fleet
{

/// Instances of a fleet of at most this size report to each other directly. In
/// a larger fleet, each instance reports to one relay of its availability zone,
/// which forwards sums, so that the messages per instance do not grow with the
/// fleet.
inline constexpr std::size_t max_direct_instances = 9;
/// Instances per relay. At four messages per second in each direction they use
/// about a tenth of an eighth of a core.
inline constexpr std::size_t instances_per_relay = 25;

/// Chooses the relays of an availability zone, without the `excluded`
/// instances. Ready instances are preferred, then those with a larger processor
/// share, then a fixed order, so that instances that know the same members
/// choose the same relays.
std::vector<instance_id> relays_of_zone(const std::vector<member>& members,
    const std::string& zone, const std::set<instance_id>& excluded);

/// The relay that an instance reports to; none if there are no relays. A relay
/// reports to itself.
std::optional<instance_id> relay_of(
    const instance_id& instance, const std::vector<instance_id>& relays);

} // namespace tarragonquay::fleet
