#include "experiment/limits_trace.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace tarragonquay::experiment
{

const std::vector<traced_workspace>& traced_workspaces()
{
    static const std::vector<traced_workspace> list{
        {{workspace_id("composer"), 20'000, 80'000}, 0.8},
        {{workspace_id("desk"), 12'000, 48'000}, 3.0},
        {{workspace_id("florist"), 2'000, 10'000}, 0.8},
        {{workspace_id("printer"), 1'000, 8'000}, 0.5},
        {{workspace_id("dispatch"), 500, 8'000}, 0.5},
    };
    return list;
}

namespace
{

int instance_of(const limits_scenario& scenario, std::size_t workspace,
    double at_s, std::mt19937_64& random)
{
    const auto any = static_cast<int>(
        random() % static_cast<std::uint64_t>(scenario.instances));
    const auto home = static_cast<int>(workspace);
    constexpr double move_every_s = 10;
    constexpr std::uint64_t moving_of_ten = 9;
    const bool hot = random() % 10 < moving_of_ten;
    const auto step = static_cast<int>(at_s / move_every_s);
    switch (scenario.pattern)
    {
    case demand_pattern::concentrated:
        return home % scenario.instances;
    case demand_pattern::moving:
        return hot ? (home + step) % scenario.instances : any;
    default:
        return any;
    }
}

duration seconds_of(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

std::vector<limits_request> trace_of(
    const limits_scenario& scenario, time_point start)
{
    constexpr double least_tokens = 30;
    // A large request needs level of several members.
    constexpr double largest_part_of_burst = 0.5;
    // Used part of a reservation; a byte of the prompt is reserved as a
    // token and answers seldom reach the maximum.
    constexpr double least_used = 0.15;
    constexpr double most_used = 0.6;
    std::vector<limits_request> trace;
    for (std::size_t w = 0; w < traced_workspaces().size(); ++w)
    {
        std::mt19937_64 random(std::uint64_t{scenario.seed} * 1000 + w);
        const auto& each = traced_workspaces()[w];
        const auto most = largest_part_of_burst *
                          static_cast<double>(each.limit.burst_tokens);
        // The mean of a log-uniform cost.
        const auto mean = (most - least_tokens) / std::log(most / least_tokens);
        const auto per_second =
            each.load * static_cast<double>(each.limit.rate_tokens_per_second) /
            (mean * (least_used + most_used) / 2);
        std::exponential_distribution<double> gap(per_second);
        std::uniform_real_distribution<double> exponent(0, 1);
        std::uniform_real_distribution<double> part(least_used, most_used);
        std::uniform_real_distribution<double> service(0.2, 4);
        for (double at = gap(random); at < scenario.seconds; at += gap(random))
        {
            limits_request request;
            request.at = start + seconds_of(at);
            request.workspace = w;
            request.instance = instance_of(scenario, w, at, random);
            const auto cost =
                least_tokens * std::pow(most / least_tokens, exponent(random));
            request.reserved = static_cast<std::int64_t>(cost);
            request.used = static_cast<std::int64_t>(cost * part(random));
            request.service_time = seconds_of(service(random));
            trace.push_back(request);
        }
    }
    std::sort(trace.begin(), trace.end(),
        [](const limits_request& a, const limits_request& b)
        { return a.at < b.at; });
    return trace;
}

} // namespace tarragonquay::experiment
