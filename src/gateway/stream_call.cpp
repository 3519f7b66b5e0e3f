#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "gateway/call.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/prompt_guard.hpp"
#include "gateway/stop_limit.hpp"
#include "gateway/stream_relay.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// Interval of the requests for an adapter that no engine holds.
constexpr milliseconds adapter_request_interval{100};
/// Retry-After when no engine holds the model or the adapter yet, in seconds.
constexpr double not_ready_retry_s = 0.3;

bool resumable(const call& call)
{
    return call.route->repeat == routes::repeat_rule::resumable;
}

// Whether another engine than those that hold the adapter accepts requests and
// could load it.
bool can_load_adapter(
    const call& call, const dispatch::prompt& prompt, time_point now)
{
    if (prompt.adapter.empty())
        return false;
    auto without_adapter = prompt;
    without_adapter.adapter = {};
    return call.ctx.pool
        .choose_engine(call.service->id, without_adapter, {}, now)
        .has_value();
}

// Whether no engine will accept the request in time, since those that hold its
// model and adapter have no place left.
bool waits_in_vain(const call& call, const dispatch::prompt& prompt,
    time_point latest, time_point now)
{
    const auto& pool = call.ctx.pool;
    const auto first = pool.earliest_return(call.service->id, &prompt, now);
    if (!first || !first->limited || can_load_adapter(call, prompt, now))
        return false;
    const auto place = pool.earliest_own_place(call.service->id, prompt, now);
    return !place || *place > latest;
}

// Chooses an endpoint; waits if no engine holds the model and the adapter yet.
asio::awaitable<result<dispatch::endpoint_choice>> choose_or_wait(
    call& call, const stream_state& state)
{
    auto& ctx = call.ctx;
    if (!call.request.prompt || !call.service->engines)
        co_return choose_next(
            call, state, {}, std::chrono::steady_clock::now());
    const auto& prompt = *call.request.prompt;
    const auto* model = call.routes->find_model(call.service->id, prompt.model);
    const auto began = std::chrono::steady_clock::now();
    const auto limit = next_endpoint_deadline(call, state);
    const milliseconds target(call.route->target_latency_ms);
    auto give_up_at = std::min(limit, began + target);
    if (prompt.adapter.empty() && model != nullptr)
    {
        // Do not wait for a load that takes longer than the caller waits.
        const auto load =
            milliseconds(std::llround(model->load_from_memory_s * 1000));
        give_up_at = began + load < limit ? limit : began;
    }
    while (true)
    {
        const auto now = std::chrono::steady_clock::now();
        auto chosen = choose_next(call, state, {}, now);
        if (chosen || chosen.error().code() != error_code::model_not_ready ||
            now >= give_up_at ||
            (!state.begun && now >= latest_answer_begin(call)) ||
            call.out.caller_gone() || ctx.interrupted ||
            waits_in_vain(call, prompt, began + target, now))
            co_return chosen;
        if (!prompt.adapter.empty())
            ctx.request_adapter(call.service->id, prompt.model, prompt.adapter);
        co_await ctx.residency_changed.wait(
            std::min(give_up_at, now + adapter_request_interval));
    }
}

void count_demand(call& call)
{
    if (!call.request.prompt)
        return;
    const auto& prompt = *call.request.prompt;
    const auto now = std::chrono::steady_clock::now();
    const auto unshared_tokens = prompt.parts.empty()
                                     ? prompt.prompt_tokens
                                     : prompt.parts.back().tokens;
    const auto engine_ms = static_cast<double>(unshared_tokens) /
                           dispatch::prefill_rate::initial_tokens_per_ms;
    call.ctx.demand.add({call.service->id, prompt.model, {}}, engine_ms, now);
    call.ctx.urgency[call.service->id].add(
        milliseconds(call.route->target_latency_ms));
    // Demand for adapters is the number of requests, because each one occupies
    // the adapter's slot for some time.
    if (!prompt.adapter.empty())
        call.ctx.demand.add(
            {call.service->id, prompt.model, prompt.adapter}, 1, now);
}

// Answers the caller, if still possible, when the stream can't be continued.
asio::awaitable<void> give_up(call& call, const stream_state& state,
    std::optional<whole_answer> last, const error& cause)
{
    if (call.out.caller_gone())
    {
        call.reason = "caller_gone";
        co_return;
    }
    if (state.begun)
    {
        // The connection is closed without the last chunk, so that the caller
        // does not take the partial stream for a complete one.
        const bool late = std::chrono::steady_clock::now() >= call.deadline;
        call.reason = call.ctx.interrupted ? "stopping"
                      : late               ? "timeout"
                                           : "stream_broken";
        co_return;
    }
    if (last)
    {
        call.reason = "endpoint_failed";
        co_await call.out.respond(std::move(*last));
        co_return;
    }
    if (std::chrono::steady_clock::now() >= latest_answer_begin(call))
    {
        co_await refuse_at_stop(call);
        co_return;
    }
    if (runs_or_may_have_run(call))
    {
        const bool late = std::chrono::steady_clock::now() >= call.deadline;
        co_await refuse(
            call, late ? 504 : 502, late ? "timeout" : "unanswered");
        co_return;
    }
    if (const auto blocked = find_blocked(call))
    {
        co_await refuse(call, 503, blocked->reason, blocked->retry_after_s);
        co_return;
    }
    co_await refuse(
        call, 503, std::string(to_string(cause.code())), not_ready_retry_s);
}

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

// Whether the chosen endpoint is expected to send its first event before the
// caller stops waiting, and the last one before a stop interrupts it. Refuses
// the request if not.
asio::awaitable<bool> check_in_time(call& call,
    const dispatch::endpoint_choice& choice, const stream_state& state)
{
    if (!state.begun && choice.expected_at > latest_answer_begin(call))
    {
        co_await refuse_at_stop(call);
        co_return false;
    }
    const auto limit = first_event_deadline(call);
    if (state.begun || call.sends > 0 || choice.expected_at < limit)
        co_return true;
    co_await refuse(call, 503, "overloaded",
        std::max(
            not_ready_retry_s, seconds_between(limit, choice.expected_at)));
    co_return false;
}

} // namespace

asio::awaitable<void> run_stream_call(call& call)
{
    stream_state state;
    state.last_event = call.request.last_event;
    bool demand_counted = false;
    std::optional<whole_answer> last;
    error cause(error_code::deadline_exceeded, "the deadline has passed");
    while (std::chrono::steady_clock::now() <
               next_endpoint_deadline(call, state) &&
           !call.ctx.interrupted && may_send(call, state))
    {
        const auto permission = co_await permit_prompt(call);
        if (permission == send_permission::refused)
            co_return;
        if (permission == send_permission::not_repeated)
            break;
        if (!std::exchange(demand_counted, true))
            count_demand(call);
        if (!take_repeat(call))
            break;
        auto to = co_await choose_or_wait(call, state);
        if (!to)
        {
            cause = to.error();
            break;
        }
        call.expected_ms =
            seconds_between(std::chrono::steady_clock::now(), to->expected_at) *
            1000;
        const bool in_time = co_await check_in_time(call, *to, state);
        if (!in_time)
            co_return;
        auto end = co_await relay_stream(call, state, *to);
        record_attempt(call, state, end.endpoint, end.outcome);
        if (end.outcome == relay_outcome::complete)
        {
            call.reason = "answered";
            co_return;
        }
        co_await record_lost_sends(call);
        call.suspect.reset();
        if (end.outcome == relay_outcome::caller_gone)
            break;
        if (end.outcome == relay_outcome::answered)
            last = std::move(end.answer);
        const bool ran = end.outcome == relay_outcome::answered ||
                         end.outcome == relay_outcome::broken ||
                         end.outcome == relay_outcome::moved;
        call.may_have_run = call.may_have_run || ran;
        if (ran && !resumable(call))
            break;
        cause = error(
            error_code::no_endpoint, "all endpoints rejected the request");
    }
    co_await give_up(call, state, std::move(last), cause);
}

} // namespace tarragonquay::gateway
