#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "limits/types.hpp"
#include "membership/membership_view.hpp"
#include "peer.pb.h"

namespace tarragonquay::membership
{

/// Decides when the next epoch may open: no instance can hold shares of an
/// earlier epoch any more, because each removed member and each guest
/// (non-member that received shares) has either acknowledged the membership
/// change or can't hold a view lease.
class epoch_fence
{
public:
    explicit epoch_fence(catalog::member local) : local_(std::move(local)) {}

    using has_applied =
        std::function<bool(const catalog::member&, std::int64_t revision)>;
    /// Records the change from one applied view to the next; call it before the
    /// next view takes effect. `applied` returns whether a member is known to
    /// have applied a revision.
    void on_view_change(const membership_view& current,
        const membership_view& next, const has_applied& applied,
        time_point now);
    /// Records that majorities of the old and new members have acknowledged the
    /// last membership change.
    void on_settled(bool epoch_open, time_point now);
    /// Records the revision that the sender of a message has applied.
    void record_acknowledgement(
        const peer::Envelope& envelope, std::int64_t revision);

    /// Records the guests listed in a message.
    void record_guests(const peer::Envelope& envelope);
    /// Adds all known guests to a message; `own_guests` are the guests of this
    /// instance.
    void add_guests(
        const limits::guest_list& own_guests, peer::Envelope& envelope) const;

    /// Whether the epoch of a settled view may open. `settled_at` is when its
    /// membership change was acknowledged.
    bool may_open_epoch(const membership_view& view, time_point settled_at,
        const limits::guest_list& own_guests, time_point now) const;

private:
    /// A member that was removed after the last open epoch.
    struct removal
    {
        catalog::member member;
        std::int64_t revision = 0;
        /// When a majority became known to have acknowledged the removal.
        std::optional<time_point> settled_at;
        /// The member has applied its own removal, so its share is 0.
        bool acknowledged = false;
    };

    void record_removals(const membership_view& current,
        const membership_view& next, const has_applied& applied,
        time_point now);
    bool removed_are_fenced(const membership_view& view, time_point settled_at,
        time_point now) const;
    bool guests_are_fenced(const membership_view& view,
        const limits::guest_list& own_guests, time_point now) const;
    bool is_joined_or_removed(
        const membership_view& view, const std::string& incarnation) const;

    catalog::member local_;
    std::vector<removal> removals_;
    // False if a snapshot skipped membership changes after the last open epoch,
    // so that removed members may be missing from `removals_`.
    bool removals_complete_ = true;
    // The last epoch that was open in a view, and when the first membership
    // change after it became known to be settled.
    std::int64_t last_open_epoch_ = 0;
    std::optional<time_point> close_settled_at_;
    // Guests of the latest epoch that has any, as reported by other instances.
    limits::guest_list reported_guests_;
};

} // namespace tarragonquay::membership
