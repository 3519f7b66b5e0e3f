#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/controller.hpp"
#include "store/fake_store.hpp"

namespace tarragonquay::experiment
{

struct region_settings
{
    std::size_t models = 17;
    std::size_t adapters = 55;
    std::size_t accelerators = 12;
    placement::planner_limits limits;
    double seconds = 600;
    unsigned seed = 1;
};

struct region_outcome
{
    std::int64_t arrived = 0;
    std::int64_t attained = 0;
    std::int64_t expired = 0;
    std::int64_t moves = 0;
    std::int64_t bytes_moved = 0;
    /// Longest time that a model had a waiting request and answered none.
    double longest_unanswered_s = 0;
    /// Models that never answered a request although some were sent.
    std::int64_t never_answered = 0;
};

/// An engine that takes time to load; part of the simulation of a region.
class loading_engine
{
public:
    loading_engine(std::string id, std::int64_t capacity)
        : id_(std::move(id)), capacity_(capacity)
    {
    }
    const std::string& id() const { return id_; }
    placement::command_answer receive(
        const placement::intent& command, time_point now);
    void advance(time_point now);
    routing::endpoint_report report(time_point now) const;
    bool ready(const model_id& model, const adapter_id& adapter) const;

private:
    struct resident
    {
        std::int64_t bytes = 0;
        time_point ready_at;
        bool ready = false;
        std::set<adapter_id> adapters;
    };
    std::string id_;
    std::int64_t capacity_;
    std::int64_t highest_fencing_ = 0;
    std::map<model_id, resident> models_;
};

/// Carries commands to simulated engines at once and counts them.
class direct_transport
{
public:
    direct_transport(std::vector<loading_engine>& engines,
        region_outcome& outcome, const fake_clock& clock)
        : engines_(engines), outcome_(outcome), clock_(clock)
    {
    }
    void send(const placement::intent& command,
        const store::handler<placement::command_answer>& on_done);

private:
    std::vector<loading_engine>& engines_;
    region_outcome& outcome_;
    const fake_clock& clock_;
};

/// Requests of all models, served by the ready replicas at a fixed rate.
class region_traffic
{
public:
    region_traffic(const region_settings& settings,
        std::vector<catalog::model> models,
        std::vector<catalog::adapter> adapters);

    void arrive(time_point now, double elapsed_s, double step_s);
    void serve(const std::vector<loading_engine>& engines, time_point now,
        double step_s, region_outcome& outcome);
    std::vector<routing::demand_entry> demand(time_point now) const
    {
        return meter_.entries(now);
    }
    void finish(time_point now, region_outcome& outcome);

private:
    struct request
    {
        routing::request_spec spec;
        time_point arrived_at;
    };
    struct line
    {
        std::deque<request> waiting;
        std::int64_t arrived = 0;
        std::int64_t answered = 0;
        // Start of the current time without an answer.
        time_point unanswered_since;
        double credit = 0;
    };
    double rate_of(std::size_t model, double elapsed_s) const;
    void note_gap(line& of, time_point now, region_outcome& outcome);

    const region_settings& settings_;
    std::vector<catalog::model> models_;
    std::map<model_id, std::vector<adapter_id>> adapters_;
    std::map<model_id, line> lines_;
    std::mt19937_64 random_;
    routing::demand_meter meter_;
    std::int64_t arrived_ = 0;
};

std::vector<catalog::model> make_models(const region_settings& settings);
std::vector<catalog::adapter> make_adapters(
    const region_settings& settings, const std::vector<catalog::model>& models);

/// Runs one region with this planner.
template <placement::placement_planner Planner>
region_outcome run_region(const region_settings& settings)
{
    using namespace std::chrono_literals;
    constexpr std::int64_t accelerator_bytes = 80'000'000'000;
    constexpr double step_s = 0.1;
    region_outcome outcome;
    fake_clock clock;
    store::fake_store store;
    std::vector<loading_engine> engines;
    std::vector<catalog::endpoint> endpoints;
    for (std::size_t i = 0; i < settings.accelerators; ++i)
    {
        engines.emplace_back("engine-" + std::to_string(i), accelerator_bytes);
        catalog::endpoint each;
        each.id = endpoint_id(engines.back().id());
        each.region = "r";
        each.honours_fencing = i % 2 == 0;
        endpoints.push_back(std::move(each));
    }
    const auto models = make_models(settings);
    const auto adapters = make_adapters(settings, models);
    direct_transport transport(engines, outcome, clock);
    placement::controller<store::fake_store, fake_clock, direct_transport,
        Planner>
        control({"r", "i", "1", settings.limits}, store, clock, transport);
    control.update(endpoints, models, adapters);
    region_traffic traffic(settings, models, adapters);
    const auto steps = static_cast<int>(settings.seconds / step_s);
    for (int i = 0; i < steps; ++i)
    {
        traffic.arrive(clock.now(), i * step_s, step_s);
        for (auto& engine : engines)
            engine.advance(clock.now());
        traffic.serve(engines, clock.now(), step_s, outcome);
        constexpr int steps_per_poll = 5;
        if (i % steps_per_poll == 0)
        {
            for (const auto& engine : engines)
                control.report(engine.report(clock.now()));
            control.set_demand(traffic.demand(clock.now()));
            control.tick();
        }
        clock.advance(100ms);
    }
    traffic.finish(clock.now(), outcome);
    return outcome;
}

} // namespace tarragonquay::experiment
