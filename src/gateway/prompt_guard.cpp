#include "gateway/prompt_guard.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "common/digest.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/stream_relay.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// A port without a listener refuses a connection within a round trip; an
/// endpoint that does not answer at all may only be unreachable.
constexpr milliseconds probe_timeout{300};
/// How long one instance may try an expired refusal before the next one.
constexpr std::chrono::seconds probe_turn{10};
/// A suspect request waits for others with the same part for this multiple of
/// its latency target; an answer that comes later is of little use.
constexpr int hold_time_in_targets = 2;
constexpr milliseconds min_hold_time{1'000};
/// Retry-After of a suspect request that waited in vain, in seconds: by then
/// the outcome of the request in flight is known.
constexpr double suspect_retry_s = 1.0;

// Ids of parts as callers write them.
std::vector<std::string> to_text(const std::vector<std::uint64_t>& parts)
{
    std::vector<std::string> out;
    out.reserve(parts.size());
    for (const auto part : parts)
        out.push_back(fmt::format("{:x}", part));
    return out;
}

std::vector<std::uint64_t> shared_parts(const dispatch::prompt& from)
{
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i + 1 < from.parts.size(); ++i)
        out.push_back(from.parts[i].id);
    return out;
}

// Whether this instance sends the one request that finds out whether a refusal
// that ended at `expired_at` still applies. Rendezvous hashing gives each part
// one such instance at a time; it changes, since not every instance gets
// requests with the part.
bool may_probe(const context& ctx, std::uint64_t part, time_point expired_at,
    time_point now)
{
    const auto turn =
        static_cast<std::uint64_t>((now - expired_at) / probe_turn);
    const auto rank = [&](const instance_id& instance)
    { return fast_hash(instance.str(), part + turn); };
    const auto own = rank(ctx.roster.self().id);
    const auto others = ctx.roster.others();
    return std::none_of(others.begin(), others.end(),
        [&](const fleet::member& each)
        { return each.ready && rank(each.id) > own; });
}

bool any_in_flight(const context& ctx, const std::vector<std::uint64_t>& parts)
{
    return std::any_of(parts.begin(), parts.end(),
        [&](std::uint64_t part)
        { return ctx.suspect_parts_in_flight.contains(part); });
}

// A client error would be wrong: the request is well-formed and permitted, and
// may be served once the refusal has expired.
asio::awaitable<send_permission> refuse_prompt(
    call& call, const std::vector<std::uint64_t>& parts, time_point now)
{
    const std::chrono::duration<double> retry_after =
        call.ctx.evidence.refusal_end(*call.request.prompt) - now;
    call.ctx.log.info("prompt_refused",
        {{"request_id", call.request.id}, {"parts", to_text(parts)},
            {"crashes",
                call.ctx.evidence.crashes_under(*call.request.prompt)}});
    call.ctx.metrics.add("tq_gateway_refused_prompts_total", {});
    if (call.out.answer_begun())
        call.reason = "crashing_part";
    else if (runs_or_may_have_run(call))
        co_await refuse(call, 502, "crashing_part");
    else
        co_await refuse(call, 503, "crashing_part",
            std::max(suspect_retry_s, retry_after.count()));
    co_return send_permission::refused;
}

// The callers of a begun stream and of a request that has not begun wait for
// different events.
time_point latest_permission(const call& call, time_point now)
{
    const auto hold_time = std::max(min_hold_time,
        milliseconds(hold_time_in_targets * call.route->target_latency_ms));
    if (call.out.answer_begun())
        return std::min(call.deadline, now + hold_time);
    return std::min(
        first_event_deadline(call), call.request.arrived_at + hold_time);
}

asio::awaitable<send_permission> end_hold(
    call& call, const std::vector<std::uint64_t>& parts)
{
    call.ctx.log.info("prompt_held",
        {{"request_id", call.request.id}, {"parts", to_text(parts)}});
    if (call.lost_in_crash || call.out.answer_begun())
        co_return send_permission::not_repeated;
    if (runs_or_may_have_run(call))
        co_await refuse(call, 502, "suspect_part");
    else
        co_await refuse(call, 503, "suspect_part", suspect_retry_s);
    co_return send_permission::refused;
}

} // namespace

suspect_flight::suspect_flight(context& ctx, std::vector<std::uint64_t> parts)
    : ctx_(&ctx), parts_(std::move(parts))
{
    ctx_->suspect_parts_in_flight.insert(parts_.begin(), parts_.end());
}

suspect_flight::~suspect_flight()
{
    for (const auto part : parts_)
        ctx_->suspect_parts_in_flight.erase(part);
    ctx_->evidence_changed.raise();
}

asio::awaitable<send_permission> permit_prompt(call& call)
{
    if (!call.request.prompt)
        co_return send_permission::granted;
    auto& ctx = call.ctx;
    const auto& prompt = *call.request.prompt;
    const auto hold_until =
        latest_permission(call, std::chrono::steady_clock::now());
    while (true)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto verdict = ctx.evidence.judge(prompt, now);
        const bool sound =
            call.established && verdict == dispatch::prompt_verdict::suspect;
        if (sound || verdict == dispatch::prompt_verdict::unsuspected)
            co_return send_permission::granted;
        auto parts = ctx.evidence.blamed_parts(prompt, now);
        const bool refused = verdict == dispatch::prompt_verdict::refused ||
                             (verdict == dispatch::prompt_verdict::expired &&
                                 !may_probe(ctx, parts.front(),
                                     ctx.evidence.refusal_end(prompt), now));
        if (refused)
            co_return co_await refuse_prompt(call, parts, now);
        if (!call.lost_in_crash && !any_in_flight(ctx, parts))
        {
            call.suspect =
                std::make_unique<suspect_flight>(ctx, std::move(parts));
            co_return send_permission::granted;
        }
        if (now >= hold_until || call.out.caller_gone() || ctx.interrupted)
            co_return co_await end_hold(call, parts);
        co_await ctx.evidence_changed.wait(hold_until);
    }
}

bool may_send_elsewhere(const call& call, time_point now)
{
    if (!call.request.prompt)
        return true;
    const auto verdict = call.ctx.evidence.judge(*call.request.prompt, now);
    return verdict == dispatch::prompt_verdict::unsuspected ||
           (call.established && verdict == dispatch::prompt_verdict::suspect);
}

void note_prompt_established(call& call)
{
    if (!call.request.prompt)
        return;
    call.established = true;
    auto& evidence = call.ctx.evidence;
    const auto before = evidence.revision();
    evidence.note_answer(
        *call.request.prompt, std::chrono::steady_clock::now());
    call.suspect.reset();
    if (evidence.revision() != before)
        call.ctx.announce_evidence();
}

bool is_broken_by_endpoint(const error& cause)
{
    return cause.code() == error_code::connection_broken ||
           cause.code() == error_code::incomplete_answer;
}

namespace
{

asio::awaitable<void> note_prompt_lost(call& call, const lost_send& lost)
{
    if (!call.request.prompt || call.request.prompt->parts.size() < 2 ||
        call.ctx.interrupted)
        co_return;
    auto& ctx = call.ctx;
    const auto now = std::chrono::steady_clock::now();
    const bool ended = co_await endpoints::http_connection::is_refused(
        lost.at.address, std::min(now + probe_timeout, call.ctx.interrupts_at));
    if (!ended)
        co_return;
    call.lost_in_crash = true;
    const auto before = ctx.evidence.revision();
    ctx.evidence.note_crash(
        *call.request.prompt, lost.at.id, lost.started_unix_ms, lost.lost_at);
    ctx.log.info("engine_ended_under_request",
        {{"request_id", call.request.id}, {"endpoint", lost.at.id.str()},
            {"parts", to_text(shared_parts(*call.request.prompt))},
            {"crashes", ctx.evidence.crashes_under(*call.request.prompt)},
            {"verdict",
                to_string(ctx.evidence.judge(*call.request.prompt, now))}});
    ctx.metrics.add("tq_gateway_requests_lost_in_crashes_total", {});
    if (ctx.evidence.revision() != before)
        ctx.announce_evidence();
}

} // namespace

asio::awaitable<void> record_lost_sends(call& call)
{
    const auto lost = std::exchange(call.lost_sends, {});
    for (const auto& each : lost)
        co_await note_prompt_lost(call, each);
}

} // namespace tarragonquay::gateway
