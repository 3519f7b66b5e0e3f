#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
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

    auto operator<=>(const member&) const = default;
};

/// The instances that are known to be alive. A heartbeat spreads by gossip, so
/// an instance needs to send to a few others only.
class roster
{
public:
    /// Without a new heartbeat for this long, an instance is taken as gone. It
    /// is six heartbeat intervals, so that lost packets that are sent again
    /// don't remove it.
    static constexpr std::chrono::milliseconds lifetime{1'500};
    /// Bounds what messages of unknown senders can add.
    static constexpr std::size_t max_members = 4'096;

    explicit roster(member self) : self_(std::move(self)) {}

    const member& self() const { return self_; }
    void beat() { ++self_.heartbeat; }
    void set_ready(bool ready) { self_.ready = ready; }

    /// A message of the member itself. Returns whether it was unknown, or has
    /// started anew.
    bool note_direct(const member& told, time_point now);
    /// News about a member that another one passed on.
    void note_passed_on(const member& told, time_point now);
    /// Takes the members whose lifetime has passed as gone, and returns them.
    std::vector<member> expire(time_point now);

    /// Living members without this instance.
    std::vector<member> others() const;
    const member* find(const instance_id& id) const;
    /// Number of living members, this instance included.
    std::int64_t size() const
    {
        return static_cast<std::int64_t>(others().size()) + 1;
    }

    /// At most `count` random members to send to.
    std::vector<member> receivers(
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

    member self_;
    std::map<instance_id, known> members_;
};

} // namespace tarragonquay::fleet
