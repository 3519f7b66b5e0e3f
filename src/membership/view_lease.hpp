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

/// F: how long a renewal permits serving, counted from its request.
inline constexpr duration view_lease_validity = std::chrono::seconds(5);

/// Number of members that makes a majority.
inline std::size_t majority_of(std::size_t members)
{
    return members / 2 + 1;
}

/// Time-limited permission of this instance to serve keyed requests. It is
/// renewed by the store or by a majority of the committed members, and only
/// when all changes that they reported are applied here.
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

    /// Sets the committed membership and the revision that are applied here.
    void update(const std::vector<catalog::member>& members,
        std::int64_t applied_revision)
    {
        // A reply counts for one incarnation: a restarted instance may have
        // lost revisions that it acknowledged before.
        std::map<instance_id, observation> kept;
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

    /// Records that the store answered a read of the head row.
    void renew_from_store(time_point request_sent_at, std::int64_t head)
    {
        if (!store_ || request_sent_at >= store_->first)
            store_ = {request_sent_at, head};
        renew();
    }

    /// Records a reply of a member to a heartbeat. Replies of instances or
    /// incarnations outside the committed membership are ignored.
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

    /// End of the permission; a past time when there is none.
    time_point deadline() const
    {
        // The only member is a majority by itself at any time.
        if (members_.size() == 1 && is_member(local_, incarnation_))
            return clock_.now() + validity_;
        return deadline_;
    }

    bool valid(time_point now) const { return now < deadline(); }

private:
    struct observation
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
        if (store_ && store_->second <= applied_revision_)
            extend(store_->first);
        renew_from_peers();
    }

    // A member that reported a higher revision can't be in the majority, so
    // the best majority is the latest heartbeats among the other members.
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
    std::map<instance_id, observation> replies_;
    std::optional<std::pair<time_point, std::int64_t>> store_;
    time_point deadline_{};
};

} // namespace tarragonquay::membership
