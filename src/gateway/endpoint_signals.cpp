#include "gateway/endpoint_signals.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>

#include "endpoints/cold_time.hpp"
#include "endpoints/request_limit.hpp"
#include "endpoints/retry_after.hpp"

namespace tarragonquay::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr int status_unavailable = 503;
/// Minimum interval between log lines on malformed pauses, and on limits.
constexpr std::chrono::minutes warning_interval{1};
/// Instances return to a paused endpoint spread over this fraction of the
/// pause, but at most over `max_return_spread`.
constexpr int return_spread_divisor = 4;
constexpr milliseconds max_return_spread{250};

void warn_malformed_pause(context& ctx, const endpoint_id& from,
    const std::string& reason, time_point now)
{
    if (now < ctx.next_pause_warning)
        return;
    ctx.next_pause_warning = now + warning_interval;
    ctx.log.warning("endpoint_pause_ignored",
        {{"endpoint", from.str()}, {"reason", reason}});
}

void note_pause(context& ctx, const dispatch::endpoint_process& from,
    const std::string& retry_after)
{
    const auto now = std::chrono::steady_clock::now();
    const auto wanted = endpoints::parse_retry_after(retry_after);
    if (!wanted)
        return warn_malformed_pause(
            ctx, from.id, wanted.error().message(), now);
    const auto pause = std::min<duration>(
        *wanted, milliseconds(ctx.settings.bounds.max_endpoint_pause_ms));
    const auto spread =
        std::min<duration>(pause / return_spread_divisor, max_return_spread);
    const duration delay(std::uniform_int_distribution<duration::rep>(
        0, spread.count())(ctx.random));
    if (!ctx.pool.pause(from, now + pause + delay))
        return;
    ctx.log.info("endpoint_paused",
        {{"endpoint", from.id.str()},
            {"pause_ms",
                std::chrono::duration_cast<milliseconds>(pause).count()}});
    ctx.metrics.add("tq_gateway_endpoint_pauses_total", {});
}

void log_limit(context& ctx, const dispatch::endpoint_process& process,
    const std::optional<double>& requests_per_second, const char* source)
{
    if (requests_per_second)
        ctx.log.info("endpoint_limited",
            {{"endpoint", process.id.str()},
                {"requests_per_second", *requests_per_second},
                {"source", source}});
    else
        ctx.log.info("endpoint_limit_ended",
            {{"endpoint", process.id.str()}, {"source", source}});
    ctx.metrics.add("tq_gateway_endpoint_limit_changes_total",
        {{"source", source},
            {"change", requests_per_second ? "named" : "ended"}});
}

// The limit that an answer names, no value for none. Fails when the field is
// malformed or repeated.
result<std::optional<double>> read_limit(
    const std::string& name, const endpoints::answer_head& head)
{
    const auto fields = head.count(name);
    if (fields == 0)
        return std::optional<double>();
    if (fields > 1)
        return fail(error_code::malformed_message, "the field is repeated");
    auto parsed = endpoints::parse_request_limit(head.find(name));
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    return std::optional(*parsed);
}

// A malformed limit changes nothing. Only an answer that the endpoint has made
// shows that a limit has ended.
void note_limit(context& ctx, const dispatch::endpoint_process& from,
    const endpoints::answer_head& head)
{
    const auto& names = ctx.dialect.headers;
    const auto now = std::chrono::steady_clock::now();
    const auto limit = read_limit(names.limit, head);
    if (!limit)
    {
        if (now < ctx.next_limit_warning)
            return;
        ctx.next_limit_warning = now + warning_interval;
        ctx.log.warning("endpoint_limit_ignored",
            {{"endpoint", from.id.str()}, {"reason", limit.error().message()}});
        return;
    }
    if (!*limit && head.find(names.stamp).empty())
        return;
    if (ctx.pool.note_limit(from, *limit, now))
        log_limit(ctx, from, *limit, "own_answer");
}

void note_cold_phase(context& ctx, const dispatch::endpoint_process& from,
    const std::string& remaining)
{
    const auto now = std::chrono::steady_clock::now();
    const auto parsed = endpoints::parse_cold_time(remaining);
    if (!parsed)
    {
        if (now < ctx.next_cold_warning)
            return;
        ctx.next_cold_warning = now + warning_interval;
        ctx.log.warning("endpoint_cold_phase_ignored",
            {{"endpoint", from.id.str()},
                {"reason", parsed.error().message()}});
        return;
    }
    if (ctx.pool.note_cold(from, now + *parsed, now))
        log_cold_phase(ctx, from.id, "own_answer");
}

} // namespace

void note_told_cold_phase(context& ctx,
    const dispatch::endpoint_process& process,
    const dispatch::told_cold_phase& told)
{
    if (ctx.pool.put_cold(process, told, std::chrono::steady_clock::now()))
        log_cold_phase(ctx, process.id, "peer");
}

void log_cold_phase(context& ctx, const endpoint_id& id, const char* source)
{
    const auto now = std::chrono::steady_clock::now();
    const auto until = ctx.pool.cold_until(id, now);
    if (!until)
        return;
    ctx.log.info("endpoint_warming",
        {{"endpoint", id.str()},
            {"remaining_ms",
                std::chrono::duration_cast<milliseconds>(*until - now).count()},
            {"source", source}});
    ctx.metrics.add(
        "tq_gateway_endpoint_cold_phases_total", {{"source", source}});
}

void note_told_limit(context& ctx, const dispatch::endpoint_process& process,
    const dispatch::endpoint_limit& told)
{
    if (ctx.pool.put_limit(process, told, std::chrono::steady_clock::now()))
        log_limit(ctx, process, told.requests_per_second, "peer");
}

void note_leaving(context& ctx, const dispatch::endpoint_process& process,
    dispatch::leaving_source source)
{
    if (!ctx.pool.mark_leaving(process, source))
        return;
    const std::string name(to_string(source));
    ctx.log.info("endpoint_leaving",
        {{"endpoint", process.id.str()},
            {"started_unix_ms", process.started_unix_ms}, {"source", name}});
    ctx.metrics.add("tq_gateway_endpoints_leaving_total", {{"source", name}});
    if (const auto* entry = ctx.pool.find(process.id); entry != nullptr)
        ctx.connections.discard(entry->address);
}

void note_answer_head(context& ctx, const dispatch::endpoint_process& from,
    const endpoints::answer_head& head)
{
    const auto& names = ctx.dialect.headers;
    // Another process at the same address speaks only for itself.
    const auto sender = head.find(names.endpoint);
    if (!sender.empty() && sender != from.id.str())
        return;
    const auto leaving = head.find(names.leaving);
    if (!leaving.empty() && leaving != "0")
        note_leaving(ctx, from, dispatch::leaving_source::own_answer);
    note_limit(ctx, from, head);
    if (const auto remaining = head.find(names.cold_ms); !remaining.empty())
        note_cold_phase(ctx, from, remaining);
    if (head.status != status_unavailable)
        return;
    if (const auto retry_after = head.find("Retry-After"); !retry_after.empty())
        note_pause(ctx, from, retry_after);
}

} // namespace tarragonquay::gateway
