#include "experiment/plan_times.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "placement/planner.hpp"

namespace tarragonquay::experiment
{
namespace
{

using placement::cluster_view;

constexpr std::int64_t gigabyte = 1'000'000'000;

struct region_size
{
    std::size_t models = 0;
    std::size_t engines = 0;
};

enum class situation
{
    // Nothing is loaded.
    empty,
    // All memory is in use, and some models have ten times the usual demand.
    shifted,
    // All memory is in use by models that may not move yet, and a third of
    // the models has no replica and waits. Every engine is looked at for each
    // of them, in vain.
    stuck
};

constexpr double usual_tokens_per_second = 1000;

cluster_view make_view(const region_size& size, situation kind, unsigned seed)
{
    std::mt19937_64 random(seed);
    cluster_view view;
    for (std::size_t i = 0; i < size.models; ++i)
    {
        placement::model_view model;
        model.id = model_id(fmt::format("model-{}", i));
        model.version = "1";
        model.bytes = static_cast<std::int64_t>(24 + 4 * (i % 5)) * gigabyte;
        const bool hot = kind == situation::shifted && i % 6 == 0;
        model.tokens_per_second = usual_tokens_per_second * (hot ? 10 : 1) *
                                  static_cast<double>(size.engines) /
                                  static_cast<double>(size.models);
        constexpr double long_ago_s = 1000;
        model.unchanged_s = kind == situation::stuck ? 0 : long_ago_s;
        const bool waits = kind == situation::stuck && i % 3 == 0;
        model.waiting = waits ? 1 : 0;
        model.waiting_s = waits ? 1 + static_cast<double>(i) / 1000 : 0;
        for (int k = 0; k < 4; ++k)
            model.adapters.push_back(
                {adapter_id(fmt::format("adapter-{}-{}", i, k)), "1",
                    gigabyte / 10, 1, 0});
        view.models.push_back(std::move(model));
    }
    std::uniform_int_distribution<std::size_t> any(0, size.models - 1);
    for (std::size_t i = 0; i < size.engines; ++i)
    {
        placement::engine_view engine;
        engine.id = endpoint_id(fmt::format("engine-{}", i));
        engine.free_bytes = 80 * gigabyte;
        engine.usable = engine.accepts_command = true;
        constexpr int tries = 8;
        for (int k = 0; kind != situation::empty && k < tries; ++k)
        {
            const auto& model = view.models[any(random)];
            const bool present =
                std::any_of(engine.replicas.begin(), engine.replicas.end(),
                    [&](const auto& each) { return each.model == model.id; });
            if (present || model.waiting > 0 || engine.free_bytes < model.bytes)
                continue;
            placement::replica_view replica;
            replica.model = model.id;
            replica.version = "1";
            replica.bytes = model.bytes;
            replica.ready = true;
            for (const auto& adapter : model.adapters)
                replica.adapters.insert(adapter.id);
            engine.replicas.push_back(std::move(replica));
            engine.free_bytes -= model.bytes;
        }
        if (kind != situation::empty)
            engine.free_bytes = 0;
        view.engines.push_back(std::move(engine));
    }
    view.loads_allowed = 1;
    return view;
}

double plan_ms(const cluster_view& view)
{
    const auto begun = std::chrono::steady_clock::now();
    const auto moves = placement::plan(view, placement::planner_limits());
    const std::chrono::duration<double, std::milli> passed =
        std::chrono::steady_clock::now() - begun;
    // The result is used, so that the call can't be left out.
    return moves.size() > view.engines.size() * view.models.size()
               ? 0
               : passed.count();
}

void add_row(table& out, const region_size& size, const std::string& name,
    situation kind, const options& chosen)
{
    std::vector<double> times;
    constexpr int plans_per_seed = 9;
    for (const auto seed : chosen.seeds)
    {
        const auto view = make_view(size, kind, static_cast<unsigned>(seed));
        for (int i = 0; i < plans_per_seed; ++i)
            times.push_back(plan_ms(view));
    }
    std::sort(times.begin(), times.end());
    out.rows.push_back(
        {fmt::format("{}", size.models), fmt::format("{}", size.engines), name,
            fmt::format("{:.2f}", times[times.size() / 2]),
            fmt::format("{:.2f}", times.back())});
}

} // namespace

result<table> run_plan_times(const options& settings)
{
    if (settings.seeds.empty())
        return fail(
            error_code::invalid_argument, "The experiment needs a seed.");
    table out;
    out.title = fmt::format("plans: real time of one plan, {} seeds, 9 plans "
                            "for each seed",
        settings.seeds.size());
    out.columns = {"models", "engines", "situation", "median ms", "longest ms"};
    for (const auto& size :
        {region_size{17, 9}, region_size{126, 1580}, region_size{630, 7900}})
    {
        add_row(out, size, "empty", situation::empty, settings);
        add_row(out, size, "shifted", situation::shifted, settings);
        add_row(out, size, "stuck", situation::stuck, settings);
    }
    return out;
}

} // namespace tarragonquay::experiment
