#include "experiment/routing_experiment.hpp"

#include <fmt/format.h>

#include "experiment/traffic_run.hpp"

namespace tarragonquay::experiment
{
namespace
{

traffic_settings settings_for(const options& chosen, unsigned seed)
{
    traffic_settings out;
    out.seed = seed;
    out.seconds = chosen.seconds;
    out.deadline_s = 8;
    constexpr std::size_t engine_count = 12;
    out.engines.resize(engine_count);
    // The slow engine needs three times as long for everything.
    out.engines[0].prefill_tokens_per_second /= 3;
    out.engines[0].base_token_s *= 3;
    out.engines[0].token_s_per_request *= 3;
    out.silent_engine = 1;
    out.sources = {{"composer", 20, 1500, 120, 120},
        {"desk", 10, 1500, 200, 80}, {"other", 6, 600, 120, 0}};
    return out;
}

template <class Choice>
void add_row(table& out, const std::string& name, const options& chosen)
{
    figure attainment;
    figure per_accelerator;
    figure hits;
    figure failed;
    for (const auto seed : chosen.seeds)
    {
        const auto settings = settings_for(chosen, seed);
        source_outcome sum;
        traffic_run<Choice, routing::fair_queue> run(settings);
        for (const auto& [workspace, each] : run.run())
        {
            sum.arrived += each.arrived;
            sum.attained += each.attained;
            sum.completed += each.completed;
            sum.prefix_hits += each.prefix_hits;
            sum.failed += each.failed;
        }
        attainment.add(100 * sum.attainment());
        per_accelerator.add(static_cast<double>(sum.attained) /
                            static_cast<double>(settings.engines.size()) /
                            chosen.seconds);
        hits.add(100.0 * static_cast<double>(sum.prefix_hits) /
                 static_cast<double>(std::max<std::int64_t>(1, sum.completed)));
        failed.add(static_cast<double>(sum.failed));
    }
    out.rows.push_back({name, attainment.text(1), per_accelerator.text(2),
        hits.text(1), failed.text(0)});
}

} // namespace

result<table> run_routing(const options& settings)
{
    if (settings.seeds.empty() || settings.seconds <= 0)
        return fail(error_code::invalid_argument,
            "The experiment needs a seed and a positive time.");
    table out;
    out.title = fmt::format(
        "routing: 12 engines, one slow, one silent; {} s, {} seeds, mean "
        "(lowest..highest)",
        settings.seconds, settings.seeds.size());
    out.columns = {"choice", "attainment %", "attained/s per accelerator",
        "prefix hits %", "failed"};
    add_row<routing::load_aware_choice>(out, "load_aware", settings);
    add_row<routing::least_in_flight_choice>(out, "least_in_flight", settings);
    add_row<routing::random_choice>(out, "random", settings);
    return out;
}

} // namespace tarragonquay::experiment
