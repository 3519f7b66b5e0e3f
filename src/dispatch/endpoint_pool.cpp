#include "dispatch/endpoint_pool.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "common/digest.hpp"

namespace tarragonquay::dispatch
{

namespace
{

using std::chrono::milliseconds;

/// How long an engine's report that it lacks a model or an adapter overrides
/// its reported residency. An adapter that is being loaded arrives within this
/// time.
constexpr milliseconds missing_lifetime{200};
/// Requests that are sent within this time of each other may be answered in any
/// order.
constexpr milliseconds reordering_margin{300};
/// A full endpoint gets no requests for this time, in which some of its
/// requests end.
constexpr milliseconds full_backoff{150};
/// Averages over about the last twenty streams.
constexpr double newest_stream_weight = 0.05;

using model_list = std::vector<endpoints::loaded_model>;

bool contains(const model_list& models, const model_id& model)
{
    return std::any_of(models.begin(), models.end(),
        [&](const endpoints::loaded_model& each)
        { return each.model == model; });
}

// Applies to `held` which models an entry lists and its predecessor did not,
// and the other way round.
model_list apply_changes(
    model_list held, const model_list& before, const model_list& after)
{
    std::erase_if(held,
        [&](const endpoints::loaded_model& each) {
            return contains(before, each.model) && !contains(after, each.model);
        });
    for (const auto& each : after)
        if (!contains(before, each.model) && !contains(held, each.model))
            held.push_back(each);
    return held;
}

} // namespace

void endpoint_pool::put(
    endpoints::directory_entry entry, time_point now, duration process_age)
{
    auto& stored = records_[entry.id];
    const bool same_process =
        stored.entry.started_unix_ms == entry.started_unix_ms &&
        stored.entry.address == entry.address && !stored.entry.id.empty();
    if (!same_process)
    {
        stored = record();
        stored.id_hash = fast_hash(entry.id.str());
        if (const auto* departed =
                find_departed({entry.id, entry.started_unix_ms}))
            stored.availability.note_leaving(departed->source);
    }
    put_warm_up(stored, entry, !same_process, now, process_age);
    auto listed = entry.models;
    // Entries don't show adapters that were loaded since, nor that a model is
    // being unloaded, so only what has changed in them is applied to a reported
    // residency.
    if (stored.residency_commands >= 0)
        entry.models = apply_changes(
            std::move(stored.entry.models), stored.listed_models, listed);
    stored.listed_models = std::move(listed);
    if (entry.leaving)
        stored.availability.note_leaving(leaving_source::directory);
    entry.leaving = stored.availability.leaving();
    stored.entry = std::move(entry);
}

void endpoint_pool::erase(const endpoint_id& id)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return;
    if (const auto source = found->second.availability.source())
        remember_departed({id, found->second.entry.started_unix_ms}, *source);
    remember_warm_up(found->second);
    records_.erase(found);
}

const endpoint_pool::departed_process* endpoint_pool::find_departed(
    const endpoint_process& process) const
{
    const auto found = std::find_if(departed_.begin(), departed_.end(),
        [&](const departed_process& each) { return each.process == process; });
    return found == departed_.end() ? nullptr : &*found;
}

bool endpoint_pool::remember_departed(
    const endpoint_process& process, leaving_source source)
{
    // Without a start time, a later process can't be told from this one.
    if (process.started_unix_ms == 0 || find_departed(process) != nullptr)
        return false;
    departed_.push_back({process, source});
    if (departed_.size() > max_departed)
        departed_.pop_front();
    return true;
}

endpoint_pool::record* endpoint_pool::find_process(
    const endpoint_process& process)
{
    const auto found = records_.find(process.id);
    const bool same =
        found != records_.end() &&
        found->second.entry.started_unix_ms == process.started_unix_ms;
    return same ? &found->second : nullptr;
}

bool endpoint_pool::mark_leaving(
    const endpoint_process& process, leaving_source source)
{
    const auto found = records_.find(process.id);
    if (found == records_.end() ||
        found->second.entry.started_unix_ms < process.started_unix_ms)
        return remember_departed(process, source);
    auto& stored = found->second;
    if (stored.entry.started_unix_ms != process.started_unix_ms ||
        !stored.availability.note_leaving(source))
        return false;
    stored.entry.leaving = true;
    return true;
}

bool endpoint_pool::pause(const endpoint_process& process, time_point until)
{
    auto* found = find_process(process);
    return found != nullptr && found->availability.note_pause(until);
}

bool endpoint_pool::accepts_requests(
    const endpoint_process& process, time_point now) const
{
    const auto found = records_.find(process.id);
    return found != records_.end() &&
           found->second.entry.started_unix_ms == process.started_unix_ms &&
           found->second.availability.accepts_requests(now) &&
           !evacuated(found->second) && !freeze_.outdated(now);
}

void endpoint_pool::set_evacuated(evacuated_zones zones)
{
    evacuated_ = std::move(zones);
}

bool endpoint_pool::in_evacuated_zone(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && evacuated(found->second);
}

bool endpoint_pool::only_evacuated(const service_id& service) const
{
    bool found = false;
    for (const auto& [id, each] : records_)
    {
        if (each.entry.service != service || each.availability.leaving())
            continue;
        if (!evacuated(each))
            return false;
        found = true;
    }
    return found;
}

std::int64_t endpoint_pool::models_only_evacuated() const
{
    if (evacuated_.empty())
        return 0;
    std::set<std::pair<service_id, model_id>> inside;
    std::set<std::pair<service_id, model_id>> outside;
    for (const auto& [id, each] : records_)
        for (const auto& held : each.entry.models)
            (evacuated(each) ? inside : outside)
                .emplace(each.entry.service, held.model);
    return std::count_if(inside.begin(), inside.end(),
        [&](const auto& each) { return !outside.contains(each); });
}

void endpoint_pool::set_min_freeze(duration min_freeze)
{
    freeze_.set_min_freeze(min_freeze);
}

std::vector<endpoint_process> endpoint_pool::leaving_processes() const
{
    std::vector<endpoint_process> out;
    for (const auto& [id, each] : records_)
        if (each.availability.leaving() &&
            each.availability.source() != leaving_source::misdirected)
            out.push_back({id, each.entry.started_unix_ms});
    return out;
}

std::optional<endpoint_return> endpoint_pool::earliest_return(
    const service_id& service, const prompt* request, time_point now) const
{
    std::optional<endpoint_return> out;
    for (const auto& [id, each] : records_)
    {
        if (each.entry.service != service || each.availability.leaving() ||
            evacuated(each) ||
            (request != nullptr && !holds(each, *request, now)))
            continue;
        const bool paused = each.availability.paused(now);
        if (!paused && each.capacity.admits(now))
            return std::nullopt;
        const auto place = each.capacity.next_place(now);
        const endpoint_return at{
            paused ? std::max(place, each.availability.paused_until()) : place,
            each.capacity.limited(now),
            !paused && each.capacity.waits_for_warm_up(now)};
        out = out ? std::min(*out, at) : at;
    }
    return out;
}

std::optional<time_point> endpoint_pool::earliest_own_place(
    const service_id& service, const prompt& request, time_point now) const
{
    std::optional<time_point> out;
    for (const auto& [id, each] : records_)
    {
        if (each.entry.service != service ||
            !each.availability.accepts_requests(now) || evacuated(each) ||
            !each.capacity.has_places(now) || !holds(each, request, now))
            continue;
        const auto place = each.capacity.next_place(now);
        out = out ? std::min(*out, place) : place;
    }
    return out;
}

bool endpoint_pool::note_limit(const endpoint_process& process,
    std::optional<double> requests_per_second, time_point now)
{
    auto* found = find_process(process);
    return found != nullptr &&
           set_limit(
               *found, found->limit.after_answer(requests_per_second), now);
}

bool endpoint_pool::put_limit(
    const endpoint_process& process, const endpoint_limit& told, time_point now)
{
    auto* found = find_process(process);
    return found != nullptr &&
           set_limit(*found, found->limit.merged_with(told), now);
}

bool endpoint_pool::set_limit(
    record& endpoint, const endpoint_limit& limit, time_point now)
{
    const bool changed =
        limit.requests_per_second != endpoint.limit.requests_per_second;
    endpoint.limit = limit;
    if (changed)
        update_share(endpoint, now);
    return changed;
}

void endpoint_pool::update_share(record& endpoint, time_point now) const
{
    if (const auto rate = endpoint.limit.requests_per_second)
        endpoint.capacity.named().set(
            *rate, self_, serving_, endpoint.entry.id, now);
    else
        endpoint.capacity.named().clear();
}

std::vector<std::pair<endpoint_process, endpoint_limit>>
endpoint_pool::limits() const
{
    std::vector<std::pair<endpoint_process, endpoint_limit>> out;
    for (const auto& [id, each] : records_)
        if (each.limit.revision > 0)
            out.push_back({{id, each.entry.started_unix_ms}, each.limit});
    return out;
}

bool endpoint_pool::limited(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.capacity.named().limited();
}

void endpoint_pool::set_serving_instances(
    instance_id self, std::vector<instance_id> serving, time_point now)
{
    const bool parts_changed = fleets_.note(serving, now) || self != self_;
    if (self == self_ && serving == serving_)
    {
        if (parts_changed)
            update_warm_ups(now);
        return;
    }
    self_ = std::move(self);
    serving_ = std::move(serving);
    for (auto& [id, each] : records_)
        if (each.limit.requests_per_second)
            update_share(each, now);
    update_warm_ups(now);
}

std::vector<endpoints::directory_entry> endpoint_pool::entries() const
{
    std::vector<endpoints::directory_entry> out;
    for (const auto& [id, each] : records_)
        out.push_back(each.entry);
    return out;
}

const endpoints::directory_entry* endpoint_pool::find(
    const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.entry;
}

void endpoint_pool::put_residency(const endpoint_id& id,
    std::int64_t started_unix_ms, std::int64_t accepted_commands,
    std::vector<endpoints::loaded_model> models)
{
    const auto found = records_.find(id);
    if (found == records_.end() ||
        found->second.entry.started_unix_ms != started_unix_ms ||
        found->second.residency_commands > accepted_commands)
        return;
    auto& stored = found->second;
    if (stored.residency_commands != accepted_commands ||
        stored.entry.models != models)
        stored.missing.clear();
    stored.residency_commands = accepted_commands;
    stored.entry.models = std::move(models);
}

void endpoint_pool::mark_missing(const endpoint_id& id, const model_id& model,
    const adapter_id& adapter, time_point now)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.missing[{model, adapter}] = now + missing_lifetime;
}

in_flight_request endpoint_pool::begin(const endpoint_choice& choice,
    const prompt* request, std::int64_t cache_tokens, time_point now)
{
    in_flight_request out;
    out.endpoint = choice.id;
    out.load.requests = 1;
    out.sent_at = now;
    const auto found = records_.find(choice.id);
    if (request != nullptr)
    {
        out.load.waiting_tokens = choice.uncached_tokens;
        out.tokens_to_read = choice.tokens_ahead + choice.uncached_tokens;
        if (found != records_.end())
            found->second.cache.insert(*request, cache_tokens);
    }
    if (found == records_.end())
        return out;
    out.started_unix_ms = found->second.entry.started_unix_ms;
    found->second.own = found->second.own + out.load;
    found->second.capacity.take(now);
    return out;
}

void endpoint_pool::note_first_event(in_flight_request& sent,
    const service_id& service, const model_id& model, time_point now)
{
    if (sent.load.waiting_tokens == 0)
        return;
    const std::chrono::duration<double, std::milli> elapsed =
        now - sent.sent_at;
    speeds_[{service, model}].prefill.observe(
        sent.tokens_to_read, elapsed.count());
    sent.answered_at = now;
    const auto found = records_.find(sent.endpoint);
    if (found != records_.end() &&
        found->second.entry.started_unix_ms == sent.started_unix_ms)
    {
        auto& stored = found->second;
        stored.own.waiting_tokens -= sent.load.waiting_tokens;
        stored.progress_at = now;
        stored.answered_sent_at =
            std::max(stored.answered_sent_at, sent.sent_at);
    }
    sent.load.waiting_tokens = 0;
}

void endpoint_pool::note_stream_end(const in_flight_request& sent,
    const service_id& service, const model_id& model,
    std::int64_t output_tokens, time_point now)
{
    if (!sent.answered_at)
        return;
    const std::chrono::duration<double, std::milli> taken =
        now - *sent.answered_at;
    auto& speed = speeds_[{service, model}];
    speed.streams.observe(output_tokens, now - *sent.answered_at);
    stream_times_[service].observe(output_tokens, now - *sent.answered_at);
    auto& measured = speed.stream_ms;
    measured = measured == 0 ? taken.count()
                             : measured + newest_stream_weight *
                                              (taken.count() - measured);
}

void endpoint_pool::note_plain_end(
    const in_flight_request& sent, const service_id& service, time_point now)
{
    plain_times_[service].observe(1, now - sent.sent_at);
}

std::optional<duration> endpoint_pool::stream_time(const service_id& service,
    const model_id& model, std::int64_t output_tokens) const
{
    if (const auto own =
            speed(service, model).streams.upper_estimate(output_tokens))
        return own;
    const auto found = stream_times_.find(service);
    return found == stream_times_.end()
               ? std::nullopt
               : found->second.upper_estimate(output_tokens);
}

std::optional<duration> endpoint_pool::plain_time(
    const service_id& service) const
{
    const auto found = plain_times_.find(service);
    return found == plain_times_.end() ? std::nullopt
                                       : found->second.upper_estimate(1);
}

void endpoint_pool::mark_full(const endpoint_id& id, time_point now)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.full_until = now + full_backoff;
}

void endpoint_pool::finish(in_flight_request& sent)
{
    const auto found = records_.find(sent.endpoint);
    if (found != records_.end() &&
        found->second.entry.started_unix_ms == sent.started_unix_ms)
    {
        auto& own = found->second.own;
        own.waiting_tokens -= sent.load.waiting_tokens;
        own.requests -= sent.load.requests;
    }
    sent.load = {};
}

void endpoint_pool::note_progress(const endpoint_id& id, time_point now)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.progress_at = now;
}

bool endpoint_pool::lost_request(
    const endpoint_id& id, time_point sent_at) const
{
    const auto found = records_.find(id);
    return found == records_.end() || found->second.progress_at <= sent_at ||
           found->second.answered_sent_at > sent_at + reordering_margin;
}

void endpoint_pool::record_answer(const endpoint_id& id, bool success)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.health.record_answer(success);
}

void endpoint_pool::record_failure(const endpoint_id& id, time_point now)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.health.record_failure(now);
}

bool endpoint_pool::suspended(const endpoint_id& id, time_point now) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.health.suspended(now);
}

std::vector<std::pair<endpoint_id, endpoint_load>>
endpoint_pool::own_loads() const
{
    std::vector<std::pair<endpoint_id, endpoint_load>> out;
    for (const auto& [id, each] : records_)
        if (each.own != endpoint_load())
            out.emplace_back(id, each.own);
    return out;
}

void endpoint_pool::put_peer_loads(const instance_id& peer,
    const std::vector<std::pair<endpoint_id, endpoint_load>>& loads,
    time_point now)
{
    erase_peer(peer);
    for (const auto& [id, load] : loads)
        if (const auto found = records_.find(id); found != records_.end())
            found->second.peers[peer] = {load, now};
}

void endpoint_pool::erase_peer(const instance_id& peer)
{
    for (auto& [id, each] : records_)
        each.peers.erase(peer);
}

} // namespace tarragonquay::dispatch
