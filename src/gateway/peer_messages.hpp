#pragma once

#include <string>
#include <utility>
#include <vector>

#include "common/error.hpp"
#include "dispatch/evacuated_zones.hpp"
#include "fleet/roster.hpp"
#include "gateway/fleet_reports.hpp"
#include "gateway/model_demand.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

/// The models and adapters that one engine holds, as sent to other gateways.
struct engine_residency
{
    endpoint_id endpoint;
    std::int64_t started_unix_ms = 0;
    std::int64_t accepted_commands = 0;
    std::vector<endpoints::loaded_model> models;

    auto operator<=>(const engine_residency&) const = default;
};

/// Conversions between gateway messages and internal types.
void write(const fleet::member& from, peer::Fleet_member& to);
fleet::member read(const peer::Fleet_member& from);

using limited_process =
    std::pair<dispatch::endpoint_process, dispatch::endpoint_limit>;
void write(const limited_process& from, peer::Endpoint_limit& to);
limited_process read(const peer::Endpoint_limit& from);

void write(const dispatch::evacuated_zones& from, peer::Evacuated_zones& to);
result<dispatch::evacuated_zones> read(const peer::Evacuated_zones& from);
using cold_process =
    std::pair<dispatch::endpoint_process, dispatch::told_cold_phase>;
/// The end of the phase is told as a remaining time.
void write(const cold_process& from, time_point now, peer::Cold_endpoint& to);
cold_process read(const peer::Cold_endpoint& from, time_point now);

/// Writes the demands, loads and models of a report.
void write(const fleet_report& from, peer::Gateway_heartbeat& to);
fleet_report read_report(const peer::Gateway_heartbeat& from);

void write(const engine_residency& from, peer::Engine_residency& to);
engine_residency read(const peer::Engine_residency& from);

} // namespace tarragonquay::gateway
