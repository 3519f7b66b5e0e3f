#include "dispatch/evacuated_zones.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/plain_name.hpp"

namespace tarragonquay::dispatch
{

result<evacuated_zones> evacuated_zones::create(
    store::store_version version, std::set<std::string> zones)
{
    if (version.version < 0 || version.era < 0)
        return fail(error_code::malformed_message, "the version is negative");
    if (!std::all_of(zones.begin(), zones.end(),
            [](const std::string& zone) { return is_plain_name(zone); }))
        return fail(
            error_code::malformed_message, "the zone has no plain name");
    evacuated_zones out;
    out.version_ = version;
    out.zones_ = std::move(zones);
    return out;
}

std::set<std::string> evacuated_zones::added_by(
    const evacuated_zones& next) const
{
    std::set<std::string> out;
    std::set_difference(next.zones_.begin(), next.zones_.end(), zones_.begin(),
        zones_.end(), std::inserter(out, out.end()));
    return out;
}

} // namespace tarragonquay::dispatch
