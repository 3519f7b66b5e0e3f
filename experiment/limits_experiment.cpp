#include "experiment/limits_experiment.hpp"

#include <map>

#include <fmt/format.h>

#include "experiment/limits_run.hpp"

namespace tarragonquay::experiment
{
namespace
{

struct named_scenario
{
    std::string name;
    demand_pattern pattern;
    limits_fault fault;
};

const std::vector<named_scenario>& scenarios()
{
    static const std::vector<named_scenario> list{
        {"even", demand_pattern::even, limits_fault::none},
        {"concentrated", demand_pattern::concentrated, limits_fault::none},
        {"moving", demand_pattern::moving, limits_fault::none},
        {"killed", demand_pattern::moving, limits_fault::killed},
        {"cut off", demand_pattern::moving, limits_fault::cut_off},
        {"store down", demand_pattern::moving, limits_fault::store_down},
        {"rolling", demand_pattern::moving, limits_fault::rolling},
    };
    return list;
}

/// Requests that one bucket for the workspace admits, and those of them that
/// the policy refuses.
struct comparison
{
    std::int64_t ideal = 0;
    std::int64_t refused = 0;

    double percent() const
    {
        return ideal == 0 ? 0.0
                          : 100.0 * static_cast<double>(refused) /
                                static_cast<double>(ideal);
    }
};

struct figures
{
    figure overshoot;
    figure within;
    figure above;
    figure messages;
    figure bytes;
};

// A bucket that one instance holds alone, without faults, is the ideal.
std::vector<limits_answer> ideal_answers(
    const std::vector<limits_request>& trace)
{
    const time_point start = trace.empty() ? time_point{} : trace.front().at;
    limits::basic_limiter<limits::static_split_policy> bucket(
        instance_id("ideal"), "ideal/1");
    limits::limits_view view;
    catalog::member only;
    only.instance = instance_id("ideal");
    only.incarnation = "ideal/1";
    view.members = {only};
    view.epoch = 1;
    view.epoch_open = true;
    bucket.apply(view, start);
    for (const auto& each : traced_workspaces())
        view.workspaces.push_back(each.limit);
    bucket.apply(view, start);
    std::vector<limits_answer> answers(trace.size());
    std::multimap<time_point, std::pair<limits::reservation, std::int64_t>>
        open;
    for (std::size_t i = 0; i < trace.size(); ++i)
    {
        const auto& request = trace[i];
        while (!open.empty() && open.begin()->first <= request.at)
        {
            const auto& [reserved, used] = open.begin()->second;
            bucket.settle(reserved, used, open.begin()->first);
            open.erase(open.begin());
        }
        const auto made =
            bucket.admit(traced_workspaces()[request.workspace].limit.id,
                request.reserved, request.at);
        answers[i] = made ? limits_answer::admitted : limits_answer::refused;
        if (made)
            open.emplace(request.at + request.service_time,
                std::pair{*made, request.used});
    }
    return answers;
}

template <class Policy>
void measure(const limits_scenario& scenario, figures& into)
{
    const auto trace = trace_of(scenario, time_point(std::chrono::hours(1)));
    const auto ideal = ideal_answers(trace);
    const auto outcome = limits_run<Policy>(scenario).run();
    comparison within;
    comparison above;
    for (std::size_t i = 0; i < trace.size(); ++i)
    {
        if (ideal[i] != limits_answer::admitted ||
            outcome.answers[i] == limits_answer::lost)
            continue;
        auto& counted =
            traced_workspaces()[trace[i].workspace].load <= 1 ? within : above;
        ++counted.ideal;
        counted.refused += outcome.answers[i] == limits_answer::refused ? 1 : 0;
    }
    into.overshoot.add(outcome.overshoot_tokens);
    into.within.add(within.percent());
    into.above.add(above.percent());
    into.messages.add(outcome.messages_per_second);
    into.bytes.add(outcome.bytes_per_second);
}

template <class Policy>
void add_rows(table& out, const std::string& policy, const options& chosen)
{
    for (const int instances : {6, 7})
    {
        for (const auto& each : scenarios())
        {
            figures sum;
            for (const auto seed : chosen.seeds)
                measure<Policy>(
                    {instances, each.pattern, each.fault, chosen.seconds, seed},
                    sum);
            out.rows.push_back({policy, fmt::format("{}", instances), each.name,
                sum.overshoot.text(0), sum.within.text(2), sum.above.text(1),
                sum.messages.text(1), sum.bytes.text(0)});
        }
    }
}

} // namespace

result<table> run_limits(const options& settings)
{
    if (settings.seeds.empty() || settings.seconds <= 0)
        return fail(error_code::invalid_argument,
            "The experiment needs a seed and a positive time.");
    table out;
    out.title = fmt::format(
        "limits: four workspaces within their rate, one at three times; {} s, "
        "{} seeds, mean (lowest..highest)",
        settings.seconds, settings.seeds.size());
    out.columns = {"policy", "instances", "scenario", "overshoot tokens",
        "wrongly refused %, within rate", "wrongly refused %, above rate",
        "messages/s per instance", "bytes/s per instance"};
    add_rows<limits::static_split_policy>(out, "static_split", settings);
    add_rows<limits::transfer_policy>(out, "transfers", settings);
    add_rows<limits::owner_grant_policy>(out, "owner_grants", settings);
    return out;
}

} // namespace tarragonquay::experiment
