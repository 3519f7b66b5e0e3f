#include "daemon/identity.hpp"

#include <fmt/format.h>

#include "common/random.hpp"

namespace tarragonquay::daemon
{

std::string with_port(const std::string& address, int port)
{
    return fmt::format("{}:{}", address.substr(0, address.rfind(':')), port);
}

catalog::member make_member(
    const settings::daemon_settings& settings, const bound_addresses& bound)
{
    // An advertised address equals the listen address when it was not set; the
    // bound address is advertised then.
    const auto choose = [](const std::string& advertised,
                            const std::string& listen, const std::string& real)
    { return advertised == listen ? real : advertised; };
    catalog::member local;
    local.instance = settings.instance;
    local.incarnation = unique_id();
    local.peer_address =
        choose(settings.advertise.peer, settings.listen.peer, bound.peer);
    local.entry_address =
        choose(settings.advertise.entry, settings.listen.entry, bound.entry);
    local.availability_zone = settings.availability_zone;
    local.region = settings.region;
    return local;
}

} // namespace tarragonquay::daemon
