#pragma once

#include "catalog/types.hpp"
#include "settings/settings.hpp"

namespace tarragonquay::daemon
{

/// Bound addresses, which differ from the settings where a port was 0.
struct bound_addresses
{
    std::string entry;
    std::string peer;
};

/// This process as a member, with a new incarnation.
catalog::member make_member(
    const settings::daemon_settings& settings, const bound_addresses& bound);

/// Replaces the port of "ip:port".
std::string with_port(const std::string& address, int port);

} // namespace tarragonquay::daemon
