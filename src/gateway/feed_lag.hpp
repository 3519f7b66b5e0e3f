#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "common/clock.hpp"
#include "store/store_version.hpp"

namespace tarragonquay::gateway
{

/// Detects that the own copy of a versioned document falls behind the versions
/// that other instances report. A copy that follows with a constant delay is
/// not behind: only a version that is still missing after the allowed time
/// counts.
class feed_lag
{
public:
    /// Records a version that another instance has read from the store.
    void note(const store::store_version& reported,
        const store::store_version& own, time_point now)
    {
        drop_reached(own);
        const bool newer =
            reported > own &&
            (missing_.empty() || reported > missing_.back().version);
        // The oldest versions decide.
        if (newer && missing_.size() < max_missing)
            missing_.push_back({reported, now});
    }

    /// Whether a version that was reported at least `allowed` ago is missing.
    bool stalled(
        const store::store_version& own, time_point now, duration allowed)
    {
        drop_reached(own);
        return !missing_.empty() && now - missing_.front().heard_at >= allowed;
    }

    void clear() { missing_.clear(); }

private:
    /// More versions than are reported within the allowed time.
    static constexpr std::size_t max_missing = 256;

    struct missing_version
    {
        store::store_version version;
        time_point heard_at;
    };

    void drop_reached(const store::store_version& own)
    {
        while (!missing_.empty() && missing_.front().version <= own)
            missing_.pop_front();
    }

    /// In ascending order of versions and times.
    std::deque<missing_version> missing_;
};

} // namespace tarragonquay::gateway
