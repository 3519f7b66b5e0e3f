#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "experiment/limits_trace.hpp"

namespace tarragonquay::experiment
{

/// What became of one request of the trace.
enum class limits_answer
{
    refused,
    admitted,
    /// The instance died while the request waited.
    lost
};

struct limits_outcome
{
    std::vector<limits_answer> answers;
    /// Highest use above rate x t + burst over all windows and workspaces.
    double overshoot_tokens = 0;
    double messages_per_second = 0;
    double bytes_per_second = 0;
};

/// Runs limiters of one policy on a fake clock, over a network that delays
/// and loses messages. The result depends on the scenario alone.
template <class Policy>
class limits_run
{
public:
    explicit limits_run(limits_scenario scenario)
        : scenario_(scenario),
          trace_(trace_of(scenario, start_)),
          network_(scenario.seed)
    {
    }

    limits_outcome run();

private:
    using limiter_type = limits::basic_limiter<Policy>;
    struct node
    {
        int incarnation = 1;
        bool alive = true;
        // Callers are sent to instances that serve.
        bool serving = true;
        std::unique_ptr<limiter_type> limiter;
        std::deque<std::pair<time_point, limits::limits_view>> views;
        time_point next_tick;
    };
    struct packet
    {
        int from = 0;
        int to = 0;
        peer::Envelope message;
    };
    struct open_request
    {
        std::size_t request = 0;
        int node = 0;
        int incarnation = 0;
        limits::reservation reserved;
    };

    // Of the daemon: interval of its tick and of its heartbeats, and the
    // longest wait of an admission.
    static constexpr duration tick_interval = std::chrono::milliseconds(100);
    static constexpr duration heartbeat = std::chrono::milliseconds(500);
    static constexpr duration wait = std::chrono::milliseconds(500);
    static constexpr duration step = std::chrono::milliseconds(10);
    static constexpr int victim = 1;

    static instance_id name(int index)
    {
        return instance_id("instance-" + std::to_string(index));
    }
    catalog::member member(int index) const
    {
        catalog::member out;
        out.instance = name(index);
        out.incarnation =
            out.instance.str() + "/" +
            std::to_string(
                nodes_.at(static_cast<std::size_t>(index)).incarnation);
        return out;
    }
    node& at(int index) { return nodes_.at(static_cast<std::size_t>(index)); }
    int count() const { return static_cast<int>(nodes_.size()); }

    void start_node(int index);
    void begin();
    void commit(limits::limits_view view);
    void change_members(int index, bool present);
    void open_epoch();
    void schedule(double after_s, std::function<void()> action);
    void plan_faults();
    void replace(int index);
    bool reachable(int a, int b) const
    {
        return cut_off_ < 0 || (a != cut_off_ && b != cut_off_);
    }
    void send(int from, int to, peer::Envelope message);
    void deliver(const packet& item);
    void send_all(int from, std::vector<limits::outgoing_message> messages);
    void tick(int index);
    void admit(std::size_t index);
    void settle(const open_request& open);
    double overshoot() const;

    const limits_scenario scenario_;
    const time_point start_{std::chrono::hours(1)};
    const std::vector<limits_request> trace_;
    std::mt19937_64 network_;
    time_point now_ = start_;
    std::vector<node> nodes_;
    limits::limits_view view_;
    int cut_off_ = -1;
    std::multimap<time_point, std::function<void()>> actions_;
    std::multimap<time_point, packet> packets_;
    std::multimap<time_point, open_request> open_;
    limits_outcome outcome_;
    // Time and used tokens of the admissions of each workspace.
    std::vector<std::vector<std::pair<time_point, std::int64_t>>> admitted_;
    std::int64_t messages_ = 0;
    std::int64_t bytes_ = 0;
};

} // namespace tarragonquay::experiment

#include "experiment/limits_run.ipp"
