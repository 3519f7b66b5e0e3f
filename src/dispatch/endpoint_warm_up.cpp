// The cold phases of the endpoints in the pool.
#include <algorithm>
#include <utility>

#include "dispatch/endpoint_pool.hpp"

namespace tarragonquay::dispatch
{

void endpoint_pool::put_warm_up(record& endpoint,
    const endpoints::directory_entry& entry, bool new_process, time_point now,
    duration process_age)
{
    auto& capacity = endpoint.capacity;
    if (new_process)
    {
        const auto erased =
            erased_warm_ups_.find({entry.id, entry.started_unix_ms});
        if (erased != erased_warm_ups_.end())
        {
            capacity = erased->second;
            erased_warm_ups_.erase(erased);
        }
        else if (!entry.cold_until)
            capacity.phase() = cold_phase(now, process_age);
    }
    if (entry.cold_until)
        capacity.phase().note_entry(*entry.cold_until, now);
    const auto found = warm_ups_.find(entry.service);
    capacity.set_warm_up(
        found == warm_ups_.end() ? std::nullopt : std::optional(found->second));
    capacity.note_phase(self_, fleets_, entry.id, now);
}

void endpoint_pool::remember_warm_up(const record& endpoint)
{
    const auto started = endpoint.entry.started_unix_ms;
    // Without a start time, a later process can't be told from this one.
    if (!endpoint.capacity.has_warm_up() || started == 0 ||
        erased_warm_ups_.size() >= max_departed)
        return;
    auto kept = endpoint.capacity;
    kept.named().clear();
    erased_warm_ups_.insert_or_assign({endpoint.entry.id, started}, kept);
}

bool endpoint_pool::note_phase(record& endpoint, time_point now) const
{
    return endpoint.capacity.note_phase(self_, fleets_, endpoint.entry.id, now);
}

void endpoint_pool::update_warm_ups(time_point now)
{
    std::erase_if(erased_warm_ups_,
        [now](const auto& each) { return !each.second.cold(now); });
    for (auto& [id, each] : records_)
        each.capacity.update_part(self_, fleets_, id, now);
}

void endpoint_pool::set_warm_ups(
    std::map<service_id, warm_up> warm_ups, time_point now)
{
    if (warm_ups == warm_ups_)
        return;
    warm_ups_ = std::move(warm_ups);
    for (auto& [id, each] : records_)
    {
        const auto found = warm_ups_.find(each.entry.service);
        each.capacity.set_warm_up(found == warm_ups_.end()
                                      ? std::nullopt
                                      : std::optional(found->second));
        note_phase(each, now);
    }
}

bool endpoint_pool::note_cold(
    const endpoint_process& process, time_point until, time_point now)
{
    auto* found = find_process(process);
    if (found == nullptr)
        return false;
    found->capacity.phase().note_answer(until, now);
    return note_phase(*found, now);
}

bool endpoint_pool::put_cold(const endpoint_process& process,
    const told_cold_phase& told, time_point now)
{
    auto* found = find_process(process);
    if (found == nullptr)
        return false;
    found->capacity.phase().note_told(told);
    return note_phase(*found, now);
}

std::vector<endpoint_id> endpoint_pool::begin_cold_phase(
    const std::string& zone, time_point now)
{
    std::vector<endpoint_id> out;
    for (auto& [id, each] : records_)
    {
        if (each.entry.availability_zone != zone)
            continue;
        each.capacity.phase().assume(now);
        if (note_phase(each, now))
            out.push_back(id);
    }
    return out;
}

std::vector<std::pair<endpoint_process, told_cold_phase>>
endpoint_pool::cold_phases(time_point now) const
{
    std::vector<std::pair<endpoint_process, told_cold_phase>> out;
    for (const auto& [id, each] : records_)
        if (each.capacity.has_warm_up() &&
            now < each.capacity.phase().reported().until)
            out.push_back({{id, each.entry.started_unix_ms},
                each.capacity.phase().reported()});
    return out;
}

std::optional<time_point> endpoint_pool::cold_until(
    const endpoint_id& id, time_point now) const
{
    const auto found = records_.find(id);
    if (found == records_.end() || !found->second.capacity.cold(now))
        return std::nullopt;
    return found->second.capacity.cold_until();
}

std::size_t endpoint_pool::cold_endpoints(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(records_.begin(),
        records_.end(),
        [now](const auto& each) { return each.second.capacity.cold(now); }));
}

bool endpoint_pool::takes_few(const endpoint_id& id, time_point now) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.capacity.limited(now);
}

} // namespace tarragonquay::dispatch
