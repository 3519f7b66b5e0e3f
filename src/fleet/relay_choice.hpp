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

/// Instances of a fleet up to this size tell each other everything directly.
/// In larger ones, each tells one relay of its availability zone, which passes
/// sums on, so that the messages of an instance do not grow with the fleet.
inline constexpr std::size_t max_direct_instances = 9;
/// Instances that one relay serves. At four messages a second each way this
/// takes about a tenth of an eighth of a core.
inline constexpr std::size_t instances_per_relay = 25;

/// The relays of an availability zone. Instances with more of a processor and
/// ready ones come first, then a fixed order, so that instances that know the
/// same members choose the same relays. `avoided` ones are left out.
std::vector<instance_id> relays_of_zone(const std::vector<member>& members,
    const std::string& zone, const std::set<instance_id>& avoided);

/// The relay of one instance; none when there are no relays.
std::optional<instance_id> relay_of(
    const instance_id& instance, const std::vector<instance_id>& relays);

} // namespace tarragonquay::fleet
