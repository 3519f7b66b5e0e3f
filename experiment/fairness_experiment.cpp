#include "experiment/fairness_experiment.hpp"

#include <algorithm>

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
    constexpr std::size_t engine_count = 6;
    out.engines.resize(engine_count);
    out.instances = 2;
    // Larger batches would exceed 33 ms between tokens.
    out.limits.initial_in_flight = 10;
    out.limits.max_in_flight = 10;
    // The engines serve about 34 requests a second. Each workspace has a rate
    // of 6; the first sends five times as much, the others send half.
    constexpr double rate = 6;
    constexpr double within = rate / 2;
    out.sources = {{"heavy", 5 * rate}, {"a", within}, {"b", within},
        {"c", within}, {"d", within}};
    return out;
}

template <class Queue>
void add_row(table& out, const std::string& name, const options& chosen)
{
    figure worst;
    figure heavy;
    figure early;
    figure late;
    figure cut_off;
    figure within;
    for (const auto seed : chosen.seeds)
    {
        traffic_run<routing::load_aware_choice, Queue> run(
            settings_for(chosen, seed));
        double lowest = 1;
        std::int64_t refused_early = 0;
        std::int64_t refused_late = 0;
        std::int64_t failed = 0;
        std::int64_t refused_within = 0;
        for (const auto& [workspace, each] : run.run())
        {
            refused_early += each.refused_early;
            refused_late += each.refused_late;
            failed += each.failed;
            if (workspace == "heavy")
            {
                heavy.add(100 * each.attainment());
                continue;
            }
            lowest = std::min(lowest, each.attainment());
            refused_within += each.refused_early + each.refused_late;
        }
        worst.add(100 * lowest);
        early.add(static_cast<double>(refused_early));
        late.add(static_cast<double>(refused_late));
        cut_off.add(static_cast<double>(failed));
        within.add(static_cast<double>(refused_within));
    }
    out.rows.push_back({name, worst.text(1), heavy.text(1), early.text(0),
        late.text(0), cut_off.text(0), within.text(0)});
}

} // namespace

result<table> run_fairness(const options& settings)
{
    if (settings.seeds.empty() || settings.seconds <= 0)
        return fail(error_code::invalid_argument,
            "The experiment needs a seed and a positive time.");
    table out;
    out.title = fmt::format(
        "fairness: one workspace at five times its rate, four within; {} s, "
        "{} seeds, mean (lowest..highest)",
        settings.seconds, settings.seeds.size());
    out.columns = {"queue", "attainment of worst workspace within rate %",
        "attainment of heavy workspace %", "refused early",
        "refused at deadline", "cut off at deadline", "refused within rate"};
    add_row<routing::fair_queue>(out, "fair", settings);
    add_row<routing::fifo_queue>(out, "fifo", settings);
    return out;
}

} // namespace tarragonquay::experiment
