#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tarragonquay::events
{

/// Hybrid logical clock: wall time, and a counter that preserves causal order
/// when the clocks of two instances differ.
struct timestamp
{
    std::int64_t wall_ms = 0;
    std::int32_t logical = 0;

    auto operator<=>(const timestamp&) const = default;
};

/// Type of an event; its name is the spelling of the enumerator.
enum class kind
{
    process_started,
    process_stopping,
    revision_applied,
    membership_changed,
    epoch_opened,
    member_silent,
    view_lease_lost,
    view_lease_renewed,
    key_withdrawn,
    stream_cancelled,
    request_refused,
    order_recorded,
    order_dispatched,
    order_completed,
    order_outcome_unknown,
    order_not_run,
    order_resolved,
    shares_sent,
    shares_received,
    placement_lease_taken,
    placement_lease_lost,
    command_sent,
    command_concluded,
    endpoint_suspected,
    endpoint_recovered,
    endpoint_leaving,
    store_unreachable,
    store_reachable
};

std::string to_string(kind value);
/// The kind with this name, or process_started if there is none.
kind kind_from_string(const std::string& name);

struct event
{
    timestamp time;
    std::string instance;
    events::kind kind = kind::process_started;
    /// Id of the workspace, key, endpoint, order or instance concerned.
    std::string subject;
    std::string detail;

    auto operator<=>(const event&) const = default;
};

/// Bounded buffer of the latest events of this process. Thread-safe.
class recorder
{
public:
    /// Keeps at most `capacity` events; older ones are dropped.
    recorder(std::string instance, std::size_t capacity);

    void record(
        events::kind kind, std::string subject, std::string detail = {});

    /// Advances the clock past a timestamp received from another instance.
    /// Ignores a negative counter or a time more than a day ahead.
    void observe(timestamp remote);

    /// Advances the clock and returns its value, to be sent with messages.
    timestamp now();

    struct page
    {
        std::vector<event> events;
        /// Pass to the next call to continue after this page.
        std::int64_t cursor = 0;
        /// Events after the given cursor that are no longer kept.
        std::int64_t dropped = 0;
    };
    /// Events after the cursor (0 for the oldest kept), at most `limit`.
    /// A cursor after the last event gives an empty page with a lower cursor.
    page since(std::int64_t cursor, std::size_t limit) const;
    /// The latest events, at most `limit`.
    page latest(std::size_t limit) const;

private:
    timestamp tick();

    const std::string instance_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<event> events_;
    std::int64_t first_cursor_ = 0;
    timestamp last_;
};

/// Merges the events of several instances in causal order.
std::vector<event> merge(std::vector<std::vector<event>> by_instance);

} // namespace tarragonquay::events
