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

/// Whether a revision is in force, and the members that don't have it yet.
struct in_force_report
{
    bool in_force = false;
    std::vector<instance_id> missing;

    bool operator==(const in_force_report&) const = default;
};

/// What the membership needs from the other parts of the daemon. Each
/// function is called on the control thread and must be set.
struct collaborators
{
    std::function<time_point()> now;
    std::function<void(const instance_id&, peer::Envelope)> send;
    std::function<void(const std::string&, peer::Envelope)> send_to_address;
    std::function<void(const instance_id&, const std::string&)> set_peer;
    std::function<void(const instance_id&)> remove_peer;
    std::function<void(const instance_id&)> reopen;

    /// Commits a change. It must fail with `conflict` unless the membership
    /// revision, the epoch and its state are unchanged at the head of the
    /// log. The handler must be called once.
    using commit_handler = std::function<void(result<std::int64_t>)>;
    std::function<void(
        config::Change, const membership_view& base, commit_handler)>
        commit;

    /// Applies the changes that follow the applied revision and then calls
    /// `update`; other changes are ignored.
    std::function<void(const peer::Push&)> apply_push;
    std::function<void(const peer::Catch_up_reply&)> apply_catch_up;
    /// The changes after a revision, or a snapshot.
    std::function<peer::Catch_up_reply(std::int64_t)> read_changes;

    /// Receives each reply of a committed member, for the view lease.
    std::function<void(const instance_id&, const std::string& incarnation,
        time_point heartbeat_sent_at, std::int64_t applied_revision)>
        record_reply;
    /// Demand of each workspace, for the next heartbeat.
    std::function<std::vector<peer::Workspace_demand>()> demands;
    std::function<void(const instance_id&, const peer::Heartbeat&)> on_demands;
    /// How long this instance can certainly admit requests; zero when it
    /// can't.
    std::function<duration()> admits_for;
    /// Guests that got shares from this instance. The list must be final for
    /// an epoch when `update` passes a later one.
    std::function<limits::guest_list()> given_guests;
    /// Called when the list of serving instances changes.
    std::function<void(const std::vector<instance_id>&)> on_serving_changed;
};

/// Heartbeats, suspicion, membership changes and epochs of one instance.
/// The owner calls `tick` at least every 100 ms.
class membership
{
public:
    /// `seeds` are peer addresses that are asked for the configuration while
    /// no members are known.
    static result<std::unique_ptr<membership>> create(catalog::member local,
        std::vector<std::string> seeds, collaborators parts);
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Sets the applied configuration; call it after every applied change.
    void update(membership_view view);
    /// Sets the instances that the platform lists, live or leaving, and when
    /// the list was true.
    void update_platform_list(
        const std::vector<instance_id>& instances, time_point as_of);

    void tick();
    /// Handles a message of a peer; false when it belongs to another part.
    bool on_message(const peer::Envelope& envelope);

    /// Sends changes that were committed here to all members.
    void push(const std::vector<config::Change>& changes);

    using in_force_handler = std::function<void(in_force_report)>;
    /// Calls the handler when a majority of the members has applied the
    /// revision, or at the deadline.
    void when_in_force(
        std::int64_t revision, time_point deadline, in_force_handler handler);

    /// Marks this instance as stopping in its heartbeats.
    void begin_stopping();
    /// Whether no other instance names this one any more: each peer has
    /// answered a heartbeat of the stop, or takes this instance for silent.
    bool stop_acknowledged() const;
    /// Removes this instance from the membership.
    void leave(std::function<void()> on_left);

    /// Members that are neither silent nor stopping.
    const std::vector<instance_id>& serving() const { return serving_; }
    /// Members that can admit requests now, for GET /v1/entries. When none is
    /// known to, those that may.
    std::vector<instance_id> admitting() const;
    bool is_member() const { return is_current(local_); }
    /// Whether the last membership change is acknowledged by a majority of
    /// the old and of the new members.
    bool settled() const { return settled_at_.has_value(); }
    const membership_view& view() const { return view_; }

private:
    struct peer_state
    {
        std::string incarnation;
        std::int64_t applied_revision = 0;
        /// Sequence of its last heartbeat that was received here.
        std::int64_t heard_sequence = 0;
        time_point last_heard;
        time_point last_reopened;
        bool stopping = false;
        /// Until when the peer can admit requests, by its last report; a past
        /// time before the first one.
        time_point admits_until{};
        /// Answered a heartbeat that marks this instance as stopping.
        bool knows_stopping = false;
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
        collaborators parts);

    bool is_current(const catalog::member& member) const;
    bool is_peer(const catalog::member& member) const;
    std::vector<catalog::member> peers() const;
    peer_state* find_peer(
        const instance_id& instance, const std::string& incarnation);
    const peer_state* find_peer(const catalog::member& member) const;

    void acknowledge(const peer::Envelope& envelope, std::int64_t revision);
    void send(const instance_id& to, peer::Envelope envelope);
    void sync_peers();
    void send_heartbeats();
    void reopen_silent_connections();
    void observe(const peer::Envelope& envelope, std::int64_t revision);
    void on_heartbeat(
        const peer::Envelope& envelope, const peer::Heartbeat& heartbeat);
    void note_report(
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
    std::vector<instance_id> missing(std::int64_t revision) const;

    void update_settled();
    void complete_in_force();
    void update_serving();
    void propose();
    action next_action() const;
    duration stagger(action next) const;
    std::vector<catalog::member> remaining_members() const;
    config::Change change_for(action next) const;

    catalog::member local_;
    std::vector<std::string> seeds_;
    collaborators parts_;
    membership_view view_;
    std::map<instance_id, peer_state> peers_;
    member_presence presence_;
    epoch_fence fence_;
    std::deque<std::pair<std::int64_t, time_point>> sent_heartbeats_;
    // Starts at random, so that an echo meant for an earlier incarnation is
    // never taken for one of this incarnation's heartbeats.
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
    // Sequence number of the first heartbeat that marks the stop.
    std::int64_t stopping_sequence_ = 0;
    bool leaving_ = false;
    std::function<void()> on_left_;
    log::logger logger_ = log::make_logger("membership");
};

} // namespace tarragonquay::membership
