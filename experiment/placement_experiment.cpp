#include "experiment/placement_experiment.hpp"

#include <fmt/format.h>

#include "experiment/region_sim.hpp"

namespace tarragonquay::experiment
{
namespace
{

struct company
{
    std::string name;
    region_settings settings;
};

std::vector<company> companies()
{
    company cards{"17/55 on 12", {}};
    company contracts{"15/80 on 10", {}};
    contracts.settings.models = 15;
    contracts.settings.adapters = 80;
    contracts.settings.accelerators = 10;
    contracts.settings.limits.loads_per_second = 1.5;
    contracts.settings.limits.concurrent_loads = 5;
    contracts.settings.limits.adapters_in_flight = 40;
    // Not all models fit at once, so that they have to take turns.
    company tight{"17/55 on 6", cards.settings};
    tight.settings.accelerators = 6;
    return {cards, contracts, tight};
}

template <class Planner>
void add_row(table& out, const std::string& planner, const company& who,
    const options& chosen)
{
    figure attainment;
    figure per_accelerator;
    figure moves;
    figure moved;
    figure gap;
    figure never;
    for (const auto seed : chosen.seeds)
    {
        auto settings = who.settings;
        settings.seed = seed;
        settings.seconds = chosen.seconds;
        const auto result = run_region<Planner>(settings);
        const auto attained = static_cast<double>(result.attained);
        constexpr double gigabyte = 1e9;
        attainment.add(
            100 * attained /
            static_cast<double>(std::max<std::int64_t>(1, result.arrived)));
        per_accelerator.add(attained /
                            static_cast<double>(settings.accelerators) /
                            settings.seconds);
        moves.add(static_cast<double>(result.moves));
        moved.add(static_cast<double>(result.bytes_moved) / gigabyte);
        gap.add(result.longest_unanswered_s);
        never.add(static_cast<double>(result.never_answered));
    }
    out.rows.push_back(
        {who.name, planner, attainment.text(1), per_accelerator.text(3),
            moves.text(0), moved.text(0), gap.text(1), never.text(1)});
}

} // namespace

result<table> run_placement(const options& settings)
{
    if (settings.seeds.empty() || settings.seconds <= 0)
        return fail(error_code::invalid_argument,
            "The experiment needs a seed and a positive time.");
    table out;
    out.title = fmt::format(
        "placement: demand of three models is tenfold and moves every 120 s; "
        "{} s, {} seeds, mean (lowest..highest)",
        settings.seconds, settings.seeds.size());
    out.columns = {"models/adapters", "planner", "attainment %",
        "attained/s per accelerator", "moves", "GB moved",
        "longest unanswered s", "models never answered"};
    for (const auto& who : companies())
    {
        add_row<placement::demand_planner>(out, "demand", who, settings);
        add_row<placement::static_planner>(out, "static", who, settings);
    }
    return out;
}

} // namespace tarragonquay::experiment
