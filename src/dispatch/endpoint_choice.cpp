// The choice of an endpoint for a request; see endpoint_pool.cpp for what the
// pool knows about the endpoints.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "common/digest.hpp"
#include "dispatch/endpoint_pool.hpp"

namespace tarragonquay::dispatch
{

namespace
{

using std::chrono::milliseconds;

/// Older load reports of a peer are ignored: most requests end sooner.
constexpr milliseconds peer_load_lifetime{1'500};
/// Cost of another availability zone: its round trip time.
constexpr double zone_cost_ms = 3.0;
/// Delay that each running request adds to an engine's steps.
constexpr double running_cost_ms = 0.5;
/// Additional wait by which an endpoint at which every request fails is ranked.
/// It is no part of the expected wait: requests that do not expect an answer in
/// time are not sent, so that the endpoint could never show that it has
/// recovered.
constexpr double failure_cost_ms = 2'000.0;
/// Additional wait by which an endpoint is ranked that has named a limit and
/// has few places left: they are kept for requests that only it can serve.
constexpr double scarcity_cost_ms = 300.0;
/// Load of a plain endpoint, in requests per slot, that counts as much as being
/// in another availability zone.
constexpr double zone_load = 0.3;
constexpr double failure_load = 4.0;
constexpr double scarcity_load = 1.0;

// Rank of an endpoint for a prompt prefix in rendezvous hashing.
std::uint64_t rank(std::uint64_t endpoint, std::uint64_t prefix)
{
    const std::string_view bytes(
        reinterpret_cast<const char*>(&endpoint), sizeof(endpoint));
    return fast_hash(bytes, prefix);
}

duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

time_point after_ms(time_point now, double ms)
{
    return now + from_ms(ms);
}

} // namespace

endpoint_load endpoint_pool::total_load(const record& endpoint, time_point now)
{
    auto out = endpoint.own;
    for (const auto& [peer, reported] : endpoint.peers)
        if (now - reported.received_at < peer_load_lifetime)
            out = out + reported.load;
    return out;
}

bool endpoint_pool::holds(
    const record& endpoint, const prompt& request, time_point now)
{
    const auto missing =
        endpoint.missing.find({request.model, request.adapter});
    if (missing != endpoint.missing.end() && now < missing->second)
        return false;
    for (const auto& each : endpoint.entry.models)
        if (each.model == request.model)
            return request.adapter.empty() ||
                   each.adapters.contains(request.adapter);
    return false;
}

bool endpoint_pool::usable(const record& endpoint, const service_id& service,
    const std::set<endpoint_id>& excluded, time_point now) const
{
    return endpoint.entry.service == service &&
           endpoint.availability.accepts_requests(now) &&
           !evacuated(endpoint) && !freeze_.outdated(now) &&
           endpoint.capacity.admits(now) &&
           !excluded.contains(endpoint.entry.id) &&
           (!endpoint.entry.gone_at || now < *endpoint.entry.gone_at);
}

std::vector<const endpoint_pool::record*> endpoint_pool::candidates(
    const service_id& service, const std::set<endpoint_id>& excluded,
    time_point now) const
{
    std::vector<const record*> healthy;
    std::vector<const record*> suspended;
    for (const auto& [id, each] : records_)
        if (usable(each, service, excluded, now))
            (each.health.suspended(now) || now < each.full_until ? suspended
                                                                 : healthy)
                .push_back(&each);
    return healthy.empty() ? suspended : healthy;
}

endpoint_pool::model_speed endpoint_pool::speed(
    const service_id& service, const model_id& model) const
{
    const auto found = speeds_.find({service, model});
    return found == speeds_.end() ? model_speed() : found->second;
}

endpoint_choice endpoint_pool::estimate(const record& endpoint,
    const service_id& service, const prompt& request, bool home,
    time_point now) const
{
    const auto load = total_load(endpoint, now);
    auto uncached = endpoint.cache.uncached_tokens(request);
    // The other instances send requests with this prefix to its home engine as
    // well, so it is probably cached there.
    if (home && !request.parts.empty())
        uncached = std::min(
            uncached, std::max<std::int64_t>(1, request.parts.back().tokens));
    const auto measured = speed(service, request.model);
    const auto slots = std::max<std::int64_t>(1, endpoint.entry.slots);
    // When all slots are in use, a request waits until streams end.
    const auto excess = std::max<std::int64_t>(0, load.requests + 1 - slots);
    const auto wait =
        static_cast<double>(load.waiting_tokens + uncached) /
            measured.prefill.tokens_per_ms() +
        static_cast<double>(excess) * measured.stream_ms /
            static_cast<double>(slots) +
        running_cost_ms * static_cast<double>(load.requests) +
        (endpoint.entry.availability_zone == zone_ ? 0.0 : zone_cost_ms);
    return {endpoint.entry.id, endpoint.entry.started_unix_ms,
        endpoint.entry.address, after_ms(now, wait), uncached,
        load.waiting_tokens,
        from_ms(
            static_cast<double>(uncached) / measured.prefill.tokens_per_ms())};
}

result<endpoint_choice> endpoint_pool::choose_engine(const service_id& service,
    const prompt& request, const std::set<endpoint_id>& excluded,
    time_point now, engine_preference preference) const
{
    const auto all = candidates(service, excluded, now);
    if (all.empty())
        return fail(
            error_code::no_endpoint, "the service has no engine to use");
    std::vector<const record*> holders;
    for (const auto* each : all)
        if (holds(*each, request, now))
            holders.push_back(each);
    if (holders.empty())
        return fail(error_code::model_not_ready,
            "no engine holds the model or the adapter");
    // The home engine of a prefix is found by rendezvous hashing over the
    // leading parts, which requests share.
    const auto hashes = request.prefix_hashes();
    const auto shared = hashes.size() < 2 ? fast_hash(request.model.str())
                                          : hashes[hashes.size() - 2];
    const auto* home = *std::max_element(holders.begin(), holders.end(),
        [&](const record* a, const record* b)
        { return rank(a->id_hash, shared) < rank(b->id_hash, shared); });
    const auto requests_at_risk = [&](const record& endpoint)
    {
        return preference == engine_preference::fewest_requests
                   ? total_load(endpoint, now).requests
                   : std::int64_t(0);
    };
    std::optional<endpoint_choice> best;
    std::pair<std::int64_t, time_point> best_rank;
    for (const auto* each : holders)
    {
        auto option = estimate(*each, service, request, each == home, now);
        const auto option_rank = std::pair(requests_at_risk(*each),
            after_ms(option.expected_at,
                failure_cost_ms * each->health.error_share() +
                    (each->capacity.scarce(now) ? scarcity_cost_ms : 0.0)));
        if (best && option_rank >= best_rank)
            continue;
        best = std::move(option);
        best_rank = option_rank;
    }
    return *best;
}

result<endpoint_choice> endpoint_pool::choose_plain(const service_id& service,
    const std::set<endpoint_id>& excluded, time_point now) const
{
    const record* best = nullptr;
    double best_load = 0;
    for (const auto* each : candidates(service, excluded, now))
    {
        const auto load =
            static_cast<double>(total_load(*each, now).requests) /
                static_cast<double>(
                    std::max<std::int64_t>(1, each->entry.slots)) +
            failure_load * each->health.error_share() +
            (each->capacity.scarce(now) ? scarcity_load : 0.0) +
            (each->entry.availability_zone == zone_ ? 0.0 : zone_load);
        if (best == nullptr || load < best_load)
        {
            best = each;
            best_load = load;
        }
    }
    if (best == nullptr)
        return fail(
            error_code::no_endpoint, "the service has no endpoint to use");
    return endpoint_choice{best->entry.id, best->entry.started_unix_ms,
        best->entry.address, now, 0, 0, {}};
}

} // namespace tarragonquay::dispatch
