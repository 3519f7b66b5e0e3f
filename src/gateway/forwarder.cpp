#include "gateway/forwarder.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <fmt/format.h>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// Advice for a caller that meets a gateway which knows no configuration yet.
constexpr double configuration_retry_s = 0.5;

double ms_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

const routes::service* choose_service(call& of)
{
    const auto& targets = of.route->services;
    std::int64_t total = 0;
    for (const auto& each : targets)
        total += each.weight;
    if (total <= 0)
        return nullptr;
    auto drawn =
        std::uniform_int_distribution<std::int64_t>(0, total - 1)(of.on.random);
    for (const auto& each : targets)
    {
        drawn -= each.weight;
        if (drawn < 0)
            return of.routes->find_service(each.service);
    }
    return nullptr;
}

void log_end(const call& of, time_point now)
{
    auto& on = of.on;
    const auto elapsed = ms_between(of.request.arrived_at, now);
    on.log.info("request_finished",
        {{"request_id", of.request.id},
            {"workspace", of.workspace ? of.workspace->id.str() : ""},
            {"route", of.route ? of.route->name : ""},
            {"configuration_version", of.routes ? of.routes->version() : 0},
            {"reason", of.reason}, {"sends", of.sends},
            {"endpoint", of.endpoint.str()},
            {"elapsed_ms", std::lround(elapsed)}});
    const metrics::labels labels{
        {"route", of.route ? of.route->name : ""}, {"outcome", of.reason}};
    on.metrics.add("tq_gateway_requests_total", labels);
    on.metrics.observe("tq_gateway_request_seconds", labels, elapsed / 1000.0);
}

// Finds route, workspace and deadline; answers and returns false on failure.
asio::awaitable<bool> authorize(call& of)
{
    auto& on = of.on;
    if (!of.routes)
    {
        co_await refuse(of, 503, "no_configuration", configuration_retry_s);
        co_return false;
    }
    of.route = of.routes->find_route(of.request.host, of.request.target);
    if (of.route == nullptr)
    {
        co_await refuse(of, 404, "unknown_route");
        co_return false;
    }
    of.workspace = of.routes->find_workspace(of.request.key);
    const bool keys_needed =
        !of.route->open_to_all && !of.routes->document().workspaces.empty();
    if (keys_needed && of.workspace == nullptr)
    {
        co_await refuse(of, 401, "unknown_key");
        co_return false;
    }
    of.deadline = of.request.arrived_at + milliseconds(of.route->timeout_ms);
    if (of.request.deadline)
        of.deadline = std::min(of.deadline, *of.request.deadline);
    if (on.refuses_new)
    {
        co_await refuse(of, 503, "stopping");
        co_return false;
    }
    co_return true;
}

void log_limit(
    const call& of, std::int64_t cost, const limits::limit_state& limit)
{
    of.on.log.info("limit_reached",
        {{"request_id", of.request.id}, {"workspace", of.workspace->id.str()},
            {"cost", cost}, {"rate", limit.rate}, {"burst", limit.burst},
            {"account_units", std::lround(limit.level)},
            {"demand_of_all", std::lround(limit.demand_of_all)},
            {"part", limit.part}});
}

// Takes the request's cost from the limit of its workspace.
asio::awaitable<bool> admit(call& of)
{
    if (of.workspace == nullptr)
        co_return true;
    const auto now = std::chrono::steady_clock::now();
    const auto cost =
        limits::fleet_limiter::cost(*of.workspace, of.request.tokens);
    time_point retry_at;
    const auto admitted =
        of.on.limiter.admit(of.workspace->id, cost, now, retry_at);
    if (admitted)
        co_return true;
    const auto limit = of.on.limiter.state(of.workspace->id, now);
    log_limit(of, cost, limit);
    co_await refuse(of, 429, "rate_limited", ms_between(now, retry_at) / 1000);
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

nlohmann::ordered_json inputs_of(const call& of)
{
    nlohmann::ordered_json out = {
        {"configuration_version", of.routes ? of.routes->version() : 0},
        {"instances", of.on.roster.size()},
        {"expected_ms", std::lround(of.expected_ms)}};
    if (of.request.prompt)
        out.update({{"model", of.request.prompt->model.str()},
            {"adapter", of.request.prompt->adapter.str()},
            {"prompt_tokens", of.request.prompt->prompt_tokens}});
    return out;
}

asio::awaitable<void> refuse(
    call& of, int status, std::string reason, double retry_after_s)
{
    of.reason = std::move(reason);
    of.on.log.info("request_refused",
        {{"request_id", of.request.id}, {"status", status},
            {"reason", of.reason}, {"retry_after_s", retry_after_s},
            {"may_have_run", of.may_have_run}, {"inputs", inputs_of(of)}});
    co_await of.out.respond(refusal_answer(status, retry_after_s));
}

asio::awaitable<void> forward(
    context& on, caller_request request, answer_sink& out)
{
    call of(on, std::move(request), out);
    of.routes = on.routes;
    const bool authorized = co_await authorize(of);
    if (authorized)
    {
        of.service = choose_service(of);
        const bool admitted = co_await admit(of);
        if (admitted && of.service == nullptr)
            co_await refuse(of, 503, "no_service");
        else if (admitted)
        {
            on.repeats[of.service->id].count_request(of.request.arrived_at);
            if (of.route->streamed)
                co_await run_stream_call(of);
            else
                co_await run_plain_call(of);
            if (!of.may_have_run && of.sends == 0 && of.workspace != nullptr)
                on.limiter.refund(of.workspace->id,
                    limits::fleet_limiter::cost(
                        *of.workspace, of.request.tokens),
                    std::chrono::steady_clock::now());
        }
    }
    log_end(of, std::chrono::steady_clock::now());
}

} // namespace tarragonquay::gateway
