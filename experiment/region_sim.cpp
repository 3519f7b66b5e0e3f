#include "experiment/region_sim.hpp"

#include <algorithm>

namespace tarragonquay::experiment
{
namespace
{

using placement::command_kind;

constexpr std::int64_t gigabyte = 1'000'000'000;
// Weights arrive from the store at this rate.
constexpr double load_bytes_per_second = 6e9;
constexpr double request_tokens = 500;
constexpr double patience_s = 30;

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

placement::command_answer loading_engine::receive(
    const placement::intent& command, time_point now)
{
    highest_fencing_ = std::max(highest_fencing_, command.fencing);
    if (command.kind == command_kind::load_model)
    {
        auto& fresh = models_[command.model];
        fresh.bytes = command.bytes;
        fresh.ready_at = now + seconds(static_cast<double>(command.bytes) /
                                       load_bytes_per_second);
    }
    else if (command.kind == command_kind::unload_model)
        models_.erase(command.model);
    else if (command.kind == command_kind::load_adapter)
    {
        const auto it = models_.find(command.model);
        if (it != models_.end())
            it->second.adapters.insert(command.adapter);
    }
    else if (command.kind == command_kind::unload_adapter)
    {
        const auto it = models_.find(command.model);
        if (it != models_.end())
            it->second.adapters.erase(command.adapter);
    }
    return placement::command_answer::accepted;
}

void loading_engine::advance(time_point now)
{
    for (auto& [model, state] : models_)
        state.ready = state.ready || now >= state.ready_at;
}

routing::endpoint_report loading_engine::report(time_point now) const
{
    routing::endpoint_report out;
    out.endpoint = endpoint_id(id_);
    out.incarnation = "1";
    out.capacity_bytes = capacity_;
    out.highest_fencing = highest_fencing_;
    out.received_at = now;
    for (const auto& [model, state] : models_)
    {
        out.models.push_back({model, "1", state.bytes,
            state.ready ? routing::residency_state::ready
                        : routing::residency_state::loading});
        for (const auto& adapter : state.adapters)
            out.adapters.push_back({adapter, model});
    }
    return out;
}

bool loading_engine::ready(
    const model_id& model, const adapter_id& adapter) const
{
    const auto it = models_.find(model);
    return it != models_.end() && it->second.ready &&
           (adapter.empty() || it->second.adapters.contains(adapter));
}

void direct_transport::send(const placement::intent& command,
    const store::handler<placement::command_answer>& on_done)
{
    if (command.adapter.empty())
    {
        ++outcome_.moves;
        if (command.kind == command_kind::load_model)
            outcome_.bytes_moved += command.bytes;
    }
    for (auto& engine : engines_)
        if (engine.id() == command.endpoint.str())
            return on_done(engine.receive(command, clock_.now()));
}

std::vector<catalog::model> make_models(const region_settings& settings)
{
    std::vector<catalog::model> out;
    for (std::size_t i = 0; i < settings.models; ++i)
        // Two or three models fit on an accelerator.
        out.push_back({model_id("model-" + std::to_string(i)), "1",
            static_cast<std::int64_t>(24 + 4 * (i % 5)) * gigabyte});
    return out;
}

std::vector<catalog::adapter> make_adapters(
    const region_settings& settings, const std::vector<catalog::model>& models)
{
    std::vector<catalog::adapter> out;
    for (std::size_t i = 0; i < settings.adapters; ++i)
        out.push_back({adapter_id("adapter-" + std::to_string(i)),
            models.at(i % models.size()).id, "1", gigabyte / 10});
    return out;
}

region_traffic::region_traffic(const region_settings& settings,
    std::vector<catalog::model> models, std::vector<catalog::adapter> adapters)
    : settings_(settings), models_(std::move(models)), random_(settings.seed)
{
    for (const auto& each : adapters)
        adapters_[each.model].push_back(each.id);
}

double region_traffic::rate_of(std::size_t model, double elapsed_s) const
{
    // Three models have ten times the usual demand; others take their place
    // every two minutes. The last models are asked for rarely.
    constexpr double phase_s = 120;
    const auto phase = static_cast<std::size_t>(elapsed_s / phase_s);
    const auto shift =
        (model + settings_.models - (phase * 3) % settings_.models) %
        settings_.models;
    constexpr double usual = 0.6;
    constexpr double rare = 0.05;
    const auto base = model + 3 >= settings_.models ? rare : usual;
    return shift < 3 ? 10 * base : base;
}

void region_traffic::arrive(time_point now, double elapsed_s, double step_s)
{
    for (std::size_t i = 0; i < models_.size(); ++i)
    {
        const auto& model = models_[i].id;
        std::poisson_distribution<int> count(rate_of(i, elapsed_s) * step_s);
        auto& of = lines_[model];
        for (int n = count(random_); n > 0; --n)
        {
            request fresh;
            fresh.arrived_at = now;
            fresh.spec.model = model;
            fresh.spec.cost_tokens = static_cast<std::int64_t>(request_tokens);
            const auto& own = adapters_[model];
            // Half of the requests name an adapter.
            if (!own.empty() && random_() % 2 == 0)
                fresh.spec.adapter = own[random_() % own.size()];
            meter_.requested(fresh.spec, now);
            meter_.started_waiting(fresh.spec, now);
            if (of.waiting.empty())
                of.unanswered_since = now;
            of.waiting.push_back(std::move(fresh));
            ++of.arrived;
            ++arrived_;
        }
    }
}

void region_traffic::note_gap(line& of, time_point now, region_outcome& outcome)
{
    const auto gap =
        std::chrono::duration<double>(now - of.unanswered_since).count();
    outcome.longest_unanswered_s = std::max(outcome.longest_unanswered_s, gap);
    of.unanswered_since = now;
}

void region_traffic::serve(const std::vector<loading_engine>& engines,
    time_point now, double step_s, region_outcome& outcome)
{
    for (auto& entry : lines_)
    {
        const auto& model = entry.first;
        auto& of = entry.second;
        double replicas = 0;
        for (const auto& engine : engines)
            replicas += engine.ready(model, {}) ? 1 : 0;
        const auto per_step =
            replicas * settings_.limits.replica_tokens_per_second * step_s;
        // Idle capacity can't be saved up.
        of.credit = std::min(of.credit + per_step, per_step + request_tokens);
        for (auto it = of.waiting.begin(); it != of.waiting.end();)
        {
            const auto waited =
                std::chrono::duration<double>(now - it->arrived_at).count();
            const bool servable = std::any_of(engines.begin(), engines.end(),
                [&](const loading_engine& engine)
                { return engine.ready(model, it->spec.adapter); });
            const bool served = servable && of.credit >= request_tokens;
            if (!served && waited < patience_s)
            {
                ++it;
                continue;
            }
            meter_.stopped_waiting(it->spec, it->arrived_at);
            if (served)
            {
                of.credit -= request_tokens;
                ++of.answered;
                outcome.attained += waited <= 1.0 ? 1 : 0;
                note_gap(of, now, outcome);
            }
            else
                ++outcome.expired;
            it = of.waiting.erase(it);
        }
    }
}

void region_traffic::finish(time_point now, region_outcome& outcome)
{
    outcome.arrived = arrived_;
    for (auto& [model, of] : lines_)
    {
        if (!of.waiting.empty())
            note_gap(of, now, outcome);
        if (of.arrived > 0 && of.answered == 0)
            ++outcome.never_answered;
    }
}

} // namespace tarragonquay::experiment
