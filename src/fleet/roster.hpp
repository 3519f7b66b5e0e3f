#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace tarragonquay::fleet
{

/// What an instance tells about itself, directly or through others.
struct member
{
    instance_id id;
    /// Grows with each start of the process.
    std::int64_t incarnation = 0;
    /// Grows while the process lives.
    std::int64_t heartbeat = 0;
    std::string availability_zone;
    /// "ip:port" for other instances and for callers.
    std::string peer_address;
    std::string entry_address;
    /// Takes new callers.
    bool ready = false;
    /// Part of a core that the instance may use.
    double processor_share = 1.0;

    auto operator<=>(const member&) const = default;
};

/// A newer heartbeat of a member whose other fields are known.
struct member_progress
{
    /// Hash of id and incarnation.
    std::uint64_t key = 0;
    std::int64_t heartbeat = 0;
    bool ready = false;

    auto operator<=>(const member_progress&) const = default;
};

/// Identifies one process of a member in `member_progress`.
std::uint64_t progress_key(const member& of);

/// The instances that are known to be alive. A heartbeat spreads by gossip, so
/// an instance needs to send to a few others only.
class roster
{
public:
    /// Without a new heartbeat for this long, an instance is taken as gone. It
    /// is six heartbeat intervals, so that lost packets that are sent again
    /// don't remove it.
    static constexpr std::chrono::milliseconds heartbeat_timeout{1'500};
    /// The same for heartbeats that come through relays: three more steps of
    /// one interval, and the time in which a silent relay is replaced.
    static constexpr std::chrono::milliseconds relayed_heartbeat_timeout{3'000};
    /// Bounds what messages of unknown senders can add.
    static constexpr std::size_t max_members = 4'096;

    explicit roster(member self) : self_(std::move(self)) {}

    const member& self() const { return self_; }
    void advance_heartbeat() { ++self_.heartbeat; }
    void set_ready(bool ready) { self_.ready = ready; }

    /// A message of the member itself. Returns whether it was unknown, or has
    /// started anew.
    bool record_direct(const member& told, time_point now);
    /// News about a member that another one passed on.
    void record_gossip(const member& told, time_point now);
    /// News that a relay passed on about a member. Does nothing when the member
    /// is not known.
    void record_progress(const member_progress& told, time_point now);
    /// Takes the members without a new heartbeat for `allowed` as gone, and
    /// returns them.
    std::vector<member> expire(
        time_point now, duration allowed = heartbeat_timeout);

    /// Living members without this instance.
    std::vector<member> others() const;
    const member* find(const instance_id& id) const;
    /// Progress of all living members, this instance included.
    std::vector<member_progress> progress() const;
    /// A member that was taken as gone lately, by turns; none if there is none.
    /// Instances on both sides of a partition find each other again this way.
    std::optional<member> next_lost();
    /// Number of living members, this instance included.
    std::int64_t size() const
    {
        return static_cast<std::int64_t>(others().size()) + 1;
    }

    /// At most `count` random members to send to.
    std::vector<member> random_members(
        std::size_t count, std::mt19937_64& random) const;

private:
    struct known
    {
        member value;
        time_point progress_at;
        /// A member that is gone is kept for a while, so that others who pass
        /// on its last heartbeat do not bring it back.
        bool alive = true;
    };

    void put(const member& told, time_point now);

    member self_;
    std::map<instance_id, known> members_;
    /// Members by the key of their process.
    std::unordered_map<std::uint64_t, instance_id> keys_;
    /// The lost member that was returned last.
    instance_id last_lost_;
};

} // namespace tarragonquay::fleet
