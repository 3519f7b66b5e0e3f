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
/// A configuration is in force everywhere within this time, so a smaller
/// difference between two instances tells nothing about their clocks.
constexpr std::int64_t least_clock_offset_ms = 2'000;

using offsets = std::map<std::string, std::int64_t>;

template <std::size_t N>
bool contains(
    const std::array<std::string_view, N>& events, const std::string& event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

/// When each instance began to use each version of the configuration.
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
        if (std::abs(*middle) >= least_clock_offset_ms)
            out[instance] = *middle;
    }
    return out;
}

/// What the lines of a request name.
struct subject
{
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    std::string model;
    std::string adapter;
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
};

void add_inputs(subject& of, const log_line& line)
{
    const auto inputs = line.fields.find("inputs");
    if (inputs == line.fields.end() || !inputs->is_object())
        return;
    of.model = inputs->value("model", of.model);
    of.adapter = inputs->value("adapter", of.adapter);
}

subject subject_of(const std::vector<log_line>& own)
{
    subject out;
    out.begin_ms = own.front().time_ms;
    for (const auto& line : own)
    {
        out.instances.insert(line.instance);
        if (const auto endpoint = line.text("endpoint"); !endpoint.empty())
            out.endpoints.insert(endpoint);
        add_inputs(out, line);
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

bool tells_of_endpoint(const log_line& line, const subject& of)
{
    constexpr std::array<std::string_view, 2> ends{
        "endpoint_gone", "endpoint_lapsed"};
    const bool leaves =
        line.event == "endpoint_changed" && line.fields.value("leaving", false);
    return (leaves || contains(ends, line.event)) &&
           of.instances.contains(line.instance) &&
           of.endpoints.contains(line.text("endpoint"));
}

bool tells_of_model(const log_line& line, const subject& of)
{
    constexpr std::array<std::string_view, 2> commands{
        "engine_command", "placement_move"};
    if (of.model.empty() || !contains(commands, line.event) ||
        line.text("model") != of.model)
        return false;
    const auto adapter = line.text("adapter");
    return adapter.empty() || adapter == of.adapter;
}

bool tells_of_instance(const log_line& line, const subject& of)
{
    constexpr std::array<std::string_view, 6> events{"store_lost",
        "store_regained", "peer_lost", "process_stopping",
        "configuration_rejected", "lines_left_out"};
    return contains(events, line.event) && of.instances.contains(line.instance);
}

bool is_related(const log_line& line, const subject& of)
{
    return line.time_ms >= of.begin_ms - history_ms &&
           line.time_ms <= of.end_ms &&
           (is_lease_line(line) || tells_of_endpoint(line, of) ||
               tells_of_model(line, of) || tells_of_instance(line, of));
}

/// Lines that explain one kind of outcome.
struct cause_rule
{
    std::string_view reason;
    std::string_view event;
    /// The latest line of this event instead of the first one.
    bool latest = false;
    std::string_view explanation;
};

/// The first rule of a reason whose event occurs holds.
constexpr std::array<cause_rule, 13> cause_rules{{
    {"rate_limited", "limit_reached", true,
        "the workspace asked for more than its limit left; compare "
        "demand_of_all with rate"},
    {"stopping", "process_stopping", false, "the gateway was stopping"},
    {"no_configuration", "store_lost", true,
        "the gateway had no configuration and did not reach the store"},
    {"no_configuration", "peer_lost", true,
        "the gateway had no configuration and lost its peers"},
    {"model_not_ready", "placement_lease_lost", true,
        "nobody gave commands to the engines after the lease was lost"},
    {"model_not_ready", "engine_command", true,
        "the latest command for the model or adapter; see its answer"},
    {"model_not_ready", "placement_move", true,
        "a command was planned, but none had been given"},
    {"no_endpoint", "attempt_failed", false,
        "an endpoint failed, and no other one could be used"},
    {"no_endpoint", "endpoint_gone", true,
        "the endpoint left, and no other one could be used"},
    {"unanswered", "attempt_failed", false,
        "the send failed in a way that leaves open whether it ran"},
    {"timeout", "attempt_failed", false, "the endpoint did not answer in time"},
    {"endpoint_failed", "attempt_failed", false,
        "an endpoint failed first, the repeat was answered with a failure"},
    {"stream_broken", "attempt_failed", false,
        "the stream broke off at an endpoint and was not finished"},
}};

// A lease that was obtained again explains nothing.
bool regained_later(const std::vector<log_line>& lines, std::size_t lost)
{
    return std::any_of(lines.begin() + static_cast<std::ptrdiff_t>(lost),
        lines.end(),
        [](const log_line& line)
        { return line.event == "placement_lease_obtained"; });
}

std::optional<std::size_t> find_cause(
    const std::vector<log_line>& lines, const cause_rule& rule)
{
    std::optional<std::size_t> out;
    for (std::size_t i = 0; i < lines.size(); ++i)
        if (lines[i].event == rule.event && (rule.latest || !out))
            out = i;
    if (out && rule.event == "placement_lease_lost" &&
        regained_later(lines, *out))
        return std::nullopt;
    return out;
}

void add_cause(request_story& to)
{
    to.explanation = to.outcome == "answered"
                         ? "the request was answered"
                         : "no line shows a cause beyond the request's own; "
                           "see its inputs";
    for (const auto& rule : cause_rules)
    {
        if (rule.reason != to.outcome)
            continue;
        to.cause = find_cause(to.lines, rule);
        if (!to.cause)
            continue;
        to.explanation = rule.explanation;
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

// Lines of one instance keep their order even if its clock went back.
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

result<request_story> explain_request(
    const std::string& request_id, const std::vector<log_line>& all)
{
    const auto is_own = [&](const log_line& line)
    { return line.text("request_id") == request_id; };
    const auto first = std::find_if(all.begin(), all.end(), is_own);
    if (first == all.end())
        return fail(
            error_code::not_found, "no line names the request " + request_id);
    request_story out;
    out.clock_offsets_ms = clock_offsets(all, first->instance);
    const auto lines = corrected(all, out.clock_offsets_ms);
    std::vector<log_line> own;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own), is_own);
    const auto about = subject_of(own);
    for (const auto& line : lines)
        if (is_own(line) || is_related(line, about))
            out.lines.push_back(line);
    order_by_time(out.lines);
    for (const auto& line : out.lines)
        if (is_own(line) && !line.text("reason").empty())
            out.outcome = line.text("reason");
    add_cause(out);
    return out;
}

} // namespace tarragonquay::explain
