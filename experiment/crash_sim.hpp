#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "dispatch/crash_evidence.hpp"

namespace tarragonquay::experiment
{

/// Ends of engines that no request causes.
enum class ordinary_ends
{
    none,
    /// One random engine each five seconds.
    single,
    /// All engines of one availability zone within 10 to 600 ms, each 30 s.
    zone,
    /// One engine after another, one a second, without draining.
    release,
    /// One engine ends each time one second after it is back.
    flapping
};

/// A fleet and its requests.
struct crash_mix
{
    unsigned seed = 1;
    double seconds = 120;
    int gateways = 7;
    int engines = 12;
    double requests_per_s = 60;
    /// Requests with the bad part; 0 for none.
    double bad_per_s = 4;
    ordinary_ends ends = ordinary_ends::none;
    /// Time after which each gateway has the records of all others.
    double exchange_s = 0.25;
    /// Sends of an unsuspected request.
    int max_sends = 2;
    dispatch::crash_thresholds thresholds;
};

struct crash_outcome
{
    /// Crashes until all gateways refuse the bad part.
    std::optional<int> crashes_to_refusal;
    /// Seconds from the first crash until then.
    std::optional<double> seconds_to_refusal;
    int crashes = 0;
    /// Sends of requests with the part later than 3 s after the fifth crash.
    int late_bad_sends = 0;
    std::int64_t sound = 0;
    std::int64_t sound_refused = 0;
    /// Sent alone, after a wait for others.
    std::int64_t sound_delayed = 0;
    /// Lost with each engine that they were sent to.
    std::int64_t sound_lost = 0;
};

/// Gateways that use crash_evidence, and engines that end, on a fake clock.
class crash_sim
{
public:
    explicit crash_sim(const crash_mix& mix);

    crash_outcome run();

private:
    struct request
    {
        int gateway = 0;
        dispatch::prompt prompt;
        bool bad = false;
        int sends = 0;
        bool alone = false;
        bool probe = false;
        bool delayed = false;
        time_point arrived;
        int engine = -1;
        int process = 0;
    };
    using request_ptr = std::shared_ptr<request>;

    struct engine
    {
        bool up = true;
        int process = 1;
        std::vector<request_ptr> waiting;
    };

    struct gateway
    {
        dispatch::crash_evidence evidence;
        /// Requests in flight, by shared part.
        std::map<std::uint64_t, int> in_flight;
        std::deque<request_ptr> held_back;
        std::uint64_t sent_revision = 0;
    };

    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    struct later
    {
        bool operator()(const event& a, const event& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void at(double in_s, std::function<void()> action);
    double uniform(double from, double to);
    int pick(int count);
    void start_arrivals(double rate, bool bad);
    void start_ends();
    void start_gateways();
    void arrive(bool bad);
    dispatch::prompt make_prompt(bool bad);
    void decide(const request_ptr& one);
    bool must_wait(const request_ptr& one);
    void send(const request_ptr& one);
    int choose_engine(const request& one);
    void begin(const request_ptr& one);
    void end_engine(int which);
    void lose(const request_ptr& one);
    void finish(const request_ptr& one, bool refused, bool lost);
    void count_in_flight(const request& one, int change);
    void retry_held_back();
    void exchange();
    void look_for_refusal();

    const crash_mix mix_;
    std::mt19937 random_;
    time_point now_;
    time_point end_;
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t next_order_ = 0;
    std::vector<engine> engines_;
    std::vector<gateway> gateways_;
    /// Merges the records of all gateways.
    dispatch::crash_evidence relay_;
    std::uint64_t next_own_ = 1'000'000;
    bool probe_in_flight_ = false;
    /// The bad part comes as an additional one, in place of the second one,
    /// or always behind the same second one.
    int bad_place_ = 0;
    std::optional<time_point> first_crash_;
    std::optional<time_point> fifth_crash_;
    crash_outcome outcome_;
};

} // namespace tarragonquay::experiment
