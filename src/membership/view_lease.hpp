#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::membership
{

/// How long a renewal is valid, counted from the time its request was sent.
inline constexpr duration view_lease_validity = std::chrono::seconds(5);

/// Smallest number of members that forms a majority.
inline std::size_t majority_of(std::size_t members)
{
    return members / 2 + 1;
}

/// Time-limited permission of this instance to serve keyed requests. It is
/// renewed by the store or by a majority of the committed members, but only
/// once all changes that they reported are applied on this instance.
template <clock_source Clock>
class view_lease
{
public:
    view_lease(Clock clock, instance_id local, std::string incarnation,
        duration validity = view_lease_validity)
        : clock_(std::move(clock)),
          local_(std::move(local)),
          incarnation_(std::move(incarnation)),
          validity_(validity)
    {
    }

    /// Sets the committed members and the revision applied on this instance.
    void update(const std::vector<catalog::member>& members,
        std::int64_t applied_revision)
    {
        // A reply counts for one incarnation only: a restarted instance may
        // have lost revisions that it acknowledged before.
        std::map<instance_id, peer_reply> kept;
        for (const auto& member : members)
        {
            const auto found = replies_.find(member.instance);
            if (found != replies_.end() &&
                found->second.incarnation == member.incarnation)
                kept.insert(*found);
        }
        replies_ = std::move(kept);
        members_ = members;
        applied_revision_ = std::max(applied_revision_, applied_revision);
        renew();
    }

    /// Records that the store answered a read of the head row; `head` is the
    /// revision that it returned.
    void renew_from_store(time_point request_sent_at, std::int64_t head)
    {
        if (!latest_store_read_ || request_sent_at >= latest_store_read_->first)
            latest_store_read_ = {request_sent_at, head};
        renew();
    }

    /// Records a member's reply to a heartbeat. Replies from instances or
    /// incarnations that are not committed members are ignored.
    void record_peer_reply(const instance_id& peer,
        const std::string& incarnation, time_point heartbeat_sent_at,
        std::int64_t peer_applied_revision)
    {
        if (peer == local_ || !is_member(peer, incarnation))
            return;
        auto& latest = replies_[peer];
        if (latest.incarnation == incarnation &&
            heartbeat_sent_at < latest.sent_at)
            return;
        latest = {incarnation, heartbeat_sent_at, peer_applied_revision};
        renew();
    }

    /// Time at which the lease expires; in the past if there is no lease.
    time_point deadline() const
    {
        // A single member always forms a majority by itself.
        if (members_.size() == 1 && is_member(local_, incarnation_))
            return clock_.now() + validity_;
        return deadline_;
    }

    bool valid(time_point now) const { return now < deadline(); }

private:
    struct peer_reply
    {
        std::string incarnation;
        time_point sent_at;
        std::int64_t revision = 0;
    };

    bool is_member(
        const instance_id& instance, const std::string& incarnation) const
    {
        return std::any_of(members_.begin(), members_.end(),
            [&](const catalog::member& member) {
                return member.instance == instance &&
                       member.incarnation == incarnation;
            });
    }

    void renew()
    {
        if (latest_store_read_ &&
            latest_store_read_->second <= applied_revision_)
            extend(latest_store_read_->first);
        renew_from_peers();
    }

    // A member that reported a higher revision can't count towards the
    // majority. Of the others, those with the latest heartbeats extend the
    // lease most.
    void renew_from_peers()
    {
        std::size_t needed = majority_of(members_.size());
        if (members_.empty())
            return;
        if (is_member(local_, incarnation_))
            --needed;
        std::vector<time_point> sent;
        for (const auto& [peer, reply] : replies_)
        {
            if (reply.revision <= applied_revision_)
                sent.push_back(reply.sent_at);
        }
        if (needed == 0 || sent.size() < needed)
            return;
        std::sort(sent.begin(), sent.end(), std::greater<>());
        extend(sent[needed - 1]);
    }

    void extend(time_point sent_at)
    {
        deadline_ = std::max(deadline_, sent_at + validity_);
    }

    Clock clock_;
    instance_id local_;
    std::string incarnation_;
    duration validity_;
    std::vector<catalog::member> members_;
    std::int64_t applied_revision_ = 0;
    std::map<instance_id, peer_reply> replies_;
    std::optional<std::pair<time_point, std::int64_t>> latest_store_read_;
    time_point deadline_{};
};

} // namespace tarragonquay::membership
