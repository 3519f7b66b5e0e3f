#pragma once

#include <algorithm>
#include <cstdint>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::gateway
{

/// The latest holder of the placement lease that this gateway has heard of,
/// from the holder itself or from others.
class known_holder
{
public:
    /// `heard_at` is when the holder said so to whoever passes it on.
    void note(
        const instance_id& holder, std::int64_t fencing, time_point heard_at)
    {
        const bool same = holder == holder_ && fencing == fencing_;
        if (fencing < fencing_ || (same && heard_at <= ended_at_))
            return;
        if (!same)
            heard_at_ = heard_at;
        holder_ = holder;
        fencing_ = fencing;
        heard_at_ = std::max(heard_at_, heard_at);
    }

    /// An instance says itself that it has no lease. What others heard of it
    /// before does not count any more.
    void note_without_lease(const instance_id& instance, time_point heard_at)
    {
        if (instance == holder_)
            ended_at_ = heard_at;
    }

    /// Whether the holder was heard of within `allowed` and has not ended.
    bool alive(time_point now, duration allowed) const
    {
        return heard_at_ > ended_at_ && now - heard_at_ < allowed;
    }

    const instance_id& id() const { return holder_; }
    std::int64_t fencing() const { return fencing_; }
    time_point heard_at() const { return heard_at_; }

private:
    instance_id holder_;
    std::int64_t fencing_ = 0;
    time_point heard_at_{};
    time_point ended_at_{};
};

} // namespace tarragonquay::gateway
