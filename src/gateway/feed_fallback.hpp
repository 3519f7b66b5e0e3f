#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "common/clock.hpp"
#include "common/digest.hpp"
#include "common/ids.hpp"

namespace tarragonquay::gateway
{

/// Decides when an instance of a large fleet follows the store itself, because
/// it has heard of no working change feed. The instances begin one after the
/// other: those that begin first tell the others whether the store answers, and
/// a store that is away for a few seconds does not get the calls of the whole
/// fleet.
class feed_fallback
{
public:
    /// Time without news of a working feed after which the first instances
    /// follow the store.
    static constexpr std::chrono::milliseconds timeout{1'000};
    /// The other ones follow in steps of one heartbeat interval.
    static constexpr std::int64_t steps = 12;
    static constexpr std::chrono::milliseconds step{250};

    explicit feed_fallback(const instance_id& self)
        : step_index_(static_cast<std::int64_t>(fast_hash(self.str()) % steps))
    {
    }

    /// Records the latest known era of the store.
    void note_era(std::int64_t era) { era_ = std::max(era_, era); }
    /// Records that another instance has a working feed, whose documents are of
    /// this era of the store. A feed of an earlier era is no news: the store
    /// may have answered it before it was restored.
    void note_heard(std::int64_t era, time_point now)
    {
        if (era < era_)
            return;
        heard_era_ = era;
        current_until_ = now + timeout;
        follows_from_ = current_until_ + step * step_index_;
    }
    /// Whether a working feed was heard of so lately that the documents are
    /// current.
    bool current(time_point now) const
    {
        return now < current_until_ && heard_era_ >= era_;
    }
    /// Whether a working feed was ever heard of.
    bool heard() const { return current_until_ != time_point(); }
    /// Whether this instance follows the store. An instance that has not heard
    /// of a working feed yet does so at once.
    bool follows(time_point now) const { return now >= follows_from_; }

private:
    const std::int64_t step_index_;
    std::int64_t era_ = 0;
    std::int64_t heard_era_ = 0;
    time_point current_until_{};
    time_point follows_from_{};
};

} // namespace tarragonquay::gateway
