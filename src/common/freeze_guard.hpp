#pragma once

#include <chrono>

#include "common/clock.hpp"

namespace tarragonquay
{

/// Tells whether what the process knows may be outdated because the process
/// was frozen. A frozen process reads nothing; when it goes on, requests that
/// have arrived may be handled before the news that has arrived.
class freeze_guard
{
public:
    /// Time after a freeze in which the messages that have arrived meanwhile
    /// are read and the next heartbeats of others, 250 ms apart, arrive.
    static constexpr std::chrono::milliseconds settling_time{500};

    /// A guard that never reports a freeze.
    freeze_guard() = default;
    /// Reports freezes of at least `min_freeze`.
    explicit freeze_guard(duration min_freeze) : min_freeze_(min_freeze) {}

    /// From now on, freezes of at least this time are reported; none with 0.
    void set_min_freeze(duration min_freeze) { min_freeze_ = min_freeze; }

    /// Records that the process runs; must be called several times within
    /// `min_freeze`. Returns whether the process was frozen until now.
    bool note_running(time_point now)
    {
        const bool was_frozen = frozen(now);
        if (was_frozen)
        {
            frozen_since_ = running_at_;
            settled_at_ = now + settling_time;
        }
        running_at_ = now;
        return was_frozen;
    }

    /// Whether the process was frozen until now or until a short time ago.
    bool outdated(time_point now) const
    {
        return frozen(now) || now < settled_at_;
    }

    /// Begin of the latest freeze, and when the process has settled after it.
    time_point frozen_since() const { return frozen_since_; }
    time_point settled_at() const { return settled_at_; }

private:
    // Before the first record nothing is known of the process.
    bool frozen(time_point now) const
    {
        return min_freeze_ > duration::zero() && running_at_ != time_point() &&
               now - running_at_ >= min_freeze_;
    }

    duration min_freeze_{};
    time_point running_at_{};
    time_point frozen_since_{};
    time_point settled_at_{};
};

} // namespace tarragonquay
