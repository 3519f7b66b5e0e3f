#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "common/clock.hpp"
#include "limits/limiter.hpp"

namespace tarragonquay::experiment
{

/// Where the requests of a workspace arrive.
enum class demand_pattern
{
    even,
    /// All requests of a workspace at one instance.
    concentrated,
    /// Most requests at one instance, which changes every ten seconds.
    moving
};

enum class limits_fault
{
    none,
    killed,
    /// No message to or from the other instances; the store still answers.
    cut_off,
    /// An instance is killed while no epoch can be opened.
    store_down,
    /// Every instance is replaced in turn.
    rolling
};

struct limits_scenario
{
    int instances = 6;
    demand_pattern pattern = demand_pattern::even;
    limits_fault fault = limits_fault::none;
    double seconds = 120;
    unsigned seed = 1;
};

/// A request of the trace. The use is known to the engine only.
struct limits_request
{
    time_point at;
    std::size_t workspace = 0;
    int instance = 0;
    std::int64_t reserved = 0;
    std::int64_t used = 0;
    duration service_time{};
};

struct traced_workspace
{
    catalog::workspace limit;
    /// Used tokens that the callers ask for, as a part of the rate.
    double load = 0;
};

/// Five workspaces, of which the second sends three times its rate.
const std::vector<traced_workspace>& traced_workspaces();

/// The requests in order of arrival; equal scenarios give equal traces.
std::vector<limits_request> trace_of(
    const limits_scenario& scenario, time_point start);

} // namespace tarragonquay::experiment
