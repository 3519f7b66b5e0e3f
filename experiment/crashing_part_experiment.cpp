#include "experiment/crashing_part_experiment.hpp"

#include <algorithm>
#include <functional>

#include <fmt/format.h>

#include "experiment/crash_sim.hpp"

namespace tarragonquay::experiment
{
namespace
{

using namespace std::chrono_literals;

struct fleet_size
{
    int gateways;
    int engines;
    double requests_per_s;
    double exchange_s;
};

struct rules
{
    std::string name;
    int max_sends;
    dispatch::crash_thresholds thresholds;
};

constexpr fleet_size fleets[] = {
    {7, 12, 60, 0.25}, {65, 48, 240, 0.75}, {90, 64, 320, 0.75}};

const std::vector<rules>& compared_rules()
{
    static const std::vector<rules> list{
        {"refuse at 2, one repeat", 2, {2, 2, 3, 500ms}},
        {"refuse at 3, one repeat", 2, {2, 3, 4, 500ms}},
        {"refuse at 4, one repeat", 2, {2, 4, 5, 500ms}},
        {"refuse at 3, no repeat", 1, {2, 3, 4, 500ms}},
        {"refuse at 3, one repeat, 200 ms", 2, {2, 3, 4, 200ms}},
        {"refuse at 3, one repeat, each crash", 2, {2, 3, 4, 0ms}},
    };
    return list;
}

crash_mix mix_of(const options& settings, unsigned seed, const fleet_size& size,
    const rules& chosen)
{
    crash_mix out;
    out.seed = seed;
    out.seconds = settings.seconds;
    out.gateways = size.gateways;
    out.engines = size.engines;
    out.requests_per_s = size.requests_per_s;
    out.exchange_s = size.exchange_s;
    out.max_sends = chosen.max_sends;
    out.thresholds = chosen.thresholds;
    return out;
}

std::string median_and_worst(std::vector<double> values, int decimals)
{
    if (values.empty())
        return "-";
    std::sort(values.begin(), values.end());
    return fmt::format("{:.{}f} ({:.{}f})", values[values.size() / 2], decimals,
        values.back(), decimals);
}

std::string share(std::int64_t count, std::int64_t all)
{
    return fmt::format("{:.3f}", all == 0 ? 0.0
                                          : 100.0 * static_cast<double>(count) /
                                                static_cast<double>(all));
}

result<table> refused_options()
{
    return fail(error_code::invalid_argument,
        "The experiment needs a seed and a positive time.");
}

bool usable(const options& settings)
{
    return !settings.seeds.empty() && settings.seconds > 0;
}

void add_crashing_row(table& out, const options& settings,
    const fleet_size& size, const rules& chosen)
{
    constexpr int allowed_late = 3;
    std::vector<double> crashes;
    std::vector<double> seconds;
    std::vector<double> late;
    std::vector<double> total;
    int never = 0;
    int exceeded = 0;
    crash_outcome sum;
    for (const auto seed : settings.seeds)
    {
        auto mix = mix_of(settings, seed, size, chosen);
        // From one in two seconds to eight a second.
        mix.bad_per_s = 0.5 * (1u << (seed % 5));
        const auto one = crash_sim(mix).run();
        if (one.crashes_to_refusal)
        {
            crashes.push_back(*one.crashes_to_refusal);
            seconds.push_back(*one.seconds_to_refusal);
        }
        never += one.crashes_to_refusal ? 0 : 1;
        exceeded += one.late_bad_sends > allowed_late ? 1 : 0;
        late.push_back(one.late_bad_sends);
        total.push_back(one.crashes);
        sum.sound += one.sound;
        sum.sound_refused += one.sound_refused;
        sum.sound_delayed += one.sound_delayed;
        sum.sound_lost += one.sound_lost;
    }
    out.rows.push_back({fmt::format("{}", size.gateways), chosen.name,
        median_and_worst(crashes, 0), median_and_worst(seconds, 2),
        std::to_string(never), median_and_worst(total, 0),
        median_and_worst(late, 0), std::to_string(exceeded),
        share(sum.sound_refused, sum.sound),
        share(sum.sound_delayed, sum.sound), share(sum.sound_lost, sum.sound)});
}

void add_ordinary_row(table& out, const options& settings,
    const fleet_size& size, const rules& chosen, ordinary_ends ends,
    const std::string& name)
{
    int runs_refusing = 0;
    int runs_delaying = 0;
    crash_outcome sum;
    for (const auto seed : settings.seeds)
    {
        auto mix = mix_of(settings, seed, size, chosen);
        mix.bad_per_s = 0;
        mix.ends = ends;
        const auto one = crash_sim(mix).run();
        runs_refusing += one.sound_refused != 0 ? 1 : 0;
        runs_delaying += one.sound_delayed != 0 ? 1 : 0;
        sum.sound += one.sound;
        sum.sound_refused += one.sound_refused;
        sum.sound_delayed += one.sound_delayed;
        sum.sound_lost += one.sound_lost;
    }
    out.rows.push_back({fmt::format("{}", size.gateways), chosen.name, name,
        std::to_string(runs_refusing), share(sum.sound_refused, sum.sound),
        std::to_string(runs_delaying), share(sum.sound_delayed, sum.sound),
        share(sum.sound_lost, sum.sound)});
}

} // namespace

result<table> run_crashing_part(const options& settings)
{
    if (!usable(settings))
        return refused_options();
    table out;
    out.title = fmt::format(
        "crashing-part: one part crashes each engine that answers it; {} s, "
        "{} mixes, median (worst) of the mixes",
        settings.seconds, settings.seeds.size());
    out.columns = {"gateways", "rules", "crashes until all refuse",
        "s from first crash until all refuse", "mixes without refusal",
        "crashes in all", "sends later than 3 s after fifth crash",
        "mixes with more than 3 of them", "sound refused %", "sound delayed %",
        "sound lost %"};
    for (const auto& size : fleets)
        for (const auto& chosen : compared_rules())
            add_crashing_row(out, settings, size, chosen);
    return out;
}

result<table> run_ordinary_ends(const options& settings)
{
    if (!usable(settings))
        return refused_options();
    table out;
    out.title = fmt::format("ordinary-ends: engines end, and no part is the "
                            "cause; {} s, {} mixes",
        settings.seconds, settings.seeds.size());
    out.columns = {"gateways", "rules", "ends", "mixes with refusals",
        "sound refused %", "mixes with delays", "sound delayed %",
        "sound lost %"};
    const std::pair<ordinary_ends, std::string> kinds[] = {
        {ordinary_ends::single, "single"}, {ordinary_ends::zone, "zone"},
        {ordinary_ends::release, "release"},
        {ordinary_ends::flapping, "flapping"}};
    for (const auto& size : fleets)
        for (const auto& chosen : compared_rules())
            for (const auto& [ends, name] : kinds)
                add_ordinary_row(out, settings, size, chosen, ends, name);
    return out;
}

} // namespace tarragonquay::experiment
