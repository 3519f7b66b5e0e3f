#include "gateway/evacuations.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <utility>

#include "common/plain_name.hpp"
#include "gateway/endpoint_signals.hpp"

namespace tarragonquay::gateway
{

namespace
{

std::size_t endpoints_in(const context& ctx, const std::string& zone)
{
    const auto all = ctx.pool.entries();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
        [&](const endpoints::directory_entry& each)
        { return each.availability_zone == zone; }));
}

} // namespace

std::string evacuations::zone_of(const remote_store::changed_row& row) const
{
    const auto& prefix = ctx_.dialect.evacuation_prefix;
    if (prefix.empty() || !row.key.starts_with(prefix))
        return {};
    auto zone = row.key.substr(prefix.size());
    if (is_plain_name(zone))
        return zone;
    // The name itself may be too long or no valid text.
    ctx_.log.warning("evacuation_ignored",
        {{"reason", "the zone has no plain name"}, {"bytes", zone.size()},
            {"version", row.version}});
    return {};
}

void evacuations::apply_table(
    const remote_store::table_changes& rows, time_point now)
{
    std::set<std::string> zones;
    for (const auto& each : rows.rows)
        if (auto zone = zone_of(each); each.value && !zone.empty())
            zones.insert(std::move(zone));
    auto next = dispatch::evacuated_zones::create(rows.at(), std::move(zones));
    if (next && next->version() >= current().version())
        adopt(std::move(*next), "store", now);
}

std::set<std::string> evacuations::written_zones() const
{
    auto zones = current().zones();
    std::erase_if(zones,
        [this](const std::string& zone) { return kept_.contains(zone); });
    return zones;
}

dispatch::evacuated_zones evacuations::written() const
{
    return dispatch::evacuated_zones::create(
        current().version(), written_zones())
        .value();
}

// A restored store may lack an evacuation that the operator has not ended and
// will write again.
dispatch::evacuated_zones evacuations::with_kept(
    const dispatch::evacuated_zones& written, time_point now)
{
    if (written.version().era > current().version().era)
        for (const auto& zone : current().zones())
            kept_.emplace(zone, now + std::chrono::milliseconds(
                                          ctx_.settings.bounds.evacuate_ms));
    std::erase_if(kept_, [&](const auto& each)
        { return written.contains(each.first) || now >= each.second; });
    auto zones = written.zones();
    for (const auto& [zone, until] : kept_)
        zones.insert(zone);
    return dispatch::evacuated_zones::create(
        written.version(), std::move(zones))
        .value();
}

void evacuations::tick(time_point now)
{
    const bool expired = std::any_of(kept_.begin(), kept_.end(),
        [now](const auto& each) { return now >= each.second; });
    if (expired)
        adopt(written(), "store", now);
}

// Changes up to the version of the set are part of it already: another gateway
// may have told it first.
void evacuations::apply_changes(
    const remote_store::table_changes& changes, time_point now)
{
    auto zones = written_zones();
    for (const auto& each : changes.rows)
    {
        if (store::store_version{changes.era, each.version} <=
            current().version())
            continue;
        const auto zone = zone_of(each);
        if (zone.empty())
            continue;
        // The operator has also decided about a zone that was kept.
        kept_.erase(zone);
        if (each.value)
            zones.insert(zone);
        else
            zones.erase(zone);
    }
    auto next =
        dispatch::evacuated_zones::create(changes.at(), std::move(zones));
    if (next && next->version() > current().version())
        adopt(std::move(*next), "store", now);
}

void evacuations::apply_told(dispatch::evacuated_zones told, time_point now)
{
    if (told.version() > current().version())
        adopt(std::move(told), "peer", now);
}

void evacuations::adopt(
    dispatch::evacuated_zones written, const char* source, time_point now)
{
    auto next = with_kept(written, now);
    const auto emptied = current().added_by(next);
    const auto taken_back = next.added_by(current());
    ctx_.pool.set_evacuated(std::move(next));
    if (emptied.empty() && taken_back.empty())
        return;
    for (const auto& zone : emptied)
        note_emptied(zone, source);
    for (const auto& zone : taken_back)
        note_taken_back(zone, source, now);
    // Requests that wait for an endpoint choose among others now.
    ctx_.residency_changed.raise();
    if (on_change_)
        on_change_();
}

void evacuations::note_emptied(const std::string& zone, const char* source)
{
    ctx_.log.info("zone_emptied", {{"zone", zone}, {"source", source},
                                      {"version", current().version().version},
                                      {"endpoints", endpoints_in(ctx_, zone)}});
    ctx_.metrics.add("tq_gateway_zone_evacuations_total",
        {{"change", "emptied"}, {"source", source}});
}

void evacuations::note_taken_back(
    const std::string& zone, const char* source, time_point now)
{
    ctx_.log.info(
        "zone_taken_back", {{"zone", zone}, {"source", source},
                               {"version", current().version().version},
                               {"endpoints", endpoints_in(ctx_, zone)}});
    ctx_.metrics.add("tq_gateway_zone_evacuations_total",
        {{"change", "taken_back"}, {"source", source}});
    // The endpoints may have become cold during the evacuation.
    for (const auto& endpoint : ctx_.pool.begin_cold_phase(zone, now))
        log_cold_phase(ctx_, endpoint, "zone_taken_back");
    if (on_taken_back_)
        on_taken_back_(zone, now);
}

} // namespace tarragonquay::gateway
