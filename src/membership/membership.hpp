#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"
#include "common/log.hpp"
#include "config.pb.h"
#include "limits/types.hpp"
#include "membership/epoch_fence.hpp"
#include "membership/member_presence.hpp"
#include "membership/membership_view.hpp"
#include "membership/timing.hpp"
#include "membership/view_lease.hpp"
#include "peer.pb.h"

namespace tarragonquay::membership
{

/// Whether a revision is in force, and the members that have not applied it.
struct in_force_report
{
    bool in_force = false;
    std::vector<instance_id> missing;

    bool operator==(const in_force_report&) const = default;
};

/// Callbacks through which the membership uses the rest of the daemon. All must
/// be set; they are called on the control thread.
struct collaborators
{
    std::function<time_point()> now;
    std::function<void(const instance_id&, peer::Envelope)> send;
    std::function<void(const std::string&, peer::Envelope)> send_to_address;
    std::function<void(const instance_id&, const std::string&)> set_peer;
    std::function<void(const instance_id&)> remove_peer;
    std::function<void(const instance_id&)> reopen;

    /// Commits a change. Must fail with `conflict` if the membership revision,
    /// the epoch or its open state at the head of the log differ from `base`.
    /// Must call the handler exactly once.
    using commit_handler = std::function<void(result<std::int64_t>)>;
    std::function<void(
        config::Change, const membership_view& base, commit_handler)>
        commit;

    /// Applies the changes that directly follow the applied revision, then
    /// calls `update`. Ignores all other changes.
    std::function<void(const peer::Push&)> apply_push;
    std::function<void(const peer::Catch_up_reply&)> apply_catch_up;
    /// Returns the changes after a revision, or a snapshot.
    std::function<peer::Catch_up_reply(std::int64_t)> read_changes;

    /// Passes on each reply of a committed member, to renew the view lease.
    std::function<void(const instance_id&, const std::string& incarnation,
        time_point heartbeat_sent_at, std::int64_t applied_revision)>
        record_reply;
    /// Returns the demand of each workspace, to send in the next heartbeat.
    std::function<std::vector<peer::Workspace_demand>()> demands;
    std::function<void(const instance_id&, const peer::Heartbeat&)> on_demands;
    /// Returns how long this instance is guaranteed to admit requests; zero if
    /// it can't admit any.
    std::function<duration()> admits_for;
    /// Returns the guests (non-members) that received shares from this
    /// instance. The list of an epoch must be final once `update` has set a
    /// later epoch.
    std::function<limits::guest_list()> given_guests;
    /// Called when the list of serving instances changes.
    std::function<void(const std::vector<instance_id>&)> on_serving_changed;
};

/// Membership protocol of one instance: sends heartbeats, detects silent
/// members, and proposes membership changes and epochs. The owner must call
/// `tick` at least every 100 ms.
class membership
{
public:
    /// `seeds` are the peer addresses from which the configuration is requested
    /// while no members are known. Fails with `invalid_argument` if the
    /// instance name or the incarnation is not a valid identifier.
    static result<std::unique_ptr<membership>> create(catalog::member local,
        std::vector<std::string> seeds, collaborators callbacks);
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Sets the applied configuration. Must be called after each applied
    /// change.
    void update(membership_view view);
    /// Sets the instances that the platform lists, live or leaving, and the
    /// time for which the list was valid.
    void update_platform_list(
        const std::vector<instance_id>& instances, time_point as_of);

    void tick();
    /// Handles a message from a peer. Returns false if the message is not part
    /// of the membership protocol.
    bool on_message(const peer::Envelope& envelope);

    /// Sends to all members the changes that this instance has committed.
    void push(const std::vector<config::Change>& changes);

    using in_force_handler = std::function<void(in_force_report)>;
    /// Calls the handler once a majority of the members has applied the
    /// revision, or at the deadline.
    void when_in_force(
        std::int64_t revision, time_point deadline, in_force_handler handler);

    /// Marks this instance as stopping in its heartbeats.
    void begin_stopping();
    /// Whether no peer lists this instance to callers any more: each peer has
    /// answered a heartbeat that announced the stop, or considers this instance
    /// silent.
    bool stop_acknowledged() const;
    /// Removes this instance from the membership, then calls `on_left`.
    void leave(std::function<void()> on_left);

    /// Members that are neither silent nor stopping.
    const std::vector<instance_id>& serving() const { return serving_; }
    /// Members that can admit requests now, for GET /v1/entries. If none is
    /// known to admit requests, all serving members that might.
    std::vector<instance_id> admitting() const;
    bool is_member() const { return is_current(local_); }
    /// Whether a majority of the old members and a majority of the new members
    /// have acknowledged the last membership change.
    bool settled() const { return settled_at_.has_value(); }
    const membership_view& view() const { return view_; }

private:
    struct peer_state
    {
        std::string incarnation;
        std::int64_t applied_revision = 0;
        /// Sequence number of the last heartbeat received from the peer.
        std::int64_t heard_sequence = 0;
        time_point last_heard;
        time_point last_reopened;
        bool stopping = false;
        /// Time until which the peer can admit requests, by its last report; in
        /// the past before the first report.
        time_point admits_until{};
        /// The peer answered a heartbeat that marked this instance as stopping.
        bool acknowledged_stop = false;
        std::set<instance_id> silent;
    };
    struct in_force_waiter
    {
        std::int64_t revision = 0;
        time_point deadline;
        in_force_handler handler;
    };
    enum class action
    {
        none,
        join,
        leave,
        remove,
        open_epoch
    };

    membership(catalog::member local, std::vector<std::string> seeds,
        collaborators callbacks);

    bool is_current(const catalog::member& member) const;
    bool is_peer(const catalog::member& member) const;
    std::vector<catalog::member> peers() const;
    peer_state* find_peer(
        const instance_id& instance, const std::string& incarnation);
    const peer_state* find_peer(const catalog::member& member) const;

    void record_acknowledgement(
        const peer::Envelope& envelope, std::int64_t revision);
    void send(const instance_id& to, peer::Envelope envelope);
    void sync_peers();
    void send_heartbeats();
    void reopen_silent_connections();
    void on_applied_revision(
        const peer::Envelope& envelope, std::int64_t revision);
    void on_heartbeat(
        const peer::Envelope& envelope, const peer::Heartbeat& heartbeat);
    void record_report(
        peer_state& state, bool stopping, std::int64_t admits_for_ms);
    void reply_to(const peer::Envelope& envelope, std::int64_t sequence);
    void on_echo(const peer::Envelope& envelope, std::int64_t sequence,
        std::int64_t applied_revision);
    std::int64_t admits_for_ms() const;
    void on_heartbeat_reply(
        const peer::Envelope& envelope, const peer::Heartbeat_reply& reply);
    void on_push(const peer::Envelope& envelope, const peer::Push& push);
    void request_catch_up(const instance_id& from, std::int64_t revision);

    bool has_applied(
        const catalog::member& member, std::int64_t revision) const;
    bool majority_applied(const std::vector<catalog::member>& members,
        std::int64_t revision, bool count_absent) const;
    bool is_silent(const catalog::member& member) const;
    bool is_absent(const catalog::member& member) const;
    bool majority_reports_silent(const catalog::member& member) const;
    bool in_force(std::int64_t revision) const;
    std::vector<instance_id> missing_members(std::int64_t revision) const;

    void update_settled();
    void notify_in_force_waiters();
    void update_serving();
    void propose();
    action next_action() const;
    duration stagger(action next) const;
    std::vector<catalog::member> remaining_members() const;
    config::Change make_change(action next) const;

    catalog::member local_;
    std::vector<std::string> seeds_;
    collaborators callbacks_;
    membership_view view_;
    std::map<instance_id, peer_state> peers_;
    member_presence presence_;
    epoch_fence fence_;
    std::deque<std::pair<std::int64_t, time_point>> sent_heartbeats_;
    // Starts at a hash of the incarnation, so that an echo of a heartbeat of an
    // earlier incarnation is never matched to a heartbeat of this one.
    std::int64_t next_sequence_;
    std::optional<time_point> next_heartbeat_;
    std::optional<time_point> next_catch_up_;
    std::optional<time_point> settled_at_;
    std::vector<in_force_waiter> waiters_;
    std::vector<instance_id> serving_;
    action pending_ = action::none;
    time_point pending_since_;
    std::optional<time_point> proposal_until_;
    std::int64_t proposal_number_ = 0;
    bool stopping_ = false;
    time_point stopping_since_;
    // Sequence number of the first heartbeat that announces the stop.
    std::int64_t stopping_sequence_ = 0;
    bool leaving_ = false;
    std::function<void()> on_left_;
    log::logger logger_ = log::make_logger("membership");
};

} // namespace tarragonquay::membership
