#include "gateway/stop_limit.hpp"

#include <optional>

namespace tarragonquay::gateway
{

namespace
{

// The expected time from the first event of a stream, or from the send of a
// plain request, to the end of the answer. Zero when it is not known; how much
// of a resumed stream is left is not.
duration answer_time(const call& call)
{
    const auto& pool = call.ctx.pool;
    if (!call.route->streamed)
        return pool.plain_time(call.service->id).value_or(duration::zero());
    if (!call.request.prompt || call.request.last_event)
        return duration::zero();
    const auto& prompt = *call.request.prompt;
    return pool
        .stream_time(call.service->id, prompt.model, prompt.output_tokens)
        .value_or(duration::zero());
}

} // namespace

time_point latest_answer_begin(const call& call)
{
    const auto interrupts_at = call.ctx.interrupts_at;
    if (call.deadline <= interrupts_at)
        return time_point::max();
    return interrupts_at - answer_time(call);
}

boost::asio::awaitable<void> refuse_at_stop(call& call)
{
    return refuse(call, runs_or_may_have_run(call) ? 502 : 503, "stopping");
}

} // namespace tarragonquay::gateway
