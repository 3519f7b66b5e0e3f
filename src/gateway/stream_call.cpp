#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <set>

#include "gateway/call.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/stream_relay.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// How often an adapter that no engine holds is asked for.
constexpr milliseconds adapter_request_interval{100};
/// When a caller may return for an adapter or an engine that is missing.
constexpr double not_ready_retry_s = 0.3;

bool resumable(const call& of)
{
    return of.route->repeat == routes::repeat_rule::resumable;
}

// The best endpoint among those that are not excluded.
result<dispatch::endpoint_choice> choose_among(
    const call& of, const std::set<endpoint_id>& excluded, time_point now)
{
    if (!of.request.prompt || !of.service->engines)
        return of.on.pool.choose_plain(of.service->id, excluded, now);
    return of.on.pool.choose_engine(
        of.service->id, *of.request.prompt, excluded, now);
}

// The best endpoint; one that broke the stream off when there is no other.
result<dispatch::endpoint_choice> choose_now(
    const call& of, const stream_state& state, time_point now)
{
    auto out = choose_among(of, of.tried, now);
    if (out || state.broken_off_at.empty())
        return out;
    auto excluded = of.tried;
    for (const auto& each : state.broken_off_at)
        excluded.erase(each);
    auto again = choose_among(of, excluded, now);
    return again ? again : out;
}

// Waits for an engine that holds the model and the adapter.
asio::awaitable<result<dispatch::endpoint_choice>> choose(
    call& of, const stream_state& state)
{
    auto& on = of.on;
    if (!of.request.prompt || !of.service->engines)
        co_return choose_now(of, state, std::chrono::steady_clock::now());
    const auto& prompt = *of.request.prompt;
    const auto* model = of.routes->find_model(of.service->id, prompt.model);
    const auto began = std::chrono::steady_clock::now();
    auto give_up_at = std::min(first_event_limit(of),
        began + milliseconds(of.route->target_latency_ms));
    if (prompt.adapter.empty() && model != nullptr)
    {
        // A load that takes longer than the caller waits is not waited for.
        const auto load =
            milliseconds(std::llround(model->load_from_memory_s * 1000));
        give_up_at = began + load < first_event_limit(of)
                         ? first_event_limit(of)
                         : began;
    }
    while (true)
    {
        const auto now = std::chrono::steady_clock::now();
        auto chosen = choose_now(of, state, now);
        if (chosen || chosen.error().code() != error_code::model_not_ready ||
            now >= give_up_at || of.out.caller_gone())
            co_return chosen;
        if (!prompt.adapter.empty())
            on.request_adapter(of.service->id, prompt.model, prompt.adapter);
        co_await on.residency_changed.wait(
            std::min(give_up_at, now + adapter_request_interval));
    }
}

void count_demand(call& of)
{
    if (!of.request.prompt)
        return;
    const auto& prompt = *of.request.prompt;
    const auto now = std::chrono::steady_clock::now();
    const auto own = prompt.parts.empty() ? prompt.prompt_tokens
                                          : prompt.parts.back().tokens;
    const auto engine_ms = static_cast<double>(own) /
                           dispatch::prefill_rate::initial_tokens_per_ms;
    of.on.demand.add({of.service->id, prompt.model, {}}, engine_ms, now);
    // For adapters, requests are counted: each needs the slot for a while.
    if (!prompt.adapter.empty())
        of.on.demand.add(
            {of.service->id, prompt.model, prompt.adapter}, 1, now);
}

// An endpoint that broke a stream off is tried once more, since it may be the
// only one with the model.
void note_try(call& of, stream_state& state, const endpoint_id& endpoint,
    relay_outcome outcome)
{
    const bool first = of.tried.insert(endpoint).second;
    if (first && state.begun && outcome == relay_outcome::broken)
        state.broken_off_at.insert(endpoint);
    else
        state.broken_off_at.erase(endpoint);
}

// Ends a stream that can't go on.
asio::awaitable<void> give_up(call& of, const stream_state& state,
    std::optional<whole_answer> last, const error& cause)
{
    if (of.out.caller_gone())
    {
        of.reason = "caller_gone";
        co_return;
    }
    if (state.begun)
    {
        // The connection is closed, so that the part does not look complete.
        of.reason = "stream_broken";
        co_return;
    }
    if (last)
    {
        of.reason = "endpoint_failed";
        co_await of.out.respond(std::move(*last));
        co_return;
    }
    if (of.may_have_run)
    {
        const bool late = std::chrono::steady_clock::now() >= of.deadline;
        co_await refuse(of, late ? 504 : 502, late ? "timeout" : "unanswered");
        co_return;
    }
    co_await refuse(
        of, 503, std::string(to_string(cause.code())), not_ready_retry_s);
}

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

// Whether the choice can serve the request before the caller gives up.
asio::awaitable<bool> in_time(call& of, const dispatch::endpoint_choice& choice,
    const stream_state& state)
{
    const auto limit = first_event_limit(of);
    if (state.begun || of.sends > 0 || choice.expected_at < limit)
        co_return true;
    co_await refuse(of, 503, "overloaded",
        std::max(
            not_ready_retry_s, seconds_between(limit, choice.expected_at)));
    co_return false;
}

} // namespace

asio::awaitable<void> run_stream_call(call& of)
{
    count_demand(of);
    stream_state state;
    state.last_event = of.request.last_event;
    std::optional<whole_answer> last;
    error cause(error_code::deadline_exceeded, "the deadline has passed");
    while (std::chrono::steady_clock::now() < of.deadline && take_attempt(of))
    {
        auto to = co_await choose(of, state);
        if (!to)
        {
            cause = to.error();
            break;
        }
        of.expected_ms =
            seconds_between(std::chrono::steady_clock::now(), to->expected_at) *
            1000;
        const bool served_in_time = co_await in_time(of, *to, state);
        if (!served_in_time)
            co_return;
        auto end = co_await relay_stream(of, state, *to);
        note_try(of, state, to->id, end.outcome);
        if (end.outcome == relay_outcome::complete)
        {
            of.reason = "answered";
            co_return;
        }
        if (end.outcome == relay_outcome::caller_gone)
            break;
        if (end.outcome == relay_outcome::answered)
            last = std::move(end.answer);
        const bool ran = end.outcome == relay_outcome::answered ||
                         end.outcome == relay_outcome::broken;
        of.may_have_run = of.may_have_run || ran;
        if (ran && !resumable(of))
            break;
        cause = error(error_code::no_endpoint, "all sends were rejected");
    }
    co_await give_up(of, state, std::move(last), cause);
}

} // namespace tarragonquay::gateway
