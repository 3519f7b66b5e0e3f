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

/// A lost SYN is retransmitted only after a second; trying another endpoint or
/// connecting again is faster.
constexpr milliseconds connect_timeout{300};
/// Number of answers to earlier requests that may be skipped on a reused
/// connection. Faulty endpoints were seen to repeat one or two.
constexpr int skipped_answers = 3;
/// Levels of a header between two configured priorities. There are more levels
/// of urgency, so that a request with little time left goes before one of the
/// next higher priority that has much.
constexpr std::int64_t levels_per_priority = 2;
constexpr std::int64_t lowest_header_priority = 9;

constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;

// The urgency of a request that is sent to this endpoint now.
int urgency_level(
    const call& call, const dispatch::endpoint_choice& to, time_point now)
{
    const auto due =
        call.request.arrived_at + milliseconds(call.route->target_latency_ms);
    const auto found = call.ctx.urgency.find(call.service->id);
    if (found == call.ctx.urgency.end())
        return 0;
    const bool in_time = now + to.own_prefill < due;
    return found->second.level(in_time ? due - now : duration::zero());
}

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::int64_t header_priority(
    const call& call, const dispatch::endpoint_choice& to, time_point now)
{
    auto priority = call.route->priority;
    if (call.workspace != nullptr && call.workspace->priority)
        priority = *call.workspace->priority;
    return std::clamp<std::int64_t>(
        levels_per_priority * priority + urgency_level(call, to, now), 0,
        lowest_header_priority);
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

bool attempts_left(const call& call)
{
    return call.sends == 0 ||
           call.sends - call.sends_to_known < call.route->max_attempts;
}

namespace
{

dispatch::repeat_limits repeat_limits_of(const context& ctx)
{
    const auto& bounds = ctx.settings.bounds;
    return {bounds.repeat_ratio, bounds.repeat_window_ms, bounds.repeat_slack};
}

} // namespace

bool has_repeat(call& call, time_point now)
{
    return call.ctx.repeats[call.service->id].has_repeat(
        repeat_limits_of(call.ctx), call.ctx.roster.size(), now);
}

bool take_repeat(call& call)
{
    if (call.sends == 0 || std::exchange(call.repeat_taken, false))
        return true;
    const auto now = std::chrono::steady_clock::now();
    const bool taken = call.ctx.repeats[call.service->id].take(
        repeat_limits_of(call.ctx), call.ctx.roster.size(), now);
    if (!taken)
        call.ctx.log.info(
            "repeat_not_allowed", {{"request_id", call.request.id},
                                      {"service", call.service->id.str()},
                                      {"instances", call.ctx.roster.size()}});
    return taken;
}

namespace
{

std::int64_t limit_cost(const call& call)
{
    return limits::fleet_limiter::cost(*call.workspace, call.request.tokens);
}

void refund(call& call)
{
    if (call.workspace != nullptr)
        call.ctx.limiter.refund(call.workspace->id, limit_cost(call),
            std::chrono::steady_clock::now());
}

} // namespace

void charge_send(call& call)
{
    ++call.charged_sends;
    if (call.charged_sends > 1 && call.workspace != nullptr)
        call.ctx.limiter.charge(call.workspace->id, limit_cost(call),
            std::chrono::steady_clock::now());
}

void note_not_run(call& call)
{
    // The charge of the admission remains for the next send.
    if (call.charged_sends > 1)
        refund(call);
    --call.charged_sends;
}

void settle_charge(call& call)
{
    if (call.charged_sends == 0)
        refund(call);
}

endpoints::exchange_request make_exchange(
    const call& call, const dispatch::endpoint_choice& to, time_point deadline)
{
    const auto& names = call.ctx.dialect.headers;
    endpoints::exchange_request out;
    out.address = to.address;
    out.method = call.request.method;
    out.target = call.request.target;
    out.host = call.request.host;
    out.headers = call.request.headers;
    out.headers.push_back(
        {names.deadline_ms, std::to_string(ms_until(call.deadline))});
    out.headers.push_back({names.expected_endpoint, to.id.str()});
    if (call.workspace != nullptr)
        out.headers.push_back({names.workspace, call.workspace->id.str()});
    if (call.route->streamed)
        out.headers.push_back(
            {names.priority, std::to_string(header_priority(
                                 call, to, std::chrono::steady_clock::now()))});
    if (call.request.last_event)
        out.headers.push_back(
            {names.last_event, std::to_string(*call.request.last_event)});
    out.body = call.request.body;
    out.request_id = call.request.id;
    out.id_header = names.request_id;
    out.max_skipped_answers = skipped_answers;
    out.allow_close_delimited = true;
    out.deadline = deadline;
    return out;
}

asio::awaitable<result<endpoints::http_connection>> connect(
    call& call, const dispatch::endpoint_choice& to, time_point deadline)
{
    const auto now = std::chrono::steady_clock::now();
    if (auto pooled = call.ctx.connections.take(to.address, now))
        co_return std::move(*pooled);
    // A stop interrupts no connect.
    const auto limit = std::min(
        std::min(deadline, now + connect_timeout), call.ctx.interrupts_at);
    co_return co_await endpoints::http_connection::open(to.address, limit);
}

bool may_use(const call& call, const dispatch::endpoint_choice& to)
{
    const auto& pool = call.ctx.pool;
    if (pool.accepts_requests(
            {to.id, to.started_unix_ms}, std::chrono::steady_clock::now()))
        return true;
    if (pool.in_evacuated_zone(to.id))
        call.ctx.log.info("endpoint_not_used",
            {{"request_id", call.request.id}, {"endpoint", to.id.str()},
                {"detail", "its zone is evacuated"},
                {"zone", pool.find(to.id)->availability_zone}});
    return false;
}

attempt_outcome classify_head(
    const call& call, const endpoints::answer_head& head)
{
    const auto& names = call.ctx.dialect.headers;
    if (head.status == status_misdirected)
        return attempt_outcome::misdirected;
    if (!head.find(names.not_executed).empty())
        return attempt_outcome::rejected;
    if (head.find(names.stamp).empty() ||
        !head.find("Content-Encoding").empty())
        return attempt_outcome::unknown;
    return attempt_outcome::answered;
}

namespace
{

asio::awaitable<result<std::string>> read_body(
    call& call, endpoints::http_connection& connection, time_point deadline)
{
    std::string body;
    while (true)
    {
        auto part = co_await connection.read_some(deadline);
        if (!part)
            co_return tl::unexpected<error>(part.error());
        if (part->empty())
            co_return body;
        if (auto added = call.answer_bytes.add(part->size()); !added)
            co_return tl::unexpected<error>(added.error());
        body += *part;
        if (is_abandoned(call))
            co_return fail(error_code::cancelled,
                "the caller has closed its connection",
                execution_state::unknown);
    }
}

} // namespace

asio::awaitable<result<std::string>> collect_body(
    call& call, endpoints::http_connection& connection, time_point deadline)
{
    const auto before = call.answer_bytes.count();
    auto body = co_await read_body(call, connection, deadline);
    // The repeat of the request may need the room.
    if (!body)
        call.answer_bytes.resize(before);
    co_return body;
}

bool may_keep_connection(const call& call, attempt_outcome outcome,
    const endpoints::answer_head& head)
{
    return head.find(call.ctx.dialect.headers.leaving).empty() &&
           outcome == attempt_outcome::answered &&
           !promises_not_run(head.status);
}

whole_answer make_caller_answer(
    const call& call, endpoints::answer_head head, std::string body)
{
    whole_answer out;
    if (promises_not_run(head.status) &&
        call.route->repeat == routes::repeat_rule::at_most_once)
    {
        out.status = status_bad_gateway;
        return out;
    }
    out.status = head.status;
    out.headers = std::move(head.headers);
    out.body = std::move(body);
    return out;
}

void log_attempt(const call& call, const endpoint_id& endpoint,
    attempt_outcome outcome, const std::string& detail, int send)
{
    call.ctx.log.info("attempt_failed",
        {{"request_id", call.request.id}, {"endpoint", endpoint.str()},
            {"outcome", to_string(outcome)}, {"detail", detail},
            {"send", send}});
    call.ctx.metrics.add("tq_gateway_failed_attempts_total",
        {{"outcome", std::string(to_string(outcome))}});
}

} // namespace tarragonquay::gateway
