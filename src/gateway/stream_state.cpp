#include "gateway/stream_state.hpp"

#include <chrono>

#include "gateway/endpoint_signals.hpp"

namespace tarragonquay::gateway
{

namespace
{

// Chooses the best endpoint that is not excluded.
result<dispatch::endpoint_choice> choose_among(
    const call& call, const std::set<endpoint_id>& excluded, time_point now)
{
    if (!call.request.prompt || !call.service->engines)
        return call.ctx.pool.choose_plain(call.service->id, excluded, now);
    using preference = dispatch::endpoint_pool::engine_preference;
    const bool may_crash_engines = call.suspect || call.lost_in_crash;
    return call.ctx.pool.choose_engine(call.service->id, *call.request.prompt,
        excluded, now,
        may_crash_engines ? preference::fewest_requests
                          : preference::earliest_answer);
}

result<dispatch::endpoint_choice> choose_from(
    const call& call, const std::set<endpoint_id>& permitted, time_point now)
{
    std::set<endpoint_id> others;
    for (const auto& entry : call.ctx.pool.entries())
        if (!permitted.contains(entry.id))
            others.insert(entry.id);
    return choose_among(call, others, now);
}

} // namespace

bool may_send(const call& call, const stream_state& state)
{
    return attempts_left(call) || !state.retryable_endpoints.empty();
}

result<dispatch::endpoint_choice> choose_next(const call& call,
    const stream_state& state, const std::set<endpoint_id>& excluded,
    time_point now)
{
    result<dispatch::endpoint_choice> untried = fail(error_code::no_endpoint,
        "the request was sent to as many endpoints as its route permits");
    if (attempts_left(call))
    {
        auto others = call.tried;
        others.insert(excluded.begin(), excluded.end());
        untried = choose_among(call, others, now);
    }
    if (untried || state.retryable_endpoints.empty())
        return untried;
    auto permitted = state.retryable_endpoints;
    for (const auto& id : excluded)
        permitted.erase(id);
    auto again = choose_from(call, permitted, now);
    return again ? again : untried;
}

result<dispatch::endpoint_choice> choose_again(
    const call& call, const endpoint_id& endpoint, time_point now)
{
    return choose_from(call, {endpoint}, now);
}

std::unique_ptr<ticket_guard> make_ticket(
    call& call, const dispatch::endpoint_choice& to)
{
    const auto cache_tokens =
        call.service->engines ? call.service->engines->cache_tokens : 0;
    const auto* prompt = call.request.prompt ? &*call.request.prompt : nullptr;
    return std::make_unique<ticket_guard>(
        call.ctx.pool, call.ctx.pool.begin(to, prompt, cache_tokens,
                           std::chrono::steady_clock::now()));
}

endpoints::exchange_request make_stream_exchange(const call& call,
    const stream_state& state, const dispatch::endpoint_choice& to,
    time_point deadline)
{
    auto out = make_exchange(call, to, deadline);
    if (!state.last_event)
        return out;
    const auto& name = call.ctx.dialect.headers.last_event;
    std::erase_if(out.headers,
        [&](const endpoints::header& each) { return each.name == name; });
    out.headers.push_back({name, std::to_string(*state.last_event)});
    return out;
}

void note_rejection(call& call, const dispatch::endpoint_choice& from,
    attempt_outcome kind, const endpoints::answer_head& head)
{
    note_not_run(call);
    const auto now = std::chrono::steady_clock::now();
    if (kind != attempt_outcome::misdirected)
    {
        call.ctx.pool.mark_full(from.id, now);
        return;
    }
    const auto id = head.find(call.ctx.dialect.headers.endpoint);
    if (!id.empty() && id != from.id.str())
        note_leaving(call.ctx, {from.id, from.started_unix_ms},
            dispatch::leaving_source::misdirected);
    else if (call.request.prompt)
        call.ctx.pool.mark_missing(from.id, call.request.prompt->model,
            call.request.prompt->adapter, now);
}

void count_send(call& call, const endpoint_id& endpoint)
{
    ++call.sends;
    charge_send(call);
    if (call.tried.contains(endpoint))
        ++call.sends_to_known;
}

void record_attempt(call& call, stream_state& state,
    const endpoint_id& endpoint, relay_outcome outcome)
{
    const bool first = call.tried.insert(endpoint).second;
    const bool retryable = outcome == relay_outcome::moved ||
                           (state.begun && outcome == relay_outcome::broken);
    if (first && retryable)
        state.retryable_endpoints.insert(endpoint);
    else
        state.retryable_endpoints.erase(endpoint);
}

} // namespace tarragonquay::gateway
