#include "events/recorder.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

#include "common/clock.hpp"

namespace tarragonquay::events
{

namespace
{

// Clocks of instances differ by less. Accepting a corrupted time further ahead
// would permanently advance this clock and, through its messages, the clocks of
// other instances.
constexpr std::int64_t max_clock_lead_ms = 24LL * 3600 * 1000;

using entry = std::pair<kind, std::string_view>;

constexpr std::array kind_names{
    entry{kind::process_started, "process_started"},
    entry{kind::process_stopping, "process_stopping"},
    entry{kind::revision_applied, "revision_applied"},
    entry{kind::membership_changed, "membership_changed"},
    entry{kind::epoch_opened, "epoch_opened"},
    entry{kind::member_silent, "member_silent"},
    entry{kind::view_lease_lost, "view_lease_lost"},
    entry{kind::view_lease_renewed, "view_lease_renewed"},
    entry{kind::key_withdrawn, "key_withdrawn"},
    entry{kind::stream_cancelled, "stream_cancelled"},
    entry{kind::request_refused, "request_refused"},
    entry{kind::order_recorded, "order_recorded"},
    entry{kind::order_dispatched, "order_dispatched"},
    entry{kind::order_completed, "order_completed"},
    entry{kind::order_outcome_unknown, "order_outcome_unknown"},
    entry{kind::order_not_run, "order_not_run"},
    entry{kind::order_resolved, "order_resolved"},
    entry{kind::shares_sent, "shares_sent"},
    entry{kind::shares_received, "shares_received"},
    entry{kind::placement_lease_taken, "placement_lease_taken"},
    entry{kind::placement_lease_lost, "placement_lease_lost"},
    entry{kind::command_sent, "command_sent"},
    entry{kind::command_concluded, "command_concluded"},
    entry{kind::endpoint_suspected, "endpoint_suspected"},
    entry{kind::endpoint_recovered, "endpoint_recovered"},
    entry{kind::endpoint_leaving, "endpoint_leaving"},
    entry{kind::store_unreachable, "store_unreachable"},
    entry{kind::store_reachable, "store_reachable"},
};

} // namespace

std::string to_string(kind value)
{
    for (const auto& [candidate, name] : kind_names)
    {
        if (candidate == value)
            return std::string(name);
    }
    return "unknown";
}

kind kind_from_string(const std::string& name)
{
    for (const auto& [value, candidate] : kind_names)
    {
        if (candidate == name)
            return value;
    }
    return kind::process_started;
}

recorder::recorder(std::string instance, std::size_t capacity)
    : instance_(std::move(instance)),
      capacity_(std::max<std::size_t>(1, capacity))
{
}

void recorder::record(
    events::kind kind, std::string subject, std::string detail)
{
    const std::lock_guard lock(mutex_);
    if (events_.size() == capacity_)
    {
        events_.pop_front();
        ++first_cursor_;
    }
    events_.push_back(
        {tick(), instance_, kind, std::move(subject), std::move(detail)});
}

void recorder::observe(timestamp remote)
{
    const std::lock_guard lock(mutex_);
    if (remote.logical < 0 || remote.wall_ms > unix_ms() + max_clock_lead_ms)
        return;
    last_ = std::max(last_, remote);
    tick();
}

timestamp recorder::now()
{
    const std::lock_guard lock(mutex_);
    return tick();
}

recorder::page recorder::since(std::int64_t cursor, std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    const auto available = static_cast<std::int64_t>(events_.size());
    // The cursor may come from a corrupted message.
    const auto begin =
        std::clamp(cursor, first_cursor_, first_cursor_ + available) -
        first_cursor_;
    const auto end = std::min<std::int64_t>(
        available, begin + static_cast<std::int64_t>(limit));
    return {{events_.begin() + begin, events_.begin() + end},
        first_cursor_ + end, std::max<std::int64_t>(first_cursor_ - cursor, 0)};
}

recorder::page recorder::latest(std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    const auto count = std::min(limit, events_.size());
    return {{events_.end() - static_cast<std::ptrdiff_t>(count), events_.end()},
        first_cursor_ + static_cast<std::int64_t>(events_.size()), 0};
}

// Returns the wall time, or the next timestamp after the last one if the wall
// clock has not moved past it.
timestamp recorder::tick()
{
    const auto wall = unix_ms();
    if (wall > last_.wall_ms)
        last_ = {wall, 0};
    else if (last_.logical == std::numeric_limits<std::int32_t>::max())
        last_ = {last_.wall_ms + 1, 0};
    else
        ++last_.logical;
    return last_;
}

std::vector<event> merge(std::vector<std::vector<event>> by_instance)
{
    std::vector<event> merged;
    for (auto& events : by_instance)
        merged.insert(merged.end(), events.begin(), events.end());
    std::stable_sort(merged.begin(), merged.end(),
        [](const event& left, const event& right)
        {
            return std::tie(left.time, left.instance) <
                   std::tie(right.time, right.instance);
        });
    return merged;
}

} // namespace tarragonquay::events
