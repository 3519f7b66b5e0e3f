#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::gateway
{

/// Chooses until when a call of a change feed waits at the store, so that the
/// calls of all instances that follow the store end one after the other.
///
/// Only an answer of the store shows that the connection of a feed still works.
/// With the ends spread, some instance of the fleet notices within
/// `max_distance` and the timeout of the call that connections have gone
/// silent, opens a new one, and tells the others what has changed. The calls of
/// the whole fleet do not become more frequent as it grows.
class feed_schedule
{
public:
    /// Longest time between the ends of two calls in the fleet. Together with
    /// the timeout of a call and the time to tell all others, it must be less
    /// than the 5 s (`contact_ms` and `config_apply_ms` of the platform) within
    /// which a change takes effect after the connections have gone silent.
    static constexpr std::chrono::milliseconds max_distance{1'000};
    /// Planned ends are known with this precision: others tell theirs with each
    /// heartbeat.
    static constexpr std::chrono::milliseconds tolerance{250};
    /// What an instance told is used for this long.
    static constexpr std::chrono::milliseconds report_lifetime{1'500};

    explicit feed_schedule(instance_id self) : self_(std::move(self)) {}

    /// Records when the current call of another instance ends.
    void put(const instance_id& peer, time_point ends_at, time_point now)
    {
        std::erase_if(reports_,
            [now](const auto& each) { return now >= each.second.valid_until; });
        reports_[peer] = {ends_at, now + report_lifetime};
    }
    /// Removes an instance that has no call.
    void erase(const instance_id& peer) { reports_.erase(peer); }

    /// The end of a call that begins now, at most `max_wait` away. After an
    /// answer with changes, the other instances begin their calls now, too.
    time_point next_end(
        time_point now, duration max_wait, bool after_changes) const
    {
        std::vector<time_point> planned;
        std::size_t chosen_before = 0;
        for (const auto& [peer, report] : reports_)
        {
            if (now >= report.valid_until)
                continue;
            const auto ends_at = report.ends_at;
            const bool begins_now =
                after_changes ||
                (ends_at >= now - tolerance && ends_at <= now + tolerance);
            if (begins_now && peer < self_)
                ++chosen_before;
            else if (!begins_now && ends_at > now)
                planned.push_back(ends_at);
        }
        std::sort(planned.begin(), planned.end());
        return fill_gap(planned, now, now + max_wait, chosen_before);
    }

    /// Whether the own call is the first of the fleet to end, and ends too
    /// late, since the instances whose calls were to end before it are gone.
    bool ends_too_late(time_point own_end, time_point now) const
    {
        if (own_end <= now + max_distance + 2 * tolerance)
            return false;
        return std::none_of(reports_.begin(), reports_.end(),
            [&](const auto& each)
            {
                const auto& [peer, report] = each;
                return now < report.valid_until &&
                       report.ends_at >= now - tolerance &&
                       std::tie(report.ends_at, peer) <
                           std::tie(own_end, self_);
            });
    }

private:
    struct report
    {
        time_point ends_at;
        time_point valid_until;
    };

    // Instances that choose at the same time take the first gaps in the order
    // of their ids.
    static time_point fill_gap(const std::vector<time_point>& planned,
        time_point now, time_point latest, std::size_t chosen_before)
    {
        auto last = now;
        auto next = planned.begin();
        while (true)
        {
            const auto end = last + max_distance;
            if (next != planned.end() && *next <= end + tolerance)
            {
                last = *next++;
                continue;
            }
            if (end >= latest)
                return latest;
            if (chosen_before == 0)
                return end;
            --chosen_before;
            last = end;
        }
    }

    instance_id self_;
    std::map<instance_id, report> reports_;
};

} // namespace tarragonquay::gateway
