#include "gateway/documents.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "common/digest.hpp"
#include "gateway/endpoint_signals.hpp"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// An entry expires after three heartbeat intervals without a renewal, the
/// first of which may have passed before the store was lost.
constexpr std::int64_t min_intervals_to_expiry = 2;

/// Longer than any cold phase; keeps a wrong start time from overflowing.
constexpr milliseconds max_process_age = std::chrono::hours(24 * 365);
/// Clocks of machines may differ by this much.
constexpr milliseconds max_clock_difference{2'000};

// The least time since the start of a process.
duration process_age(std::int64_t started_unix_ms, std::int64_t now_unix_ms)
{
    return milliseconds(std::clamp<std::int64_t>(
        now_unix_ms - started_unix_ms - max_clock_difference.count(), 0,
        max_process_age.count()));
}

// The cold phases of services, where the settings bound the requests to cold
// endpoints.
std::map<service_id, dispatch::warm_up> warm_ups_of(
    const routes::configuration& from, const settings::gateway_bounds& bounds)
{
    std::map<service_id, dispatch::warm_up> out;
    if (!bounds.cold_overshoot || !bounds.cold_slack)
        return out;
    const auto bound =
        dispatch::warm_up_bound(*bounds.cold_overshoot, *bounds.cold_slack);
    for (const auto& each : from.services)
        if (each.cold_s && each.cold_requests_per_second)
            out[each.id] = {{std::chrono::duration_cast<duration>(
                                 std::chrono::duration<double>(*each.cold_s)),
                                *each.cold_requests_per_second},
                bound};
    return out;
}

} // namespace

void documents::apply_configuration(
    const std::string& document, const char* source, std::int64_t era)
{
    if (ctx_.routes && document == configuration_)
        return confirm_configuration(era);
    auto decoded = ctx_.dialect.decode_configuration(document);
    auto table = decoded ? routes::route_table::create(std::move(*decoded))
                         : result<std::shared_ptr<const routes::route_table>>(
                               tl::unexpected<error>(decoded.error()));
    if (!table)
    {
        ctx_.log.warning("configuration_rejected",
            {{"source", source}, {"reason", table.error().message()},
                {"kept_version", configuration_version().version}});
        return;
    }
    const gateway::configuration_version offered{(*table)->version(), era};
    if (offered <= configuration_version())
        return;
    ctx_.log.info("configuration_applied",
        {{"source", source}, {"version", offered.version}, {"era", offered.era},
            {"previous", configuration_version().version},
            {"routes", (*table)->document().routes.size()}});
    ctx_.routes = std::move(*table);
    configuration_ = document;
    configuration_era_ = era;
    ctx_.limiter.apply(
        ctx_.routes->document().workspaces, std::chrono::steady_clock::now());
    apply_bounds();
    ctx_.wake_idle_callers();
}

// A configuration makes an instance that has just started ready, so the
// evacuated zones must be known by then.
void documents::apply_operator_table(
    const remote_store::table_changes& rows, time_point now)
{
    evacuations_.apply_table(rows, now);
    apply_operator_rows(rows);
}

void documents::apply_operator_changes(
    const remote_store::table_changes& changes, time_point now)
{
    evacuations_.apply_changes(changes, now);
    apply_operator_rows(changes);
}

void documents::apply_operator_rows(const remote_store::table_changes& rows)
{
    for (const auto& each : rows.rows)
        if (each.key == ctx_.dialect.configuration_key && each.value)
            apply_configuration(*each.value, "store", rows.era);
}

void documents::apply_bounds()
{
    if (ctx_.routes)
        ctx_.pool.set_warm_ups(
            warm_ups_of(ctx_.routes->document(), ctx_.settings.bounds),
            std::chrono::steady_clock::now());
}

void documents::apply_directory(
    const remote_store::table_changes& rows, const char* source, time_point now)
{
    if (ctx_.endpoints_known && rows.at() < directory_version_)
        return;
    if (ctx_.endpoints_known && rows.era > directory_version_.era)
        keep_lapsed_until_ =
            now + milliseconds(ctx_.settings.bounds.directory_recovery_ms);
    std::map<std::string, std::string> next;
    for (const auto& each : rows.rows)
        if (each.value)
            next.emplace(each.key, *each.value);
    const auto before = directory_;
    for (const auto& [key, value] : before)
        if (!next.contains(key))
            erase_entry(key, now);
    for (const auto& [key, value] : next)
        put_entry(key, value, now);
    directory_version_ = rows.at();
    if (!std::exchange(ctx_.endpoints_known, true))
        ctx_.log.info("directory_known",
            {{"source", source}, {"entries", directory_.size()},
                {"version", directory_version_.version}});
}

void documents::apply_directory_changes(
    const remote_store::table_changes& changes, time_point now)
{
    if (changes.era != directory_version_.era)
        return;
    const auto after = directory_version_;
    std::vector<remote_store::changed_row> applied_rows;
    for (auto it = changes.rows.begin(); it != changes.rows.end(); ++it)
    {
        const auto& each = *it;
        if (is_applied(each, std::next(it), changes.rows.end()))
            continue;
        bool applied = true;
        if (each.value)
            put_entry(each.key, *each.value, now);
        else
            applied = erase_entry(each.key, now);
        if (applied)
            applied_rows.push_back(each);
    }
    directory_version_ = std::max(directory_version_, changes.at());
    notify_observer(after, std::move(applied_rows));
}

// Changes may be received twice: from peers, and later from a feed that was
// interrupted. An older erasure is still applied unless the key is written
// again later, since a peer may have omitted it.
bool documents::is_applied(const remote_store::changed_row& change,
    row_iterator later, row_iterator end) const
{
    if (change.version > directory_version_.version)
        return false;
    return change.value || !directory_.contains(change.key) ||
           std::any_of(later, end,
               [&](const remote_store::changed_row& each)
               { return each.key == change.key && each.value; });
}

void documents::notify_observer(const store::store_version& after,
    std::vector<remote_store::changed_row> rows)
{
    if (on_directory_changes_)
        on_directory_changes_(
            after, {std::move(rows), directory_version_.version, false,
                       directory_version_.era});
}

std::uint64_t documents::configuration_digest() const
{
    return fast_hash(configuration_);
}

std::uint64_t documents::directory_digest() const
{
    std::uint64_t out = 0;
    for (const auto& [key, value] : directory_)
        out ^= fast_hash(value, fast_hash(key));
    return out;
}

void documents::note_store_answer(time_point now)
{
    store_answered_at_ = now;
    note_contact(now);
}

void documents::note_contact(time_point at)
{
    if (contact_at_ && at <= *contact_at_)
        return;
    const milliseconds shortest_outage(
        min_intervals_to_expiry * ctx_.settings.bounds.endpoint_heartbeat_ms);
    if (contact_at_ && at - *contact_at_ >= shortest_outage)
        outage_ended_at_ = at;
    contact_at_ = at;
}

void documents::note_store_recovery(time_point failing_since, time_point now)
{
    if (!outage_ended_at_ || *outage_ended_at_ < failing_since)
        return;
    ctx_.log.info("store_outage_ended",
        {{"ended_ms_ago",
            std::chrono::duration_cast<milliseconds>(now - *outage_ended_at_)
                .count()}});
    keep_lapsed_until_ =
        now + milliseconds(ctx_.settings.bounds.directory_recovery_ms);
}

void documents::tick(time_point now)
{
    evacuations_.tick(now);
    std::vector<remote_store::changed_row> erased;
    for (auto it = lapsed_.begin(); it != lapsed_.end();)
    {
        if (now < it->second)
        {
            ++it;
            continue;
        }
        erase_now(it->first);
        erased.push_back({it->first, std::nullopt, directory_version_.version});
        it = lapsed_.erase(it);
    }
    if (!erased.empty())
        notify_observer(directory_version_, std::move(erased));
}

void documents::put_entry(
    const std::string& key, const std::string& value, time_point now)
{
    lapsed_.erase(key);
    auto& stored = directory_[key];
    if (stored == value && ctx_.pool.find(endpoint_id(key)) != nullptr)
        return;
    stored = value;
    auto entry =
        ctx_.dialect.decode_directory_entry(endpoint_id(key), value, now);
    if (!entry)
    {
        ctx_.log.warning("directory_entry_rejected",
            {{"endpoint", key}, {"reason", entry.error().message()}});
        ctx_.pool.erase(endpoint_id(key));
        return;
    }
    const auto* existing = ctx_.pool.find(entry->id);
    if (existing == nullptr || existing->leaving != entry->leaving ||
        existing->started_unix_ms != entry->started_unix_ms)
        ctx_.log.info("endpoint_changed",
            {{"endpoint", key}, {"service", entry->service.str()},
                {"address", entry->address}, {"leaving", entry->leaving},
                {"started_unix_ms", entry->started_unix_ms}});
    if (entry->leaving)
        ctx_.connections.discard(entry->address);
    const auto id = entry->id;
    const bool was_cold = ctx_.pool.cold_until(id, now).has_value();
    const auto age = entry->started_unix_ms == 0
                         ? duration::zero()
                         : process_age(entry->started_unix_ms, unix_ms());
    ctx_.pool.put(std::move(*entry), now, age);
    if (!was_cold)
        log_cold_phase(ctx_, id, "directory");
    ctx_.residency_changed.raise();
}

bool documents::erase_entry(const std::string& key, time_point now)
{
    const auto* existing = ctx_.pool.find(endpoint_id(key));
    const bool was_leaving = existing != nullptr && existing->leaving;
    if (!was_leaving && now < keep_lapsed_until_)
    {
        lapsed_.emplace(key, keep_lapsed_until_);
        ctx_.log.info("endpoint_lapsed", {{"endpoint", key}});
        return false;
    }
    erase_now(key);
    return true;
}

void documents::erase_now(const std::string& key)
{
    directory_.erase(key);
    ctx_.pool.erase(endpoint_id(key));
    ctx_.log.info("endpoint_gone", {{"endpoint", key}});
}

} // namespace tarragonquay::gateway
