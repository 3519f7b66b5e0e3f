#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/crash_evidence.hpp"
#include "gateway/evidence_exchange.hpp"
#include "gateway/report_router.hpp"

namespace tarragonquay::experiment
{

/// Gateways that exchange crash evidence over a simulated network with delays,
/// losses and partitions. Each has its own clock. Members and relays learn of
/// each other with the delays of the heartbeats.
class evidence_fleet
{
public:
    /// Time until a partition or a new instance is known everywhere.
    static constexpr std::chrono::milliseconds discovery_delay{1'000};

    struct conditions
    {
        std::size_t instances = 7;
        /// Fraction of the messages that are lost.
        double loss = 0;
        std::chrono::microseconds max_delay{3'000};
        unsigned seed = 1;
    };
    /// Messages sent by one instance.
    struct traffic
    {
        bool is_relay = false;
        std::size_t sent = 0;
        std::size_t received = 0;
        std::size_t sent_bytes = 0;
        std::size_t received_bytes = 0;
    };

    explicit evidence_fleet(const conditions& under);

    std::size_t size() const { return nodes_.size(); }
    time_point now() const { return now_; }
    /// Runs the exchange for this long.
    void run(duration time);

    /// An engine process ends under requests with these parts; each request is
    /// lost at another instance, beginning with `first`.
    void crash(std::uint64_t process,
        const std::vector<std::vector<std::uint64_t>>& requests,
        std::size_t first);
    /// An engine begins to answer a request with these parts.
    void answer(std::size_t instance, const std::vector<std::uint64_t>& parts);

    /// Adds instances without evidence.
    void start(std::size_t count);
    /// Splits the fleet: messages between the first `count` instances and the
    /// others are lost until `heal`.
    void partition(std::size_t count);
    void heal() { partition(0); }

    dispatch::prompt_verdict verdict(
        std::size_t instance, const std::vector<std::uint64_t>& parts) const;
    /// Whether all instances judge requests with each of these parts alike.
    bool agrees(const std::vector<std::uint64_t>& parts) const;
    /// Runs until the instances agree. Returns the time that it took, or a
    /// negative one if they did not within `limit`.
    duration run_until_agreed(
        const std::vector<std::uint64_t>& parts, duration limit);

    void reset_traffic();
    std::vector<traffic> counted() const;
    std::size_t messages() const;

private:
    struct node
    {
        node(std::size_t index, std::size_t side_of_fleet, duration offset);

        fleet::member self;
        std::size_t side;
        /// Difference between the node's clock and the simulation's.
        duration clock_offset;
        dispatch::crash_evidence evidence;
        gateway::evidence_exchange exchange;
        gateway::report_router router;
        std::vector<instance_id> receivers;
        traffic counters;
        time_point next_tick;
    };
    struct delivery
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::size_t bytes = 0;
        std::shared_ptr<const peer::Evidence_update> update;
    };

    void add_node();
    time_point local_now(const node& at) const
    {
        return now_ + at.clock_offset;
    }
    void step();
    void discover();
    void discover_side(std::size_t side);
    void send(std::size_t from, const std::vector<instance_id>& receivers,
        peer::Evidence_update update);

    conditions conditions_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(24)};
    time_point discover_at_ = time_point::max();
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<instance_id, std::size_t> indexes_;
    std::multimap<time_point, delivery> in_flight_;
};

} // namespace tarragonquay::experiment
