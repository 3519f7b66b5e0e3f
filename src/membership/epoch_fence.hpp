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

/// Decides when nobody can hold shares of an earlier epoch any more, so that
/// the next one may open: removed members and guests have acknowledged, or
/// can't hold a view lease.
class epoch_fence
{
public:
    explicit epoch_fence(catalog::member local) : local_(std::move(local)) {}

    using has_applied =
        std::function<bool(const catalog::member&, std::int64_t revision)>;
    /// Notes the change from one applied view to the next, before the next is
    /// in effect. `applied` tells what the members are known to have applied.
    void on_view(const membership_view& current, const membership_view& next,
        const has_applied& applied, time_point now);
    /// Notes that the last membership change is acknowledged by majorities.
    void on_settled(bool epoch_open, time_point now);
    /// Notes what the sender of a message has applied.
    void acknowledge(const peer::Envelope& envelope, std::int64_t revision);

    /// Notes the guests that a message names.
    void note_guests(const peer::Envelope& envelope);
    /// Names all known guests; `given` are those of this instance.
    void name_guests(
        const limits::guest_list& given, peer::Envelope& envelope) const;

    /// Whether the epoch of a settled view may open.
    bool is_clear(const membership_view& view, time_point settled_at,
        const limits::guest_list& given, time_point now) const;

private:
    /// A member that was removed since an epoch was last open.
    struct removal
    {
        catalog::member member;
        std::int64_t revision = 0;
        /// Since when a majority is known to have acknowledged the removal.
        std::optional<time_point> settled_at;
        /// The member applied its own removal, so its share is 0.
        bool acknowledged = false;
    };

    void note_removals(const membership_view& current,
        const membership_view& next, const has_applied& applied,
        time_point now);
    bool removed_are_fenced(const membership_view& view, time_point settled_at,
        time_point now) const;
    bool guests_are_fenced(const membership_view& view,
        const limits::guest_list& given, time_point now) const;
    bool is_joined_or_removed(
        const membership_view& view, const std::string& incarnation) const;

    catalog::member local_;
    std::vector<removal> removals_;
    // False when membership changes since the last open epoch were skipped
    // by a snapshot, so that `removals_` may lack members.
    bool knows_removals_ = true;
    // The last epoch that was seen open, and since when the first membership
    // change after it is known to be settled.
    std::int64_t last_open_epoch_ = 0;
    std::optional<time_point> close_settled_at_;
    // Guests of the latest epoch that has any, by the messages of others.
    limits::guest_list reported_guests_;
};

} // namespace tarragonquay::membership
