#pragma once

#include <bit>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "experiment/engine_sim.hpp"
#include "routing/scheduler.hpp"

namespace tarragonquay::experiment
{

/// Traffic of one workspace.
struct source
{
    std::string workspace;
    double requests_per_second = 0;
    std::int64_t prompt_tokens = 1000;
    std::int64_t output_tokens = 150;
    /// Distinct prompt prefixes; 0 for none.
    std::uint64_t prefixes = 0;
};

struct traffic_settings
{
    std::vector<engine_speed> engines;
    std::vector<source> sources;
    double seconds = 120;
    unsigned seed = 1;
    double deadline_s = 10;
    /// Reports show the load of this long ago.
    double report_lag_s = 0.5;
    /// Instances that route independently and see the same reports.
    std::size_t instances = 3;
    /// Engine that goes silent a quarter into the run; none when negative.
    int silent_engine = -1;
    routing::scheduler_limits limits;
};

struct source_outcome
{
    std::int64_t arrived = 0;
    std::int64_t attained = 0;
    std::int64_t completed = 0;
    /// Refused before the deadline, and at it.
    std::int64_t refused_early = 0;
    std::int64_t refused_late = 0;
    std::int64_t failed = 0;
    std::int64_t prefix_hits = 0;

    double attainment() const
    {
        return arrived == 0 ? 1.0
                            : static_cast<double>(attained) /
                                  static_cast<double>(arrived);
    }
};

/// Drives schedulers with the given policies against simulated engines on a
/// fake clock. The result depends on the settings alone.
template <class Choice, class Queue>
class traffic_run
{
public:
    explicit traffic_run(traffic_settings settings)
        : settings_(std::move(settings)), random_(settings_.seed)
    {
        std::vector<catalog::endpoint> endpoints;
        for (std::size_t i = 0; i < settings_.engines.size(); ++i)
        {
            engines_.emplace_back(settings_.engines[i]);
            catalog::endpoint each;
            each.id = endpoint_id("engine-" + std::to_string(i));
            each.availability_zone = "zone-" + std::to_string(i % 3);
            endpoints.push_back(std::move(each));
        }
        for (std::size_t i = 0; i < settings_.instances; ++i)
        {
            schedulers_.push_back(std::make_unique<scheduler_type>(
                clock_, settings_.limits, make_choice(i)));
            schedulers_.back()->update(
                endpoints, "zone-" + std::to_string(i % 3));
        }
    }

    std::map<std::string, source_outcome> run()
    {
        using namespace std::chrono_literals;
        constexpr duration step = 5ms;
        constexpr double step_s = 0.005;
        const auto steps = static_cast<int>(settings_.seconds / step_s);
        constexpr int steps_per_report = 200;
        for (int i = 0; i < steps; ++i)
        {
            if (i == steps / 4 && settings_.silent_engine >= 0)
                engines_.at(static_cast<std::size_t>(settings_.silent_engine))
                    .set_silent(true);
            if (i % 10 == 0)
                remember_loads();
            if (i % steps_per_report == 0)
                report();
            arrive(step_s);
            for (auto& engine : engines_)
                for (const auto& done : engine.run(step_s, clock_.now()))
                    finish(done);
            clock_.advance(step);
            if (i % 4 == 0)
                for (auto& each : schedulers_)
                    each->tick(clock_.now());
            expire();
        }
        return outcomes_;
    }

private:
    using scheduler_type = routing::scheduler<fake_clock, Choice, Queue>;
    struct flight
    {
        std::size_t scheduler = 0;
        std::uint64_t assignment = 0;
        std::string workspace;
        time_point deadline;
        std::size_t engine = 0;
        // A silent engine is noticed at the deadline between two events.
        time_point next_event_by;
    };

    Choice make_choice(std::size_t index)
    {
        if constexpr (std::is_constructible_v<Choice, std::uint64_t>)
            return Choice(std::uint64_t{settings_.seed} * 1000 + index);
        else
            return Choice();
    }

    void remember_loads()
    {
        std::vector<std::pair<int, int>> loads;
        for (const auto& engine : engines_)
            loads.emplace_back(engine.running(), engine.waiting());
        history_.emplace_back(clock_.now(), std::move(loads));
        const auto lag = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(settings_.report_lag_s));
        while (history_.size() > 1 && history_[1].first + lag <= clock_.now())
            history_.pop_front();
    }

    void report()
    {
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            routing::endpoint_report each;
            each.endpoint = endpoint_id("engine-" + std::to_string(i));
            each.models = {{model_, "1", 1, routing::residency_state::ready}};
            each.running = history_.front().second.at(i).first;
            each.waiting = history_.front().second.at(i).second;
            each.received_at = clock_.now();
            for (auto& scheduler : schedulers_)
            {
                // The silent engine still answers state polls, which is the
                // harder case.
                scheduler->report(each);
            }
        }
    }

    void arrive(double step_s)
    {
        for (const auto& from : settings_.sources)
        {
            std::poisson_distribution<int> count(
                from.requests_per_second * step_s);
            for (int n = count(random_); n > 0; --n)
                ask(from);
        }
    }

    void ask(const source& from)
    {
        auto& outcome = outcomes_[from.workspace];
        ++outcome.arrived;
        std::exponential_distribution<double> spread(1.0);
        simulated_request request;
        request.prompt_tokens = from.prompt_tokens;
        request.output_tokens =
            10 + static_cast<std::int64_t>(
                     spread(random_) * static_cast<double>(from.output_tokens));
        request.arrived_at = clock_.now();
        if (from.prefixes > 0)
            request.prefix_hash = 1 + random_() % from.prefixes;
        routing::request_spec spec;
        spec.workspace = workspace_id(from.workspace);
        spec.model = model_;
        spec.cost_tokens = request.prompt_tokens + request.output_tokens;
        // Callers know an upper bound of the answer, not its length.
        spec.output_tokens = static_cast<std::int64_t>(
            std::bit_ceil(static_cast<std::uint64_t>(request.output_tokens)));
        spec.prefix_hash = request.prefix_hash;
        spec.deadline = clock_.now() + std::chrono::duration_cast<duration>(
                                           std::chrono::duration<double>(
                                               settings_.deadline_s));
        const auto index = random_() % schedulers_.size();
        const auto deadline = spec.deadline;
        schedulers_[index]->enqueue(std::move(spec),
            [this, request, index, deadline, workspace = from.workspace](
                result<routing::assignment> value) mutable
            { place(request, index, deadline, workspace, std::move(value)); });
    }

    void place(simulated_request request, std::size_t scheduler,
        time_point deadline, const std::string& workspace,
        result<routing::assignment> value)
    {
        auto& outcome = outcomes_[workspace];
        if (!value)
        {
            if (clock_.now() >= deadline)
                ++outcome.refused_late;
            else
                ++outcome.refused_early;
            return;
        }
        // Assignment ids are unique only within one scheduler.
        const auto id = ++next_flight_;
        request.assignment = id;
        const auto index = std::stoul(value->endpoint.str().substr(7));
        constexpr std::chrono::seconds event_deadline{2};
        flights_[id] = {scheduler, value->id, workspace, deadline, index,
            clock_.now() + event_deadline};
        engines_.at(index).submit(request);
    }

    void finish(const simulated_request& done)
    {
        const auto it = flights_.find(done.assignment);
        // The caller has given up already.
        if (it == flights_.end())
            return;
        const auto flight = it->second;
        flights_.erase(it);
        auto& outcome = outcomes_[flight.workspace];
        ++outcome.completed;
        outcome.attained += done.attained() ? 1 : 0;
        outcome.prefix_hits += done.prefix_hit ? 1 : 0;
        schedulers_[flight.scheduler]->release(
            flight.assignment, routing::outcome::completed, done.output_tokens);
    }

    // Ends requests whose engine is silent or whose deadline has passed.
    void expire()
    {
        std::vector<std::pair<flight, routing::outcome>> ended;
        for (auto it = flights_.begin(); it != flights_.end();)
        {
            const auto& each = it->second;
            const bool silent = engines_[each.engine].silent() &&
                                each.next_event_by <= clock_.now();
            if (!silent && each.deadline > clock_.now())
            {
                ++it;
                continue;
            }
            ++outcomes_[each.workspace].failed;
            ended.emplace_back(each, silent ? routing::outcome::failed
                                            : routing::outcome::cancelled);
            engines_[each.engine].cancel(it->first);
            it = flights_.erase(it);
        }
        // Releasing may place further requests, which changes `flights_`.
        for (const auto& [each, how] : ended)
            schedulers_[each.scheduler]->release(each.assignment, how);
    }

    const traffic_settings settings_;
    const model_id model_{"model"};
    std::mt19937_64 random_;
    fake_clock clock_;
    std::vector<engine_sim> engines_;
    std::vector<std::unique_ptr<scheduler_type>> schedulers_;
    std::deque<std::pair<time_point, std::vector<std::pair<int, int>>>>
        history_;
    std::map<std::uint64_t, flight> flights_;
    std::uint64_t next_flight_ = 0;
    std::map<std::string, source_outcome> outcomes_;
};

} // namespace tarragonquay::experiment
