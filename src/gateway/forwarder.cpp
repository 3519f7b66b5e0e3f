#include "gateway/forwarder.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <fmt/format.h>

#include "gateway/call.hpp"
#include "gateway/interval.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;

namespace
{

/// Retry-After while the gateway starts, in seconds.
constexpr double startup_retry_s = 0.5;
/// Retry-After while all endpoints of the service are in evacuated zones, in
/// seconds. When the operator ends an evacuation is not known.
constexpr double evacuated_retry_s = 1.0;

double ms_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

const routes::service* choose_service(call& call)
{
    const auto& targets = call.route->services;
    std::int64_t total = 0;
    for (const auto& each : targets)
        total += each.weight;
    if (total <= 0)
        return nullptr;
    auto drawn = std::uniform_int_distribution<std::int64_t>(0, total - 1)(
        call.ctx.random);
    for (const auto& each : targets)
    {
        drawn -= each.weight;
        if (drawn < 0)
            return call.routes->find_service(each.service);
    }
    return nullptr;
}

void log_finished(const call& call, time_point now)
{
    auto& ctx = call.ctx;
    const auto elapsed = ms_between(call.request.arrived_at, now);
    ctx.log.info("request_finished",
        {{"request_id", call.request.id},
            {"workspace", call.workspace ? call.workspace->id.str() : ""},
            {"route", call.route ? call.route->name : ""},
            {"configuration_version", call.routes ? call.routes->version() : 0},
            {"reason", call.reason}, {"sends", call.sends},
            {"endpoint", call.endpoint.str()},
            {"elapsed_ms", std::lround(elapsed)}});
    const metrics::labels labels{{"route", call.route ? call.route->name : ""},
        {"outcome", call.reason}};
    ctx.metrics.add("tq_gateway_requests_total", labels);
    ctx.metrics.observe("tq_gateway_request_seconds", labels, elapsed / 1000.0);
}

// Sets the route, the workspace and the deadline. Answers the caller and
// returns false on failure.
asio::awaitable<bool> authorize(call& call)
{
    auto& ctx = call.ctx;
    if (!call.routes)
    {
        co_await refuse(call, 503, "no_configuration", startup_retry_s);
        co_return false;
    }
    if (!ctx.leaving_known)
    {
        co_await refuse(call, 503, "starting", startup_retry_s);
        co_return false;
    }
    call.route =
        call.routes->find_route(call.request.host, call.request.target);
    if (call.route == nullptr)
    {
        co_await refuse(call, 404, "unknown_route");
        co_return false;
    }
    call.workspace = call.routes->find_workspace(call.request.key);
    const bool key_required =
        !call.route->open_to_all && !call.routes->document().workspaces.empty();
    if (key_required && call.workspace == nullptr)
    {
        co_await refuse(call, 401, "unknown_key");
        co_return false;
    }
    call.deadline =
        end_of_interval(call.request.arrived_at, call.route->timeout_ms);
    if (call.request.deadline)
        call.deadline = std::min(call.deadline, *call.request.deadline);
    if (ctx.refuses_new_requests)
    {
        co_await refuse(call, 503, "stopping");
        co_return false;
    }
    co_return true;
}

void log_limit(
    const call& call, std::int64_t cost, const limits::limit_state& limit)
{
    const std::string cause = limit.unreported ? "unreported" : "level";
    call.ctx.log.info("limit_reached",
        {{"request_id", call.request.id},
            {"workspace", call.workspace->id.str()}, {"cost", cost},
            {"rate", limit.rate}, {"burst", limit.burst},
            {"account_units", std::lround(limit.level)},
            {"demand_of_all", std::lround(limit.demand_of_all)},
            {"part", limit.part}, {"cause", cause}});
    call.ctx.metrics.add("tq_gateway_limit_refusals_total", {{"cause", cause}});
}

// Charges the request's cost to its workspace's rate limit. Answers the caller
// and returns false when the limit is reached.
asio::awaitable<bool> admit(call& call)
{
    if (call.workspace == nullptr)
        co_return true;
    const auto now = std::chrono::steady_clock::now();
    const auto cost =
        limits::fleet_limiter::cost(*call.workspace, call.request.tokens);
    time_point retry_at;
    const auto admitted =
        call.ctx.limiter.admit(call.workspace->id, cost, now, retry_at);
    if (admitted)
        co_return true;
    const auto limit = call.ctx.limiter.state(call.workspace->id, now);
    log_limit(call, cost, limit);
    co_await refuse(
        call, 429, "rate_limited", ms_between(now, retry_at) / 1000);
    co_return false;
}

} // namespace

whole_answer refusal_answer(int status, double retry_after_s)
{
    whole_answer out;
    out.status = status;
    if (retry_after_s > 0)
        out.headers.push_back(
            {"Retry-After", fmt::format("{:.2f}", retry_after_s)});
    return out;
}

std::optional<blocked_endpoints> find_blocked(const call& call)
{
    const auto now = std::chrono::steady_clock::now();
    const auto& pool = call.ctx.pool;
    if (pool.only_evacuated(call.service->id))
        return blocked_endpoints{"zones_evacuated", evacuated_retry_s};
    auto first = pool.earliest_return(call.service->id, nullptr, now);
    if (!first && call.request.prompt && call.service->engines)
    {
        first =
            pool.earliest_return(call.service->id, &*call.request.prompt, now);
        // Another engine may load the model before a pause ends.
        if (first && !first->limited)
            first.reset();
    }
    if (!first)
        return std::nullopt;
    const auto* reason = first->warming   ? "endpoints_warming"
                         : first->limited ? "endpoints_limited"
                                          : "endpoints_paused";
    if (first->warming)
        call.ctx.metrics.add("tq_gateway_warming_refusals_total", {});
    return blocked_endpoints{reason, ms_between(now, first->at) / 1000};
}

nlohmann::ordered_json decision_inputs(const call& call)
{
    nlohmann::ordered_json out = {
        {"configuration_version", call.routes ? call.routes->version() : 0},
        {"instances", call.ctx.roster.size()},
        {"expected_ms", std::lround(call.expected_ms)}};
    if (call.request.prompt)
        out.update({{"model", call.request.prompt->model.str()},
            {"adapter", call.request.prompt->adapter.str()},
            {"prompt_tokens", call.request.prompt->prompt_tokens}});
    if (const auto& zones = call.ctx.pool.evacuated(); !zones.empty())
        out["evacuated_zones"] = zones.zones();
    return out;
}

bool is_abandoned(const call& call)
{
    const bool finished_anyway =
        !call.route->streamed && call.sends > 0 &&
        call.route->repeat == routes::repeat_rule::at_most_once;
    return call.out.caller_gone() && !finished_anyway;
}

bool runs_or_may_have_run(const call& call)
{
    return call.may_have_run || call.charged_sends > 0;
}

nlohmann::ordered_json progress_fields(const call& call)
{
    const auto now = std::chrono::steady_clock::now();
    return {{"route", call.route ? call.route->name : ""},
        {"repeatable",
            call.route != nullptr &&
                call.route->repeat != routes::repeat_rule::at_most_once},
        {"sends", call.sends}, {"may_have_run", runs_or_may_have_run(call)},
        {"endpoint", call.endpoint.str()},
        {"answer_begun", call.out.answer_begun()},
        {"elapsed_ms", std::lround(ms_between(call.request.arrived_at, now))}};
}

asio::awaitable<void> refuse(
    call& call, int status, std::string reason, double retry_after_s)
{
    call.reason = std::move(reason);
    call.ctx.log.info("request_refused",
        {{"request_id", call.request.id}, {"status", status},
            {"reason", call.reason}, {"retry_after_s", retry_after_s},
            {"may_have_run", runs_or_may_have_run(call)},
            {"inputs", decision_inputs(call)}});
    co_await call.out.respond(refusal_answer(status, retry_after_s));
}

asio::awaitable<void> forward(
    context& ctx, caller_request request, answer_sink& out)
{
    call call(ctx, std::move(request), out);
    call.routes = ctx.routes;
    const bool authorized = co_await authorize(call);
    if (authorized)
    {
        call.service = choose_service(call);
        const bool admitted = co_await admit(call);
        if (admitted && call.service == nullptr)
            co_await refuse(call, 503, "no_service");
        else if (admitted)
        {
            ctx.repeats[call.service->id].count_request(
                call.request.arrived_at);
            if (call.route->streamed)
                co_await run_stream_call(call);
            else
                co_await run_plain_call(call);
            settle_charge(call);
        }
    }
    log_finished(call, std::chrono::steady_clock::now());
}

} // namespace tarragonquay::gateway
