#include "dispatch/recent_fleets.hpp"

#include <algorithm>
#include <utility>

namespace tarragonquay::dispatch
{

std::vector<instance_id> recent_fleets::with_lost(
    const std::vector<instance_id>& serving, time_point now)
{
    for (const auto& each : serving)
        seen_at_[each] = now;
    std::erase_if(seen_at_, [now](const auto& each)
        { return each.second + lost_part_time <= now; });
    std::vector<instance_id> out;
    out.reserve(seen_at_.size());
    for (const auto& [id, seen_at] : seen_at_)
        out.push_back(id);
    return out;
}

void recent_fleets::add_view(std::vector<instance_id> members, time_point now)
{
    views_.back().until = now;
    views_.push_back({std::move(members), time_point::max()});
}

bool recent_fleets::note(
    const std::vector<instance_id>& serving, time_point now)
{
    bool changed = false;
    // A process that was suspended has missed changes, so it uses its parts
    // like one that starts.
    if (noted_at_ && now - *noted_at_ > max_notice_time)
    {
        add_view({}, now);
        changed = true;
    }
    noted_at_ = now;
    auto members = with_lost(serving, now);
    if (members != views_.back().members)
    {
        add_view(std::move(members), now);
        changed = true;
    }
    while (views_.size() > 1 && views_.front().until + history_time <= now)
    {
        views_.pop_front();
        changed = true;
    }
    return changed;
}

std::optional<share_part> recent_fleets::smallest_part(const instance_id& self,
    const endpoint_id& endpoint, double requests_per_second,
    const request_bound& bound) const
{
    std::optional<share_part> out;
    for (const auto& each : views_)
    {
        const auto part = find_share_part(
            self, each.members, endpoint, requests_per_second, bound);
        if (!part)
            return std::nullopt;
        const auto rate =
            out ? std::min(out->requests_per_second, part->requests_per_second)
                : part->requests_per_second;
        out = share_part{part->rank, rate};
    }
    return out;
}

} // namespace tarragonquay::dispatch
