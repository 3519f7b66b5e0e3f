#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "peer.pb.h"

namespace tarragonquay::limits
{

/// What the heartbeats of other members say of their demand and level.
class demand_reports
{
public:
    /// Records the demands of the workspaces that exist here.
    void record(const instance_id& from, const peer::Heartbeat& heartbeat,
        const std::function<bool(const workspace_id&)>& exists, time_point now);
    void forget_demands() { demands_.clear(); }

    /// Tokens in the bucket of a member by its last report, or 0.
    std::int64_t level(
        const workspace_id& workspace, const instance_id& member) const;
    /// The member that lacks most tokens, at least `least`, and how many. A
    /// report is used once, so that it is not answered again before the next
    /// heartbeat.
    std::optional<std::pair<instance_id, std::int64_t>> take_neediest(
        const workspace_id& workspace, std::int64_t least);
    /// Members that take the shares of one that stops, with their weights.
    /// Those that stop or are silent are left out, unless there is no other.
    std::map<instance_id, std::int64_t> successors(
        const workspace_id& workspace, const std::vector<instance_id>& others,
        time_point now) const;

private:
    struct peer_demand
    {
        std::int64_t requested_tokens = 0;
        std::int64_t level_tokens = 0;
        // Whether level was given because of this report.
        bool answered = false;
    };
    struct peer_status
    {
        time_point heard_at;
        bool stopping = false;
    };

    const peer_demand* find(
        const workspace_id& workspace, const instance_id& member) const;

    std::map<instance_id, peer_status> peers_;
    std::map<workspace_id, std::map<instance_id, peer_demand>> demands_;
};

} // namespace tarragonquay::limits
