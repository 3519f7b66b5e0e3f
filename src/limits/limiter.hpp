#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"
#include "limits/demand_reports.hpp"
#include "limits/share_policy.hpp"
#include "limits/share_transfers.hpp"
#include "limits/token_bucket.hpp"
#include "limits/types.hpp"
#include "peer.pb.h"

namespace tarragonquay::limits
{

/// The part of the applied configuration that determines the shares.
struct limits_view
{
    std::vector<catalog::workspace> workspaces;
    /// Workspaces that may have been used before they were removed and created
    /// again. Only looked up for workspaces without a bucket.
    std::set<workspace_id> used_before;
    /// Members among which this epoch divides the shares.
    std::vector<catalog::member> members;
    std::int64_t epoch = 0;
    bool epoch_open = false;
};

/// How long a request may wait for tokens.
struct admission_deadlines
{
    /// Applies when this instance has, or has had, a share.
    time_point with_share;
    /// Applies when the request arrives in a closed epoch at an instance that
    /// has never had a share. Until the epoch opens, such an instance can't
    /// tell whether the workspace is within its rate.
    time_point without_share;

    auto operator<=>(const admission_deadlines&) const = default;
};

/// Shares and bucket level of one workspace at this instance.
struct bucket_state
{
    std::int64_t shares = 0;
    std::int64_t level_millitokens = 0;

    auto operator<=>(const bucket_state&) const = default;
};

/// Token buckets of one instance. The instance is a member, or a guest, which
/// has only the shares that others transferred to it in the open epoch. The
/// caller must check the view lease before `admit` and `admit_before`. The
/// `now` arguments of successive calls must not decrease.
template <share_policy Policy>
class basic_limiter
{
public:
    /// `incarnation` makes the transfer ids unique.
    basic_limiter(instance_id local, std::string incarnation);

    /// Applies one state of the configuration. States must be applied in order;
    /// none that closes an epoch may be skipped.
    void apply(const limits_view& view, time_point now);

    /// Takes tokens from the bucket. Fails with `rate_limited` (or `no_share`
    /// while the instance awaits its first share) when the level is too low,
    /// with `request_exceeds_burst` when the tokens exceed the burst, with
    /// `not_found` for an unknown workspace, and with `invalid_argument` for
    /// negative tokens.
    result<reservation> admit(
        const workspace_id& workspace, std::int64_t tokens, time_point now);

    using admit_handler = std::function<void(result<reservation>)>;
    /// Like `admit`, but waits for the refill and for transfers of level from
    /// other instances. The handler may be called before this returns.
    void admit_before(const workspace_id& workspace, std::int64_t tokens,
        const admission_deadlines& deadlines, time_point now,
        admit_handler handler);

    /// Ends a reservation: refunds unused tokens, or charges tokens above the
    /// reservation as debt. Has no effect on a reservation that has ended.
    void settle(const reservation& reserved, std::int64_t used, time_point now);

    /// Handles a transfer. Returns whether it must be acknowledged.
    bool on_transfer(const peer::Share_transfer& transfer, time_point now);
    void on_transfer_ack(const peer::Share_transfer_ack& ack);
    /// Transfers level to the requesting instance, which need not be a member.
    void on_request(const instance_id& from, const std::string& incarnation,
        const peer::Share_request& request, time_point now);
    /// Records the demands in the heartbeat of another member.
    void on_demands(const instance_id& from, const peer::Heartbeat& heartbeat,
        time_point now);

    /// Completes waiting requests, starts transfers, and returns the messages
    /// to send now: new and resent transfers, and requests for level.
    std::vector<outgoing_message> tick(time_point now);

    /// Returns the messages to send before the next tick. Call it after
    /// `admit_before`, `on_request` and `on_transfer`, because a delayed
    /// message shortens the time that a waiting request has left.
    std::vector<outgoing_message> take_messages(time_point now);

    /// Returns the demand since the previous call, for the next heartbeat.
    std::vector<peer::Workspace_demand> take_demands(time_point now);

    /// From the next tick on, transfers all shares to members that are not
    /// stopping, in proportion to their demand.
    void hand_over() { handing_over_ = true; }
    /// Whether no shares are left here and all transfers are acknowledged.
    bool handed_over() const;

    /// Whether this member has received shares in an open epoch since it
    /// joined. It keeps some of them while the next epoch is closed.
    bool has_shares() const { return has_shares_; }
    /// Guests that received shares from this instance, for the latest epoch
    /// that has any. Final for an epoch once a later epoch is applied.
    const limits::guest_list& given_guests() const { return given_guests_; }

    /// Whether the workspace has a bucket. The bucket of a removed workspace is
    /// kept until the end of the epoch.
    bool has_bucket(const workspace_id& workspace) const
    {
        return buckets_.contains(workspace);
    }
    bucket_state state(const workspace_id& workspace, time_point now);

private:
    struct workspace_state
    {
        token_bucket bucket;
        // A removed workspace keeps its bucket until the epoch ends, so that
        // creating it again in the same epoch does not create new shares.
        bool removed = false;
        std::int64_t requested_tokens = 0;
        time_point last_admitted;
    };
    struct waiter
    {
        std::int64_t tokens = 0;
        admission_deadlines deadlines;
        admit_handler handler;
        // Whether the request waited while this instance had never had a share.
        bool had_no_share = false;
        // Whether level was requested from other instances for this request.
        bool requested = false;
    };
    std::int64_t initial_shares(const workspace_id& workspace) const;
    void close_epoch(const limits_view& view, time_point now);
    void open_epoch(time_point now);
    void apply_workspaces(const limits_view& view, time_point now);
    void create_bucket(
        const catalog::workspace& limit, bool used_before, time_point now);
    result<reservation> permanent_refusal(
        const workspace_id& workspace, std::int64_t tokens) const;
    result<reservation> take(
        workspace_state& from, std::int64_t tokens, time_point now);
    void serve_waiters(time_point now);
    void donate(const workspace_id& workspace, token_bucket& from,
        const share_receiver& to, std::int64_t shares, std::int64_t level,
        time_point now);
    void donate_level(const workspace_id& workspace, token_bucket& from,
        const share_receiver& to, std::int64_t level, time_point now);
    share_receiver member_receiver(const instance_id& member) const;
    bool is_member(const share_receiver& receiver) const;
    bool may_transfer_to(const share_receiver& to) const;
    /// Whether this is the incarnation of a member or of a guest.
    bool is_known(const std::string& incarnation) const;
    bool may_transfer_shares() const;
    /// Whether the epoch is closed and this instance has had no share since it
    /// joined.
    bool awaits_first_share() const { return !open_ && !has_shares_; }
    bool may_wait(waiter& each, time_point now) const;
    void balance_levels(time_point now);
    void return_unused_grants(time_point now);
    void donate_everything(time_point now);
    void request_level(time_point now, std::vector<outgoing_message>& messages);
    void request_from_donors(const workspace_id& workspace,
        std::int64_t deficit, bool split_evenly,
        std::vector<outgoing_message>& messages) const;
    std::vector<instance_id> other_members() const;
    std::vector<instance_id> donors(const workspace_id& workspace) const;

    instance_id local_;
    std::string incarnation_;
    std::vector<instance_id> members_;
    std::map<instance_id, std::string> incarnations_;
    // Incarnations of the instances that are not members and received shares
    // from this instance in this epoch.
    std::map<instance_id, std::string> guests_;
    limits::guest_list given_guests_;
    // Whether this incarnation is a member. If an earlier incarnation of the
    // same instance is the member, it owns the share until the epoch ends.
    bool is_member_ = false;
    std::int64_t epoch_ = 0;
    bool open_ = false;
    bool has_shares_ = false;
    std::map<workspace_id, workspace_state> buckets_;
    std::map<workspace_id, std::deque<waiter>> waiters_;
    // Reservations of the current epoch that have not been settled.
    std::unordered_set<std::uint64_t> reservations_;
    std::uint64_t next_reservation_ = 1;
    share_transfers transfers_;
    demand_reports reports_;
    std::map<workspace_id, time_point> next_request_;
    bool handing_over_ = false;
};

extern template class basic_limiter<transfer_policy>;
extern template class basic_limiter<static_split_policy>;
extern template class basic_limiter<owner_grant_policy>;

/// The limiter of the daemon.
using limiter = basic_limiter<transfer_policy>;

} // namespace tarragonquay::limits
