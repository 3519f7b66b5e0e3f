#include "explain/request_story.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace tarragonquay::explain
{

namespace
{

/// Lines before the request that may have led to its outcome. The next holder
/// of the placement lease is found within 9 s.
constexpr std::int64_t history_ms = 10'000;
/// A configuration is applied by all instances within this time, so a smaller
/// difference does not show that two clocks differ.
constexpr std::int64_t min_clock_offset_ms = 2'000;

using offsets = std::map<std::string, std::int64_t>;

template <std::size_t N>
bool contains(
    const std::array<std::string_view, N>& events, const std::string& event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

/// Time at which each instance applied each version of the configuration.
std::map<std::string, std::map<std::int64_t, std::int64_t>> versions_of(
    const std::vector<log_line>& all)
{
    std::map<std::string, std::map<std::int64_t, std::int64_t>> out;
    for (const auto& line : all)
        if (line.event == "configuration_applied")
            out[line.instance].emplace(line.number("version"), line.time_ms);
    return out;
}

/// Clock offsets against one instance, from the times at which the same
/// versions of the configuration were applied.
offsets clock_offsets(
    const std::vector<log_line>& all, const std::string& reference)
{
    const auto versions = versions_of(all);
    const auto base = versions.find(reference);
    offsets out;
    if (base == versions.end())
        return out;
    for (const auto& [instance, applied] : versions)
    {
        std::vector<std::int64_t> differences;
        for (const auto& [version, time_ms] : applied)
            if (const auto at = base->second.find(version);
                at != base->second.end())
                differences.push_back(time_ms - at->second);
        if (differences.empty())
            continue;
        const auto middle = differences.begin() +
                            static_cast<std::ptrdiff_t>(differences.size() / 2);
        std::nth_element(differences.begin(), middle, differences.end());
        if (std::abs(*middle) >= min_clock_offset_ms)
            out[instance] = *middle;
    }
    return out;
}

/// Instances, endpoints, model and time range in the lines of a request.
struct request_scope
{
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    /// Parts of the prompt for which the request was refused.
    std::set<std::string> refused_parts;
    std::string model;
    std::string adapter;
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
};

void add_inputs(request_scope& scope, const log_line& line)
{
    const auto inputs = line.fields.find("inputs");
    if (inputs == line.fields.end() || !inputs->is_object())
        return;
    scope.model = inputs->value("model", scope.model);
    scope.adapter = inputs->value("adapter", scope.adapter);
}

std::set<std::string> parts_of(const log_line& line)
{
    std::set<std::string> out;
    const auto parts = line.fields.find("parts");
    if (parts == line.fields.end() || !parts->is_array())
        return out;
    for (const auto& each : *parts)
        if (each.is_string())
            out.insert(each.get<std::string>());
    return out;
}

request_scope scope_of(const std::vector<log_line>& own)
{
    request_scope out;
    out.begin_ms = own.front().time_ms;
    for (const auto& line : own)
    {
        out.instances.insert(line.instance);
        if (const auto endpoint = line.text("endpoint"); !endpoint.empty())
            out.endpoints.insert(endpoint);
        add_inputs(out, line);
        if (line.event == "prompt_refused" || line.event == "prompt_held")
            out.refused_parts.merge(parts_of(line));
        out.begin_ms =
            std::min(out.begin_ms, line.time_ms - line.number("elapsed_ms"));
        out.end_ms = std::max(out.end_ms, line.time_ms);
    }
    return out;
}

bool is_lease_line(const log_line& line)
{
    return line.event.starts_with("placement_lease_");
}

bool concerns_endpoint(const log_line& line, const request_scope& scope)
{
    constexpr std::array<std::string_view, 3> ends{
        "endpoint_gone", "endpoint_lapsed", "endpoint_leaving"};
    const bool leaves =
        line.event == "endpoint_changed" && line.fields.value("leaving", false);
    return (leaves || contains(ends, line.event)) &&
           scope.instances.contains(line.instance) &&
           scope.endpoints.contains(line.text("endpoint"));
}

// An evacuation concerns requests for as long as it lasts.
bool concerns_zones(const log_line& line, const request_scope& scope)
{
    constexpr std::array<std::string_view, 2> events{
        "zone_emptied", "zone_taken_back"};
    return contains(events, line.event) &&
           scope.instances.contains(line.instance) &&
           line.time_ms <= scope.end_ms;
}

bool concerns_model(const log_line& line, const request_scope& scope)
{
    constexpr std::array<std::string_view, 2> commands{
        "engine_command", "placement_move"};
    if (scope.model.empty() || !contains(commands, line.event) ||
        line.text("model") != scope.model)
        return false;
    const auto adapter = line.text("adapter");
    return adapter.empty() || adapter == scope.adapter;
}

bool concerns_instance(const log_line& line, const request_scope& scope)
{
    constexpr std::array<std::string_view, 9> events{"store_lost",
        "store_regained", "peer_lost", "process_stopping",
        "configuration_rejected", "lines_left_out", "endpoint_paused",
        "endpoint_limited", "endpoint_warming"};
    return contains(events, line.event) &&
           scope.instances.contains(line.instance);
}

// Crashes are remembered for longer than the history of other events.
bool concerns_parts(const log_line& line, const request_scope& scope)
{
    if (line.event != "engine_ended_under_request" ||
        scope.refused_parts.empty() || line.time_ms > scope.end_ms)
        return false;
    const auto parts = parts_of(line);
    return std::any_of(parts.begin(), parts.end(),
        [&](const std::string& each)
        { return scope.refused_parts.contains(each); });
}

bool is_related(const log_line& line, const request_scope& scope)
{
    if (concerns_parts(line, scope) || concerns_zones(line, scope))
        return true;
    return line.time_ms >= scope.begin_ms - history_ms &&
           line.time_ms <= scope.end_ms &&
           (is_lease_line(line) || concerns_endpoint(line, scope) ||
               concerns_model(line, scope) || concerns_instance(line, scope));
}

/// Maps the reason of an outcome to the event that caused it.
struct cause_rule
{
    std::string_view reason;
    std::string_view event;
    /// The latest line of this event instead of the first one.
    bool latest = false;
    std::string_view explanation;
};

/// The first rule with the reason of the request and an event that occurred
/// applies.
constexpr std::array<cause_rule, 24> cause_rules{{
    {"rate_limited", "limit_reached", true,
        "the request exceeded the remaining limit of the workspace; compare "
        "demand_of_all with rate"},
    {"stopping", "process_stopping", false, "the gateway was stopping"},
    {"starting", "process_started", true,
        "the gateway had just started and did not know which endpoints were "
        "leaving"},
    {"no_configuration", "store_lost", true,
        "the gateway had no configuration and did not reach the store"},
    {"no_configuration", "peer_lost", true,
        "the gateway had no configuration and lost its peers"},
    {"model_not_ready", "placement_lease_lost", true,
        "no instance sent commands to the engines after the lease was lost"},
    {"model_not_ready", "engine_command", true,
        "the latest command for the model or adapter; see its answer"},
    {"model_not_ready", "placement_move", true,
        "a command was planned, but none had been given"},
    {"model_not_ready", "zone_emptied", true,
        "the endpoints of this zone were not used because it is evacuated, and "
        "no other engine held the model"},
    {"no_endpoint", "attempt_failed", false,
        "an endpoint failed, and no other one could be used"},
    {"no_endpoint", "endpoint_gone", true,
        "the endpoint left, and no other one could be used"},
    {"no_endpoint", "endpoint_leaving", true,
        "the endpoint said that it leaves, and no other one could be used"},
    {"no_endpoint", "zone_emptied", true,
        "the endpoints of this zone were not used because it is evacuated, and "
        "no other one could be used"},
    {"zones_evacuated", "zone_emptied", true,
        "no endpoint of the service was used because the zones of all of them "
        "are evacuated; this is the latest"},
    {"endpoints_paused", "endpoint_paused", true,
        "the endpoints of the service asked for a pause; this is the latest"},
    {"endpoints_limited", "endpoint_limited", true,
        "the endpoints that could serve the request had no place left of the "
        "limits that they have named; this is the latest"},
    {"endpoints_warming", "endpoint_warming", true,
        "the endpoints that could serve the request were cold and had no place "
        "left; this is the latest"},
    {"crashing_part", "engine_ended_under_request", false,
        "engines ended under requests with the same part of the prompt"},
    {"suspect_part", "engine_ended_under_request", false,
        "engines ended under requests with the same part of the prompt, and "
        "another such request was in flight"},
    {"unanswered", "engine_ended_under_request", false,
        "the engine process ended while the request waited there"},
    {"unanswered", "attempt_failed", false,
        "the attempt failed, and it is unknown whether the request ran"},
    {"timeout", "attempt_failed", false, "the endpoint did not answer in time"},
    {"endpoint_failed", "attempt_failed", false,
        "an endpoint failed, and the retry was answered with a failure"},
    {"stream_broken", "attempt_failed", false,
        "the stream broke off at an endpoint and was not finished"},
}};

// A lease that was obtained again is not the cause.
bool regained_later(const std::vector<log_line>& lines, std::size_t lost)
{
    return std::any_of(lines.begin() + static_cast<std::ptrdiff_t>(lost),
        lines.end(),
        [](const log_line& line)
        { return line.event == "placement_lease_obtained"; });
}

// A zone that was taken back before the request's end is not the cause.
bool taken_back_later(const std::vector<log_line>& lines, std::size_t emptied)
{
    return std::any_of(lines.begin() + static_cast<std::ptrdiff_t>(emptied),
        lines.end(),
        [&](const log_line& line)
        {
            return line.event == "zone_taken_back" &&
                   line.instance == lines[emptied].instance &&
                   line.text("zone") == lines[emptied].text("zone");
        });
}

std::optional<std::size_t> find_cause(
    const std::vector<log_line>& lines, const cause_rule& rule)
{
    std::optional<std::size_t> out;
    for (std::size_t i = 0; i < lines.size(); ++i)
        if (lines[i].event == rule.event && (rule.latest || !out) &&
            !(rule.event == "zone_emptied" && taken_back_later(lines, i)))
            out = i;
    if (out && rule.event == "placement_lease_lost" &&
        regained_later(lines, *out))
        return std::nullopt;
    return out;
}

void add_cause(request_report& report)
{
    report.explanation =
        report.outcome == "answered"
            ? "the request was answered"
            : "no line shows a cause beyond the request's own; "
              "see its inputs";
    for (const auto& rule : cause_rules)
    {
        if (rule.reason != report.outcome)
            continue;
        report.cause = find_cause(report.lines, rule);
        if (!report.cause)
            continue;
        report.explanation = rule.explanation;
        return;
    }
}

std::vector<log_line> corrected(
    std::vector<log_line> all, const offsets& clocks)
{
    for (auto& line : all)
        if (const auto at = clocks.find(line.instance); at != clocks.end())
            line.time_ms -= at->second;
    return all;
}

// Lines of one instance keep their order even if its clock was set back.
void order_by_time(std::vector<log_line>& lines)
{
    std::map<std::string, std::int64_t> latest;
    for (auto& line : lines)
    {
        auto& at = latest[line.instance];
        line.time_ms = at = std::max(at, line.time_ms);
    }
    std::stable_sort(lines.begin(), lines.end(),
        [](const log_line& a, const log_line& b)
        { return a.time_ms < b.time_ms; });
}

} // namespace

result<request_report> explain_request(
    const std::string& request_id, const std::vector<log_line>& all)
{
    const auto is_own = [&](const log_line& line)
    { return line.text("request_id") == request_id; };
    const auto first = std::find_if(all.begin(), all.end(), is_own);
    if (first == all.end())
        return fail(
            error_code::not_found, "no line names the request " + request_id);
    request_report out;
    out.clock_offsets_ms = clock_offsets(all, first->instance);
    const auto lines = corrected(all, out.clock_offsets_ms);
    std::vector<log_line> own;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own), is_own);
    const auto scope = scope_of(own);
    for (const auto& line : lines)
        if (is_own(line) || is_related(line, scope))
            out.lines.push_back(line);
    order_by_time(out.lines);
    for (const auto& line : out.lines)
        if (is_own(line) && !line.text("reason").empty())
            out.outcome = line.text("reason");
    add_cause(out);
    return out;
}

} // namespace tarragonquay::explain
