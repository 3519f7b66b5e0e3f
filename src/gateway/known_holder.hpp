#pragma once

#include <algorithm>
#include <cstdint>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "placement/fencing.hpp"

namespace tarragonquay::gateway
{

/// The latest known holder of the placement lease, as reported by the holder
/// itself or by other gateways.
class known_holder
{
public:
    /// `heard_at` is when the holder reported its lease, to this gateway or to
    /// the one that relays the report.
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

    /// Records the latest known era of the store. A lease of an earlier era may
    /// be lost, so its holder does not count until it has acquired another.
    void note_era(std::int64_t era) { era_ = std::max(era_, era); }

    /// Records that an instance itself reports that it has no lease. Reports
    /// that others received from it earlier are ignored from then on.
    void note_without_lease(const instance_id& instance, time_point heard_at)
    {
        if (instance == holder_)
            ended_at_ = heard_at;
    }

    /// Whether the holder reported its lease within `allowed` and has not given
    /// it up since.
    bool alive(time_point now, duration allowed) const
    {
        return heard_at_ > ended_at_ && now - heard_at_ < allowed &&
               (era_ == 0 || placement::acquired_since(fencing_, era_));
    }

    const instance_id& id() const { return holder_; }
    /// Highest fencing number that was heard of.
    std::int64_t fencing() const { return fencing_; }
    time_point heard_at() const { return heard_at_; }

private:
    instance_id holder_;
    std::int64_t fencing_ = 0;
    std::int64_t era_ = 0;
    time_point heard_at_{};
    time_point ended_at_{};
};

} // namespace tarragonquay::gateway
