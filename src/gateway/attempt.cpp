#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// A first packet that is lost is sent again after a second. Another endpoint,
/// or another try, is sooner.
constexpr milliseconds connect_limit{300};
/// Answers of other requests that may come first on a reused connection.
constexpr int skipped_answers = 1;
/// Routes whose target is above this yield to those of the same priority.
constexpr std::int64_t interactive_target_ms = 1'000;
constexpr std::int64_t lowest_urgency = 9;

constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::int64_t urgency(const call& of)
{
    auto priority = of.route->priority;
    if (of.workspace != nullptr && of.workspace->priority)
        priority = *of.workspace->priority;
    const auto patient =
        of.route->target_latency_ms > interactive_target_ms ? 1 : 0;
    return std::clamp<std::int64_t>(2 * priority + patient, 0, lowest_urgency);
}

std::int64_t ms_until(time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        deadline - std::chrono::steady_clock::now());
    return std::max<std::int64_t>(1, left.count());
}

} // namespace

std::string_view to_string(attempt_outcome value)
{
    switch (value)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_connected:
        return "not_connected";
    case attempt_outcome::rejected:
        return "rejected";
    case attempt_outcome::misdirected:
        return "misdirected";
    case attempt_outcome::unknown:
        return "unknown";
    case attempt_outcome::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

bool take_attempt(call& of)
{
    if (of.sends == 0)
        return true;
    if (of.sends >= of.route->max_attempts)
        return false;
    const auto now = std::chrono::steady_clock::now();
    const auto& bounds = of.on.settings.bounds;
    const dispatch::repeat_limits limits{
        bounds.repeat_ratio, bounds.repeat_window_ms, bounds.repeat_slack};
    const bool taken =
        of.on.repeats[of.service->id].take(limits, of.on.roster.size(), now);
    if (!taken)
        of.on.log.info("repeat_not_allowed",
            {{"request_id", of.request.id}, {"service", of.service->id.str()},
                {"instances", of.on.roster.size()}});
    return taken;
}

endpoints::exchange_request make_exchange(
    const call& of, const dispatch::endpoint_choice& to, time_point deadline)
{
    const auto& names = of.on.dialect.headers;
    endpoints::exchange_request out;
    out.address = to.address;
    out.method = of.request.method;
    out.target = of.request.target;
    out.host = of.request.host;
    out.headers = of.request.headers;
    out.headers.push_back(
        {names.deadline_ms, std::to_string(ms_until(of.deadline))});
    out.headers.push_back({names.expected_endpoint, to.id.str()});
    if (of.workspace != nullptr)
        out.headers.push_back({names.workspace, of.workspace->id.str()});
    if (of.route->streamed)
        out.headers.push_back({names.priority, std::to_string(urgency(of))});
    if (of.request.last_event)
        out.headers.push_back(
            {names.last_event, std::to_string(*of.request.last_event)});
    out.body = of.request.body;
    out.request_id = of.request.id;
    out.id_header = names.request_id;
    out.max_skipped_answers = skipped_answers;
    out.allow_close_delimited = true;
    out.deadline = deadline;
    return out;
}

asio::awaitable<result<endpoints::http_connection>> connect(
    call& of, const dispatch::endpoint_choice& to, time_point deadline)
{
    const auto now = std::chrono::steady_clock::now();
    if (auto pooled = of.on.connections.take(to.address, now))
        co_return std::move(*pooled);
    co_return co_await endpoints::http_connection::open(
        to.address, std::min(deadline, now + connect_limit));
}

attempt_outcome classify_head(
    const call& of, const endpoints::answer_head& head)
{
    const auto& names = of.on.dialect.headers;
    if (head.status == status_misdirected)
        return attempt_outcome::misdirected;
    if (!head.find(names.not_executed).empty())
        return attempt_outcome::rejected;
    if (head.find(names.stamp).empty() ||
        !head.find("Content-Encoding").empty())
        return attempt_outcome::unknown;
    return attempt_outcome::answered;
}

whole_answer to_caller(
    const call& of, endpoints::answer_head head, std::string body)
{
    whole_answer out;
    if (promises_not_run(head.status) &&
        of.route->repeat == routes::repeat_rule::at_most_once)
    {
        out.status = status_bad_gateway;
        return out;
    }
    out.status = head.status;
    out.headers = std::move(head.headers);
    out.body = std::move(body);
    return out;
}

void log_attempt(const call& of, const endpoint_id& endpoint,
    attempt_outcome outcome, const std::string& detail)
{
    of.on.log.info("attempt_failed",
        {{"request_id", of.request.id}, {"endpoint", endpoint.str()},
            {"outcome", to_string(outcome)}, {"detail", detail},
            {"send", of.sends}});
    of.on.metrics.add("tq_gateway_failed_attempts_total",
        {{"outcome", std::string(to_string(outcome))}});
}

} // namespace tarragonquay::gateway
