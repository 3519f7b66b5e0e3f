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
    /// Encodes the demand of this instance for the other instances.
    static peer::Demand_report encode(
        const std::vector<routing::demand_entry>& own, time_point now);

    /// Fails with `malformed_message` for values out of range and with
    /// `payload_too_large` for too many entries or instances; the earlier
    /// report is kept.
    result<void> receive(const instance_id& from,
        const peer::Demand_report& report, time_point now);

    /// Sum of the own demand and of the reports of other instances that are
    /// less than 5 s old, one entry per model and adapter.
    std::vector<routing::demand_entry> total(
        const std::vector<routing::demand_entry>& own, time_point now) const;

private:
    struct received_report
    {
        std::vector<routing::demand_entry> entries;
        time_point received_at;
    };
    std::map<instance_id, received_report> reports_;
};

} // namespace tarragonquay::daemon
