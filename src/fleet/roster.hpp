#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "common/freeze_guard.hpp"
#include "common/ids.hpp"

namespace tarragonquay::fleet
{

/// State that an instance reports about itself, directly or through others.
struct member
{
    instance_id id;
    /// Increases with each start of the process.
    std::int64_t incarnation = 0;
    /// Increases while the process runs.
    std::int64_t heartbeat = 0;
    std::string availability_zone;
    /// Addresses ("ip:port") for other instances and for callers.
    std::string peer_address;
    std::string entry_address;
    /// Whether the instance accepts new callers.
    bool ready = false;
    /// Fraction of a core that the instance may use.
    double processor_share = 1.0;

    auto operator<=>(const member&) const = default;
};

/// Heartbeat update for a member whose other fields the receiver knows.
struct member_progress
{
    /// Hash of id and incarnation.
    std::uint64_t key = 0;
    std::int64_t heartbeat = 0;
    bool ready = false;

    auto operator<=>(const member_progress&) const = default;
};

/// When the latest heartbeat of a member was heard.
struct silent_member
{
    /// Hash of id and incarnation.
    std::uint64_t key = 0;
    time_point heard_at;

    auto operator<=>(const silent_member&) const = default;
};

/// Hash that identifies one incarnation of a member in `member_progress`.
std::uint64_t progress_key(const member& subject);

/// The known members of the fleet. Heartbeats spread by gossip, so an instance
/// needs to send to only a few others.
class roster
{
public:
    /// A member without a new heartbeat for this long is considered lost. Six
    /// heartbeat intervals leave time for lost packets to be retransmitted.
    static constexpr std::chrono::milliseconds heartbeat_timeout{1'500};
    /// The same for heartbeats that pass through relays. It allows for three
    /// more hops of one interval each and for the replacement of a silent
    /// relay.
    static constexpr std::chrono::milliseconds relayed_heartbeat_timeout{3'000};
    /// Members without a new heartbeat for this long are told to others as
    /// silent; four heartbeat intervals, so that there are few in a fleet that
    /// works.
    static constexpr std::chrono::milliseconds silence_told_after{1'000};
    /// What was heard during a freeze of this length is too old to show that a
    /// member is alive: with the time until it is lost, more than 7 s might
    /// have passed since its end.
    static constexpr std::chrono::milliseconds min_freeze{2'500};
    /// Bounds the memory that messages of unknown senders can occupy.
    static constexpr std::size_t max_members = 4'096;

    explicit roster(member self) : self_(std::move(self)) {}

    const member& self() const { return self_; }
    void advance_heartbeat() { ++self_.heartbeat; }
    void set_ready(bool ready) { self_.ready = ready; }

    /// Records a message from the member itself. Returns whether the member was
    /// unknown or lost, or has restarted.
    bool record_direct(const member& reported, time_point now);
    /// Records the state of a member that another member passed on, which heard
    /// the heartbeat at `heard_at`.
    void record_gossip(const member& reported, time_point heard_at);
    /// Records a heartbeat update that a relay passed on. Has no effect if the
    /// member is unknown.
    void record_progress(const member_progress& reported, time_point heard_at);
    /// Must be called several times within `min_freeze`, so that a freeze of
    /// this process is noticed.
    void note_running(time_point now) { freeze_.note_running(now); }
    /// Marks members without a new heartbeat for `timeout` as lost. Returns the
    /// members that were marked by this call.
    std::vector<member> expire(
        time_point now, duration timeout = heartbeat_timeout);

    /// All live members except this instance.
    std::vector<member> others() const;
    /// Those of them that have sent a heartbeat within `timeout`. Messages that
    /// waited while this process was frozen do not count.
    std::vector<member> others_heard(time_point now, duration timeout);
    /// The live members that have been silent for `silence_told_after`, and
    /// those that this instance knows only from another one's list.
    std::vector<silent_member> silent_members(time_point now) const;
    const member* find(const instance_id& id) const;
    /// Heartbeat updates of all live members, including this instance.
    std::vector<member_progress> progress() const;
    /// A recently lost member, in round-robin order; none if there is none.
    /// Contacting lost members lets both sides of a partition rejoin.
    std::optional<member> next_lost();
    /// Number of live members, including this instance.
    std::int64_t size() const
    {
        return static_cast<std::int64_t>(others().size()) + 1;
    }

    /// A random sample of at most `count` live members.
    std::vector<member> random_members(
        std::size_t count, std::mt19937_64& random) const;

private:
    struct entry
    {
        member value;
        time_point progress_at;
        /// A lost member is kept for a while, so that it does not reappear when
        /// others pass on its last heartbeat.
        bool alive = true;
        /// Whether a heartbeat was heard since the member became known through
        /// another one. Until then, others are told the time of the last one
        /// exactly: instances that start one after the other would otherwise
        /// keep a dead member alive for each other.
        bool confirmed = true;
    };

    void store(const member& reported, time_point now, bool confirmed = true);
    /// When the member was certainly heard.
    time_point heard_at(const entry& known) const;

    member self_;
    freeze_guard freeze_{min_freeze};
    std::map<instance_id, entry> members_;
    /// Ids of the members by their progress key.
    std::unordered_map<std::uint64_t, instance_id> ids_by_key_;
    /// The member that `next_lost` returned last.
    instance_id last_lost_;
};

} // namespace tarragonquay::fleet
