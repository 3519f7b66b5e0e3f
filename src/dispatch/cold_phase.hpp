#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// The cold phase of the endpoints of a service.
struct cold_rule
{
    /// Time for which an endpoint is cold after its start.
    duration cold_time{};
    /// Requests per second that a cold endpoint tolerates from all instances
    /// together.
    double requests_per_second = 0;

    auto operator<=>(const cold_rule&) const = default;
};

/// A cold phase as told among the instances. Each phase that an instance hears
/// of from the endpoint itself gets the next revision: the end is told as a
/// remaining time, which each message delays, so that instances which repeated
/// each other's ends would extend a phase for ever.
struct told_cold_phase
{
    /// 0 when the endpoint has never reported a phase.
    std::int64_t revision = 0;
    time_point until{};

    auto operator<=>(const told_cold_phase&) const = default;
};

/// Until when one process of an endpoint is cold, as learned from several
/// sources. The latest end that any of them reports holds. Until the process
/// has reported its state, it is assumed to be cold from its start.
class cold_phase
{
public:
    /// Reports of the same phase differ by the age of the messages.
    static constexpr std::chrono::milliseconds report_spread{1'000};

    cold_phase() = default;
    /// For a process that was `age` old when its entry came.
    explicit cold_phase(time_point entered_at, duration age = duration::zero())
        : assumed_from_(entered_at - age)
    {
    }

    /// Records what an entry says. It ends an assumed phase when it reports
    /// that the process is warm.
    void note_entry(time_point until, time_point now)
    {
        if (until <= now)
            assumed_from_.reset();
        note_answer(until, now);
    }
    /// Records what an answer of the process says.
    void note_answer(time_point until, time_point now)
    {
        if (until <= now || until <= reported_.until)
            return;
        if (until > reported_.until + report_spread)
            ++reported_.revision;
        reported_.until = until;
    }
    /// Records a phase of which another instance has told.
    void note_told(const told_cold_phase& told)
    {
        if (told.revision <= reported_.revision)
            return;
        reported_ = {told.revision, std::max(reported_.until, told.until)};
    }
    /// Records that the process is assumed to be cold from now on, until an
    /// entry reports that it is warm.
    void assume(time_point now) { assumed_from_ = now; }

    time_point until(const cold_rule& rule) const
    {
        return assumed_from_
                   ? std::max(reported_.until, *assumed_from_ + rule.cold_time)
                   : reported_.until;
    }
    const told_cold_phase& reported() const { return reported_; }

    auto operator<=>(const cold_phase&) const = default;

private:
    told_cold_phase reported_;
    std::optional<time_point> assumed_from_;
};

} // namespace tarragonquay::dispatch
