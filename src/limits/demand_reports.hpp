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

/// Demand and bucket levels of the other members, from their heartbeats.
class demand_reports
{
public:
    /// Records the demands of one heartbeat, for the workspaces that exist
    /// here.
    void record(const instance_id& from, const peer::Heartbeat& heartbeat,
        const std::function<bool(const workspace_id&)>& exists, time_point now);
    void clear_demands() { demands_.clear(); }

    /// Tokens in the bucket of a member according to its last report; 0 without
    /// a report.
    std::int64_t level(
        const workspace_id& workspace, const instance_id& member) const;
    /// The member with the largest deficit of tokens, of at least `min_tokens`,
    /// and that deficit; none if there is no such member. Each report is
    /// returned only once, so that tokens are not sent twice for one heartbeat.
    std::optional<std::pair<instance_id, std::int64_t>> take_largest_deficit(
        const workspace_id& workspace, std::int64_t min_tokens);
    /// Members that take over the shares of a stopping one, with their weights.
    /// Members that are stopping or send no heartbeats are left out, unless
    /// there are no others.
    std::map<instance_id, std::int64_t> successors(
        const workspace_id& workspace, const std::vector<instance_id>& others,
        time_point now) const;

private:
    struct peer_demand
    {
        std::int64_t requested_tokens = 0;
        std::int64_t level_tokens = 0;
        // Whether `take_largest_deficit` has returned this report.
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
