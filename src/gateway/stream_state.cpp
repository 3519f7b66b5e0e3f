#include "gateway/stream_state.hpp"

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
    return call.ctx.pool.choose_engine(
        call.service->id, *call.request.prompt, excluded, now);
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
    auto others = excluded;
    for (const auto& entry : call.ctx.pool.entries())
        if (!state.retryable_endpoints.contains(entry.id))
            others.insert(entry.id);
    auto again = choose_among(call, others, now);
    return again ? again : untried;
}

void count_send(call& call, const endpoint_id& endpoint)
{
    ++call.sends;
    if (call.tried.contains(endpoint))
        ++call.sends_to_known;
}

void record_attempt(call& call, stream_state& state,
    const endpoint_id& endpoint, relay_outcome outcome)
{
    const bool first = call.tried.insert(endpoint).second;
    if (first && state.begun && outcome == relay_outcome::broken)
        state.retryable_endpoints.insert(endpoint);
    else
        state.retryable_endpoints.erase(endpoint);
}

} // namespace tarragonquay::gateway
