#pragma once

#include <map>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "peer.pb.h"
#include "routing/demand.hpp"

namespace tarragonquay::daemon
{

/// Sums the demand of all instances, for the holder of the placement lease.
/// For the control thread.
class demand_exchange
{
public:
    /// Demand of this instance as a message for the others.
    static peer::Demand_report encode(
        const std::vector<routing::demand_entry>& own, time_point now);

    /// Fails with `malformed_message` for values out of range and with
    /// `payload_too_large` for too many entries; the earlier report stays.
    result<void> receive(const instance_id& from,
        const peer::Demand_report& report, time_point now);

    /// Own demand and the fresh reports of others, summed.
    std::vector<routing::demand_entry> total(
        const std::vector<routing::demand_entry>& own, time_point now) const;

private:
    struct remote
    {
        std::vector<routing::demand_entry> entries;
        time_point received_at;
    };
    std::map<instance_id, remote> remotes_;
};

} // namespace tarragonquay::daemon
