#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/limit_share.hpp"

namespace tarragonquay::dispatch
{

/// The views of the fleet that this instance had lately. An instance uses the
/// smallest part of an endpoint's capacity that any of them gives it. All
/// instances notice a change within `max_notice_time`, so all have had one view
/// in common within `history_time`, and what they use together is at most what
/// that view gives out.
class recent_fleets
{
public:
    /// Time in which all instances notice a change.
    static constexpr std::chrono::milliseconds max_notice_time{1'000};
    /// Views of a second are common to all instances that send requests within
    /// the same window of a second.
    static constexpr duration history_time = limit_share::handover_time;
    /// An instance that was lost keeps its part for this long: it may be cut
    /// off and go on sending requests.
    static constexpr std::chrono::seconds lost_part_time{30};

    /// Records which instances serve callers, sorted; returns whether parts may
    /// have changed. Must be called several times a second.
    bool note(const std::vector<instance_id>& serving, time_point now);
    /// The smallest part of `self` in the views; no value when one of them
    /// gives it none.
    std::optional<share_part> smallest_part(const instance_id& self,
        const endpoint_id& endpoint, double requests_per_second,
        const request_bound& bound) const;

private:
    struct view
    {
        std::vector<instance_id> members;
        /// When the next view replaced it.
        time_point until = time_point::max();
    };

    std::vector<instance_id> with_lost(
        const std::vector<instance_id>& serving, time_point now);

    void add_view(std::vector<instance_id> members, time_point now);

    /// Oldest first. Begins with an empty fleet: an instance that starts may
    /// use its parts once all others know of it.
    std::deque<view> views_{view()};
    /// When an instance last served callers.
    std::map<instance_id, time_point> seen_at_;
    std::optional<time_point> noted_at_;
};

} // namespace tarragonquay::dispatch
