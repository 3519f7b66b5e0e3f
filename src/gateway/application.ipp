#pragma once

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway/call.hpp"
#include "gateway/caller_connection.hpp"

namespace tarragonquay::gateway
{

namespace application_detail
{

using std::chrono::milliseconds;

/// Pause of a relay's directory feed after changes. The entries of a large
/// directory change many times a second, and each answer costs a store call.
/// Changes must take effect on all instances within two seconds.
inline constexpr milliseconds relay_feed_pause{400};
/// The same for a process that has just started: the instances of a large fleet
/// start together and all follow the store until they have found their relays.
inline constexpr milliseconds startup_feed_pause{1'000};
/// Within this time a fleet of ninety instances has found its relays.
inline constexpr milliseconds startup_duration{5'000};
/// Interval of the control loops.
inline constexpr milliseconds tick_interval = peer_link::heartbeat_interval;
/// Fraction of the stop time during which new requests are still served, if
/// they are expected to end in time.
inline constexpr double serving_fraction = 0.3;
/// Fraction of the stop time after which the requests that still run are
/// interrupted. It leaves time to write refusals before the exit. The platform
/// expects endpoints that still work to be waited for until five sixths.
inline constexpr double running_fraction = 0.84;
/// Fraction of the stop time that is reserved for the exit of the process. On a
/// machine that is five times slower, 400 ms of 8 s were not enough.
inline constexpr double exit_fraction = 0.125;
/// Interval of the checks whether a stop is complete. The first check comes
/// after it, so that requests which have arrived are read and refused.
inline constexpr milliseconds stop_check_interval{50};
/// A freeze of at least this part of the time in which an evacuation must take
/// effect holds requests back until the news has been read. After a shorter
/// one, the rest of that time is enough to hear of an evacuation that began
/// immediately before: a view is at most 750 ms old.
inline constexpr double min_freeze_fraction = 0.5;
/// Interval of the checks whether the settings file has changed.
inline constexpr milliseconds settings_check_interval{1'000};
/// The lease holder renews at this interval, and stops acting as the holder
/// when `lease_validity` has passed since its last renewal.
inline constexpr milliseconds renewal_interval{1'000};
inline constexpr milliseconds lease_validity{4'000};
/// Short enough to repeat an unanswered renewal twice while the lease is valid.
inline constexpr milliseconds lease_call_timeout{1'000};
/// Added to the validity and to the configured gap between two holders.
inline constexpr milliseconds takeover_margin{500};

inline fleet::member make_self(const settings::gateway_settings& from)
{
    fleet::member out;
    out.id = from.instance;
    out.incarnation = unix_ms();
    out.availability_zone = from.availability_zone;
    out.peer_address = from.listen.peers;
    out.entry_address = from.listen.callers;
    out.processor_share = from.processor_share;
    return out;
}

} // namespace application_detail

template <remote_store::store_codec Codec>
application<Codec>::application(settings::gateway_settings settings,
    dialect wire_dialect, log::json_log log, settings_source source)
    : ctx_(io_, settings, std::move(wire_dialect), std::move(log),
          application_detail::make_self(settings)),
      store_(io_, ctx_.settings.store_address),
      documents_(ctx_),
      configuration_feed_(ctx_, store_, ctx_.dialect.operator_table),
      directory_feed_(ctx_, store_, ctx_.dialect.endpoints_table),
      peers_(ctx_, documents_),
      source_(std::move(source)),
      settings_modified_at_(source_.modification_time()),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      timer_(io_),
      stop_timer_(io_)
{
    apply_freeze_bound();
    // Also a freeze before the first tick is noticed.
    ctx_.roster.note_running(started_at_);
    ctx_.pool.note_running(started_at_);
}

template <remote_store::store_codec Codec>
void application<Codec>::apply_freeze_bound()
{
    const std::chrono::milliseconds bound(ctx_.settings.bounds.evacuate_ms);
    ctx_.pool.set_min_freeze(std::chrono::duration_cast<duration>(
        bound * application_detail::min_freeze_fraction));
}

template <remote_store::store_codec Codec>
result<std::unique_ptr<application<Codec>>> application<Codec>::create(
    settings::gateway_settings settings, dialect wire_dialect,
    settings_source source)
{
    auto log =
        log::json_log::create(settings.log_level, settings.instance.str());
    if (!log)
        return tl::unexpected<error>(log.error());
    std::unique_ptr<application> out(new application(std::move(settings),
        std::move(wire_dialect), std::move(*log), std::move(source)));
    if (auto listening = out->listen(); !listening)
        return tl::unexpected<error>(listening.error());
    out->start_lease();
    out->start_feeds();
    out->count_store_calls();
    out->wait_for_signal();
    out->schedule_tick();
    return out;
}

template <remote_store::store_codec Codec>
result<void> application<Codec>::listen()
{
    const auto& at = ctx_.settings.listen;
    const auto serve_get = [](auto answer)
    {
        return [answer](boost::asio::ip::tcp::socket socket)
        { serve_get_requests(std::move(socket), answer); };
    };
    const auto open =
        [&](std::unique_ptr<tcp_listener>& listener, const std::string& address,
            tcp_listener::connection_handler handler) -> result<void>
    {
        auto created = tcp_listener::create(io_, address, std::move(handler));
        if (!created)
            return tl::unexpected<error>(created.error());
        listener = std::move(*created);
        return {};
    };
    auto opened = open(callers_, at.callers,
        [this](boost::asio::ip::tcp::socket socket)
        { accept_caller(std::move(socket)); });
    if (opened)
        opened = open(entries_, at.entries,
            serve_get([this](const std::string& target)
                { return answer_entries(target); }));
    if (opened)
        opened = open(readiness_, at.readiness,
            serve_get([this](const std::string& target)
                { return answer_readiness(target); }));
    if (opened && !at.metrics.empty())
        opened = open(metrics_, at.metrics,
            serve_get([this](const std::string&) { return answer_metrics(); }));
    if (opened)
        opened = peers_.start(ctx_.roster.self().incarnation);
    return opened;
}

template <remote_store::store_codec Codec>
void application<Codec>::accept_caller(boost::asio::ip::tcp::socket socket)
{
    const bool full = ctx_.caller_connections >= ctx_.settings.max_connections;
    boost::asio::co_spawn(io_,
        full ? refuse_caller(ctx_, std::move(socket))
             : serve_caller(ctx_, std::move(socket)),
        [this](std::exception_ptr failure)
        {
            if (failure)
                log_exception(failure);
        });
}

template <remote_store::store_codec Codec>
void application<Codec>::log_exception(const std::exception_ptr& failure)
{
    ctx_.metrics.add("tq_gateway_exceptions_total", {});
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& exception)
    {
        ctx_.log.warning(
            "connection_exception", {{"reason", exception.what()}});
    }
}

template <remote_store::store_codec Codec>
void application<Codec>::start_feeds()
{
    configuration_feed_.on_table(
        [this](const remote_store::table_changes& rows, time_point now)
        { documents_.apply_operator_table(rows, now); });
    configuration_feed_.on_changes(
        [this](const remote_store::table_changes& rows, time_point now)
        { documents_.apply_operator_changes(rows, now); });
    directory_feed_.on_table(
        [this](const remote_store::table_changes& rows, time_point now)
        { documents_.apply_directory(rows, "store", now); });
    directory_feed_.on_changes(
        [this](const remote_store::table_changes& rows, time_point now)
        { documents_.apply_directory_changes(rows, now); });
    directory_feed_.on_answer(
        [this](time_point now) { documents_.note_store_answer(now); });
    directory_feed_.on_recovery(
        [this](time_point failing_since, time_point now)
        { documents_.note_store_recovery(failing_since, now); });
    const auto follows = [this]
    { return peers_.follows_store(std::chrono::steady_clock::now()); };
    configuration_feed_.only_while(follows);
    directory_feed_.only_while(follows);
    peers_.on_feed_ends(
        [this](const instance_id& peer, const peer_link::feed_ends& ends)
        {
            configuration_feed_.note_peer(peer, ends.configuration);
            directory_feed_.note_peer(peer, ends.directory);
        });
    peers_.on_feed_stalled([this] { directory_feed_.restart(); });
    store_.on_era([this](std::int64_t era) { note_era(era, "store"); });
    peers_.on_store_era([this](std::int64_t era) { note_era(era, "peer"); });
    boost::asio::co_spawn(
        io_, configuration_feed_.run(), boost::asio::detached);
    boost::asio::co_spawn(io_, directory_feed_.run(), boost::asio::detached);
}

template <remote_store::store_codec Codec>
void application<Codec>::count_store_calls()
{
    store_.on_call_ended(
        [this](const remote_store::call_record& ended)
        {
            const std::string kind = ended.is_feed ? "feed" : "call";
            ctx_.metrics.add("tq_gateway_store_calls_total",
                {{"kind", kind},
                    {"outcome", ended.failure
                                    ? std::string(to_string(*ended.failure))
                                    : "answered"}});
            // A feed call waits for changes, so its duration is not a latency.
            if (!ended.is_feed)
                ctx_.metrics.observe("tq_gateway_store_call_seconds", {},
                    std::chrono::duration<double>(ended.elapsed).count());
        });
}

template <remote_store::store_codec Codec>
void application<Codec>::start_lease()
{
    using namespace application_detail;
    placement::lease_settings lease_settings;
    lease_settings.key = "placement/lease";
    lease_settings.instance = ctx_.settings.instance.str();
    lease_settings.incarnation = std::to_string(ctx_.roster.self().incarnation);
    const milliseconds handover_gap(ctx_.settings.bounds.placement_lease_ms);
    lease_settings.timing.renewal_interval = renewal_interval;
    lease_settings.timing.read_interval = renewal_interval;
    lease_settings.timing.valid_for = lease_validity;
    lease_settings.timing.call_timeout = lease_call_timeout;
    lease_settings.timing.takeover_after =
        lease_validity + handover_gap + takeover_margin;
    lease_settings.timing.takeover_after_release =
        handover_gap + takeover_margin;
    lease_.emplace(std::move(lease_settings), store_, lease_clock_);
    placement_.emplace(
        ctx_, peers_, [this] { return lease_->holds(); },
        [this] { return lease_->fencing(); });
    lease_->on_confirmed(
        [this, handover_gap]
        {
            ctx_.log.info(
                "placement_lease_obtained", {{"fencing", lease_->fencing()}});
            const auto now = std::chrono::steady_clock::now();
            // The previous holder was an earlier process of this instance, or
            // another instance whose lease ended the handover gap ago.
            placement_->on_lease_acquired(
                now, std::max(started_at_, now - handover_gap));
        });
    lease_->on_unconfirmed(
        [this](const error& reason)
        {
            ctx_.log.warning(
                "placement_lease_unconfirmed", {{"reason", reason.message()}});
        });
    lease_->on_lost(
        [this]
        {
            ctx_.log.warning("placement_lease_lost", {});
            placement_->on_lease_lost();
        });
    peers_.on_holder_lease(
        [this](const instance_id& holder, const peer_link::own_lease& told)
        {
            const auto left =
                told.valid_until - std::chrono::steady_clock::now();
            lease_->note_holder({holder.str(), told.fencing, told.renewals,
                lease_clock_.now() + left, told.era});
        });
    peers_.on_model_demand(
        [this](const instance_id& peer,
            std::vector<std::pair<demanded_model, double>> rates)
        { placement_->put_peer_demand(peer, std::move(rates)); });
    peers_.on_adapter_request([this](const demanded_model& wanted)
        { placement_->request_adapter(wanted); });
    ctx_.request_adapter = [this](const service_id& service,
                               const model_id& model, const adapter_id& adapter)
    {
        peers_.request_adapter({service, model, adapter});
    };
}

template <remote_store::store_codec Codec>
void application<Codec>::run()
{
    ctx_.log.info("process_started",
        {{"availability_zone", ctx_.settings.availability_zone},
            {"incarnation", ctx_.roster.self().incarnation},
            {"store", ctx_.settings.store_address}});
    ctx_.log.flush();
    peers_.announce();
    io_.run();
    ctx_.log.info("process_ended", {{"running", ctx_.running_requests}});
    ctx_.log.flush();
}

template <remote_store::store_codec Codec>
void application<Codec>::schedule_tick()
{
    timer_.expires_after(application_detail::tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (failed)
                return;
            tick();
            schedule_tick();
        });
}

template <remote_store::store_codec Codec>
void application<Codec>::tick()
{
    const auto now = std::chrono::steady_clock::now();
    note_running(now);
    documents_.tick(now);
    update_feeds(now);
    tick_lease(now);
    peer_link::own_lease told;
    if (const auto own = lease_->notice())
        told = {own->fencing, own->renewals,
            now + (own->valid_until - lease_clock_.now()), own->era};
    peers_.tick(now, told);
    placement_->tick(now);
    check_settings(now);
    ctx_.log.flush();
}

// After a freeze, new calls tell what has changed meanwhile; the answers of
// older ones may have been lost.
template <remote_store::store_codec Codec>
void application<Codec>::note_running(time_point now)
{
    ctx_.roster.note_running(now);
    if (!ctx_.pool.note_running(now))
        return;
    ctx_.log.warning("process_resumed", {});
    configuration_feed_.restart();
    directory_feed_.restart();
}

template <remote_store::store_codec Codec>
void application<Codec>::update_feeds(time_point now)
{
    const bool follows = peers_.follows_store(now);
    peers_.set_directory_unavailable(directory_feed_.failing());
    peers_.set_feeds_working(
        follows && ctx_.endpoints_known && directory_feed_.working() &&
            configuration_feed_.working() && documents_.answered_lately(now),
        now);
    peer_link::feed_ends ends;
    if (follows)
    {
        configuration_feed_.tick(now);
        directory_feed_.tick(now);
        ends = {
            configuration_feed_.call_ends_at(), directory_feed_.call_ends_at()};
    }
    peers_.set_feed_ends(ends);
    directory_feed_.set_pause(feed_pause(now));
    if (!follows)
        directory_feed_.advance_to(documents_.directory_version());
}

template <remote_store::store_codec Codec>
std::chrono::milliseconds application<Codec>::feed_pause(time_point now) const
{
    using namespace application_detail;
    if (now - started_at_ < startup_duration)
        return startup_feed_pause;
    return peers_.relayed() ? relay_feed_pause : milliseconds(0);
}

template <remote_store::store_codec Codec>
void application<Codec>::check_settings(time_point now)
{
    if (now < next_settings_check_)
        return;
    next_settings_check_ = now + application_detail::settings_check_interval;
    if (source_.modification_time() != settings_modified_at_)
        reload();
}

template <remote_store::store_codec Codec>
void application<Codec>::tick_lease(time_point now)
{
    // Each read of the lease row is a store call, so a gateway tries to acquire
    // the lease only while no holder is alive; in a large fleet only relays do.
    const bool vacant = !peers_.holder_alive(now) && peers_.may_acquire_lease();
    lease_->note_fencing(peers_.highest_fencing());
    if (!ctx_.stopping)
        lease_->tick(vacant);
}

template <remote_store::store_codec Codec>
void application<Codec>::note_era(std::int64_t era, const char* source)
{
    // The lease distinguishes a first answer from a later rise.
    lease_->note_era(era);
    if (era <= ctx_.store_era)
        return;
    const auto& directory = documents_.directory_version();
    ctx_.log.warning("store_era_changed",
        {{"source", source}, {"previous", ctx_.store_era}, {"era", era},
            {"directory_era", directory.era},
            {"directory_version", directory.version},
            {"configuration_version",
                documents_.configuration_version().version}});
    ctx_.store_era = era;
    store_.note_era(era);
    peers_.note_era(era);
    configuration_feed_.note_era(era);
    directory_feed_.note_era(era);
}

template <remote_store::store_codec Codec>
void application<Codec>::wait_for_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& failed, int signal)
        {
            if (failed)
                return;
            if (signal == SIGHUP)
                reload();
            else
                begin_stop();
            wait_for_signal();
        });
}

template <remote_store::store_codec Codec>
void application<Codec>::reload()
{
    settings_modified_at_ = source_.modification_time();
    auto updated = source_.read();
    if (!updated)
    {
        ctx_.log.warning(
            "settings_rejected", {{"reason", updated.error().message()}});
        return;
    }
    // Addresses and identity change only with a restart.
    ctx_.settings.bounds = updated->bounds;
    apply_freeze_bound();
    documents_.apply_bounds();
    ctx_.settings.seeds = updated->seeds;
    ctx_.settings.feed_wait_ms = updated->feed_wait_ms;
    ctx_.settings.max_connections = updated->max_connections;
    ctx_.log.info("settings_reloaded", {});
}

template <remote_store::store_codec Codec>
void application<Codec>::begin_stop()
{
    using namespace application_detail;
    if (std::exchange(ctx_.stopping, true))
        return;
    const auto now = std::chrono::steady_clock::now();
    const milliseconds stop_time(ctx_.settings.bounds.stop_ms);
    ctx_.stop_deadline = now + std::chrono::duration_cast<milliseconds>(
                                   stop_time * (1 - exit_fraction));
    ctx_.interrupts_at = now + std::chrono::duration_cast<milliseconds>(
                                   stop_time * running_fraction);
    ctx_.log.info(
        "process_stopping", {{"running", ctx_.running_requests},
                                {"connections", ctx_.caller_connections}});
    lease_->release();
    placement_->on_lease_lost();
    peers_.announce();
    stop_timer_.expires_at(now + std::chrono::duration_cast<milliseconds>(
                                     stop_time * serving_fraction));
    stop_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                refuse_new_requests();
        });
}

template <remote_store::store_codec Codec>
void application<Codec>::refuse_new_requests()
{
    ctx_.refuses_new_requests = true;
    ctx_.wake_idle_callers();
    wait_for_stop_complete();
}

template <remote_store::store_codec Codec>
void application<Codec>::check_stop_complete()
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= ctx_.interrupts_at && !ctx_.interrupted)
    {
        // Their refusals are written before the next check, also when this one
        // comes late.
        interrupt_requests();
        wait_for_stop_complete();
        return;
    }
    const bool late = now >= ctx_.stop_deadline;
    if (ctx_.running_requests == 0 || late)
    {
        for (const auto* each : ctx_.running_calls)
            log_unanswered(
                ctx_, each->request.id, "stopping", progress_fields(*each));
        peers_.stop();
        io_.stop();
        return;
    }
    wait_for_stop_complete();
}

template <remote_store::store_codec Codec>
void application<Codec>::interrupt_requests()
{
    ctx_.log.info(
        "requests_interrupted", {{"running", ctx_.running_calls.size()}});
    ctx_.interrupt_requests();
}

template <remote_store::store_codec Codec>
void application<Codec>::wait_for_stop_complete()
{
    stop_timer_.expires_after(application_detail::stop_check_interval);
    stop_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                check_stop_complete();
        });
}

template <remote_store::store_codec Codec>
text_answer application<Codec>::answer_readiness(const std::string& target)
{
    if (target != ctx_.dialect.readiness_path)
        return {404, "", ""};
    return {ctx_.ready() ? 200 : 503, "", ""};
}

template <remote_store::store_codec Codec>
std::vector<std::string> application<Codec>::entries_for(
    const std::string& zone)
{
    /// With a single address, a caller has no alternative when it fails.
    constexpr std::size_t min_entries = 2;
    constexpr std::size_t max_entries = 64;
    // The members that were lost since the last tick are left out, too.
    auto members = ctx_.roster.others_heard(
        std::chrono::steady_clock::now(), peers_.member_lifetime());
    auto self = ctx_.roster.self();
    self.ready = ctx_.ready();
    members.push_back(self);
    std::vector<std::string> same_zone;
    std::vector<std::string> all;
    for (const auto& each : members)
    {
        if (!each.ready)
            continue;
        all.push_back(each.entry_address);
        if (each.availability_zone == zone)
            same_zone.push_back(each.entry_address);
    }
    auto& out = same_zone.size() >= min_entries ? same_zone : all;
    std::shuffle(out.begin(), out.end(), ctx_.random);
    if (out.size() > max_entries)
        out.resize(max_entries);
    return out;
}

template <remote_store::store_codec Codec>
text_answer application<Codec>::answer_entries(const std::string& target)
{
    if (!target.starts_with(ctx_.dialect.entries_path))
        return {404, "", ""};
    const auto addresses = entries_for(ctx_.dialect.caller_zone(target));
    if (addresses.empty())
        return {503, "", ""};
    return {200, "application/json",
        ctx_.dialect.encode_entries(
            addresses, ctx_.settings.bounds.entries_keep_ms)};
}

template <remote_store::store_codec Codec>
text_answer application<Codec>::answer_metrics()
{
    ctx_.metrics.set("tq_gateway_running_requests", {},
        static_cast<double>(ctx_.running_requests));
    ctx_.metrics.set("tq_gateway_caller_connections", {},
        static_cast<double>(ctx_.caller_connections));
    ctx_.metrics.set(
        "tq_gateway_instances", {}, static_cast<double>(ctx_.roster.size()));
    ctx_.metrics.set("tq_gateway_endpoints", {},
        static_cast<double>(ctx_.pool.entries().size()));
    ctx_.metrics.set("tq_gateway_evacuated_zones", {},
        static_cast<double>(ctx_.pool.evacuated().zones().size()));
    ctx_.metrics.set("tq_gateway_models_only_evacuated", {},
        static_cast<double>(ctx_.pool.models_only_evacuated()));
    ctx_.metrics.set("tq_gateway_cold_endpoints", {},
        static_cast<double>(
            ctx_.pool.cold_endpoints(std::chrono::steady_clock::now())));
    ctx_.metrics.set("tq_gateway_placement_lease", {}, lease_->holds() ? 1 : 0);
    ctx_.metrics.set(
        "tq_gateway_store_era", {}, static_cast<double>(ctx_.store_era));
    ctx_.metrics.set("tq_gateway_log_lines_dropped", {},
        static_cast<double>(ctx_.log.dropped_lines()));
    return {200, "text/plain; version=0.0.4", ctx_.metrics.prometheus_text()};
}

} // namespace tarragonquay::gateway
