#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "gateway/endpoint_signals.hpp"
#include "gateway/peer_link.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// Minimum interval between requests for documents; an answer takes a few
/// milliseconds.
constexpr milliseconds documents_request_interval{200};
/// A member that was silent for longer is lost in any case.
constexpr milliseconds max_silence{60'000};
/// Minimum interval between log lines on ignored entries of evidence.
constexpr std::chrono::minutes evidence_warning_interval{1};

/// Whether the sender knows this process of the member.
bool lists_process(
    const peer::Gateway_heartbeat& beat, const fleet::member& subject)
{
    const auto is_record = [&](const peer::Fleet_member& each)
    {
        return each.instance() == subject.id.str() &&
               each.incarnation() == subject.incarnation;
    };
    const auto is_progress = [key = fleet::progress_key(subject)](
                                 const peer::Member_progress& each)
    { return each.key() == key; };
    return std::any_of(beat.others().begin(), beat.others().end(), is_record) ||
           std::any_of(
               beat.progress().begin(), beat.progress().end(), is_progress);
}

} // namespace

void peer_link::receive(const peer::Envelope& message)
{
    const instance_id from(message.from_instance());
    switch (message.body_case())
    {
    case peer::Envelope::kGatewayHeartbeat:
        return receive_heartbeat(from, message.gateway_heartbeat());
    case peer::Envelope::kDocumentsRequest:
        return receive_documents_request(from, message);
    case peer::Envelope::kDocumentsReply:
        return receive_documents(message);
    case peer::Envelope::kDirectoryChanges:
        return receive_directory_changes(message.directory_changes());
    case peer::Envelope::kResidencyUpdate:
        return receive_residency(from, message);
    case peer::Envelope::kEvidenceUpdate:
        return receive_evidence(from, message.evidence_update());
    case peer::Envelope::kAdapterRequest:
        if (on_adapter_request_)
            on_adapter_request_(
                {service_id(message.adapter_request().service()),
                    model_id(message.adapter_request().model()),
                    adapter_id(message.adapter_request().adapter())});
        return;
    default:
        ctx_.log.warning("peer_message_unknown",
            {{"peer", from.str()},
                {"kind", static_cast<int>(message.body_case())}});
    }
}

void peer_link::receive_heartbeat(
    const instance_id& from, const peer::Gateway_heartbeat& beat)
{
    const auto now = std::chrono::steady_clock::now();
    const auto self = read(beat.self());
    if (self.id != from)
        return;
    if (on_store_era_ && beat.store_era() > ctx_.store_era)
        on_store_era_(beat.store_era());
    const bool unknown = ctx_.roster.record_direct(self, now);
    if (unknown)
        ctx_.log.info(
            "peer_known", {{"peer", from.str()}, {"address", self.peer_address},
                              {"incarnation", self.incarnation}});
    receive_members(beat, now);
    if (beat.has_evacuated_zones())
        receive_evacuations(from, beat.evacuated_zones());
    if (beat.placement_fencing() > 0)
    {
        holder_.note(from, beat.placement_fencing(), now);
        // 0 from a gateway that does not tell it.
        if (on_holder_lease_ && beat.lease_renewals() > 0)
            on_holder_lease_(
                from, {beat.placement_fencing(), beat.lease_renewals(),
                          now + milliseconds(beat.lease_valid_ms()),
                          beat.store_era()});
    }
    else
        holder_.note_without_lease(from, now);
    if (!beat.placement_holder().empty())
        holder_.note(instance_id(beat.placement_holder()),
            beat.holder_fencing(),
            now - milliseconds(beat.holder_heard_ms_ago()));
    for (const auto& each : beat.leaving_endpoints())
        note_leaving(ctx_,
            {endpoint_id(each.endpoint()), each.started_unix_ms()},
            dispatch::leaving_source::peer);
    for (const auto& each : beat.endpoint_limits())
    {
        const auto [process, told] = read(each);
        note_told_limit(ctx_, process, told);
    }
    for (const auto& each : beat.cold_endpoints())
    {
        const auto [process, told] = read(each, now);
        note_told_cold_phase(ctx_, process, told);
    }
    // One that does not know this process has sent the message before its
    // start.
    if (!ctx_.leaving_known && lists_process(beat, ctx_.roster.self()))
    {
        if (self.ready)
            end_first_wait();
        else
            shorten_first_wait(now);
    }
    handle_report(from, beat, now);
    receive_feed_ends(from, beat, now);
    if (beat.has_directory_answered_ms_ago())
        documents_.note_peer_answer(
            now - milliseconds(beat.directory_answered_ms_ago()));
    update_document_state(from, beat, now);
    // A socket that was connected to an earlier process of the sender may wait
    // before it connects again.
    if (unknown && transport_)
        transport_->remove_peer(from);
    // A sender that uses no relay does not know the other members yet; one that
    // has just started needs to know which endpoints are leaving.
    const bool without_relay = beat.scope() == peer::REPORT_SCOPE_OWN;
    if (unknown || (router_.relayed() && without_relay))
        send_introduction(from, now);
    if (const auto update = evidence_.message(now); unknown && update)
    {
        peer::Envelope message;
        *message.mutable_evidence_update() = *update;
        send(from, message);
    }
}

void peer_link::receive_members(
    const peer::Gateway_heartbeat& beat, time_point now)
{
    std::map<std::uint64_t, time_point> silent_since;
    for (const auto& each : beat.silent_members())
        silent_since[each.key()] =
            now - milliseconds(std::clamp<std::int64_t>(
                      each.heard_ms_ago(), 0, max_silence.count()));
    const auto heard_at = [&](std::uint64_t key)
    {
        const auto found = silent_since.find(key);
        return found == silent_since.end() ? now : found->second;
    };
    for (const auto& each : beat.others())
    {
        const auto told = read(each);
        ctx_.roster.record_gossip(told, heard_at(fleet::progress_key(told)));
    }
    for (const auto& each : beat.progress())
        ctx_.roster.record_progress(
            {each.key(), each.heartbeat(), each.ready()}, heard_at(each.key()));
}

void peer_link::receive_evacuations(
    const instance_id& from, const peer::Evacuated_zones& told)
{
    auto zones = read(told);
    if (!zones)
    {
        ctx_.log.warning("evacuation_ignored",
            {{"peer", from.str()}, {"reason", zones.error().message()}});
        return;
    }
    documents_.evacuations().apply_told(
        std::move(*zones), std::chrono::steady_clock::now());
}

void peer_link::handle_report(const instance_id& from,
    const peer::Gateway_heartbeat& beat, time_point now)
{
    auto report = read_report(beat);
    const bool has_demand = beat.scope() != peer::REPORT_SCOPE_FLEET &&
                            beat.scope() != peer::REPORT_SCOPE_INTRODUCTION;
    if (on_model_demand_ && has_demand)
        on_model_demand_(from, report.models);
    switch (beat.scope())
    {
    case peer::REPORT_SCOPE_MEMBER:
        return router_.reports().put_member(from, std::move(report), now);
    case peer::REPORT_SCOPE_GROUP:
        return router_.reports().put_group(from, std::move(report), now);
    case peer::REPORT_SCOPE_FLEET:
        // A previous relay may not know yet that it has been replaced.
        if (from != router_.relay())
            return;
        router_.note_relay_heard(now);
        return use_report(from, report, now);
    case peer::REPORT_SCOPE_OWN:
        if (!router_.relayed())
            use_report(from, report, now);
        return;
    default:
        return;
    }
}

void peer_link::use_report(
    const instance_id& from, const fleet_report& report, time_point now)
{
    if (router_.relayed() && report_source_ != from)
    {
        ctx_.limiter.erase_peer(report_source_);
        ctx_.pool.erase_peer(report_source_);
        report_source_ = from;
    }
    ctx_.limiter.put_peer_demands(
        from, report.incarnation, report.demands, now, report.instances);
    ctx_.pool.put_peer_loads(from, report.loads, now);
}

void peer_link::receive_feed_ends(const instance_id& from,
    const peer::Gateway_heartbeat& beat, time_point now)
{
    if (!on_feed_ends_)
        return;
    feed_ends told;
    if (beat.has_configuration_feed_ends_in_ms())
        told.configuration =
            now + milliseconds(beat.configuration_feed_ends_in_ms());
    if (beat.has_directory_feed_ends_in_ms())
        told.directory = now + milliseconds(beat.directory_feed_ends_in_ms());
    on_feed_ends_(from, told);
}

void peer_link::update_document_state(const instance_id& from,
    const peer::Gateway_heartbeat& beat, time_point now)
{
    const bool reports_here = beat.scope() == peer::REPORT_SCOPE_GROUP ||
                              beat.scope() == peer::REPORT_SCOPE_MEMBER;
    if (tells_current_documents(from, beat, now) ||
        (reports_here && beat.store_reached()))
        feed_fallback_.note_heard(beat.endpoints_era(), now);
    const auto own_version = documents_.directory_version();
    if (beat.store_reached())
        directory_lag_.note(
            {beat.endpoints_era(), beat.endpoints_version()}, own_version, now);
    const bool stalled =
        directory_lag_.stalled(own_version, now, feed_lag_timeout);
    if (stalled && on_feed_stalled_ && follows_store(now))
    {
        directory_lag_.clear();
        ctx_.log.warning(
            "feed_silent", {{"peer", from.str()}, {"era", own_version.era},
                               {"version", own_version.version},
                               {"era_of_peer", beat.endpoints_era()},
                               {"version_of_peer", beat.endpoints_version()}});
        on_feed_stalled_();
    }
    request_documents(from, beat, now, stalled);
}

// A call of the relay that is still open does not show that the store answers
// the relay. An instance that follows the store in its place goes on until the
// relay has got an answer of its own.
bool peer_link::tells_current_documents(const instance_id& from,
    const peer::Gateway_heartbeat& beat, time_point now) const
{
    if (from != router_.relay() || !beat.documents_current())
        return false;
    if (!replaces_relay_since_)
        return true;
    return beat.store_reached() && beat.has_directory_answered_ms_ago() &&
           now - milliseconds(beat.directory_answered_ms_ago()) >
               *replaces_relay_since_;
}

void peer_link::request_documents(const instance_id& from,
    const peer::Gateway_heartbeat& beat, time_point now, bool stalled)
{
    // A newer configuration is requested from any sender, since this instance's
    // feed may be stalled. The directory changes often, so only instances that
    // do not receive its changes request it.
    const bool configuration =
        configuration_version{beat.configuration_version(),
            beat.configuration_era()} > documents_.configuration_version();
    const store::store_version told{
        beat.endpoints_era(), beat.endpoints_version()};
    const auto& own = documents_.directory_version();
    const bool from_relay =
        from == router_.relay() && from != ctx_.roster.self().id;
    const bool newer = told > own;
    const bool differs =
        from_relay && beat.endpoints_digest() != 0 && told == own &&
        beat.endpoints_digest() != documents_.directory_digest();
    // A directory of an older era may lack endpoints for as long as the own
    // feed does not answer.
    const bool directory =
        differs || (newer && (from_relay || directory_unavailable_ || stalled ||
                                 !ctx_.endpoints_known || told.era > own.era));
    if ((!configuration && !directory) || now < next_documents_request_)
        return;
    next_documents_request_ = now + documents_request_interval;
    peer::Envelope message;
    auto& request = *message.mutable_documents_request();
    const auto active = documents_.configuration_version();
    request.set_configuration_version(active.version);
    request.set_configuration_era(active.era);
    if (ctx_.routes)
        request.set_configuration_digest(documents_.configuration_digest());
    // With the sender's own version, the reply leaves the directory out.
    request.set_endpoints_version(directory ? 0 : told.version);
    request.set_endpoints_era(directory ? 0 : told.era);
    send(from, message);
}

void peer_link::receive_documents_request(
    const instance_id& from, const peer::Envelope& message)
{
    const auto& request = message.documents_request();
    peer::Envelope answer;
    auto& reply = *answer.mutable_documents_reply();
    const auto active = documents_.configuration_version();
    const configuration_version asked{
        request.configuration_version(), request.configuration_era()};
    if (active > asked)
    {
        reply.set_configuration_version(active.version);
        reply.set_configuration_era(active.era);
        // Only the era is new after each restoration of the store, and the
        // document of a large fleet is long.
        if (active.version != asked.version ||
            documents_.configuration_digest() != request.configuration_digest())
            reply.set_configuration(documents_.configuration());
    }
    const auto& directory = documents_.directory_version();
    if (directory > store::store_version{
                        request.endpoints_era(), request.endpoints_version()})
    {
        reply.set_endpoints_version(directory.version);
        reply.set_endpoints_era(directory.era);
        for (const auto& [key, value] : documents_.directory())
        {
            auto& entry = *reply.add_endpoints();
            entry.set_key(key);
            entry.set_value(value);
        }
    }
    if (const auto zones = documents_.evacuations().written();
        zones.version() != store::store_version())
        write(zones, *reply.mutable_evacuated_zones());
    send(from, answer);
}

void peer_link::receive_documents(const peer::Envelope& message)
{
    const auto& reply = message.documents_reply();
    if (reply.has_evacuated_zones())
        receive_evacuations(
            instance_id(message.from_instance()), reply.evacuated_zones());
    const configuration_version told{
        reply.configuration_version(), reply.configuration_era()};
    const auto active = documents_.configuration_version();
    if (told > active && !reply.configuration().empty())
        documents_.apply_configuration(reply.configuration(), "peer", told.era);
    else if (told > active && told.version == active.version)
        documents_.confirm_configuration(told.era);
    if (reply.endpoints().empty())
        return;
    remote_store::table_changes rows;
    rows.version = reply.endpoints_version();
    rows.era = reply.endpoints_era();
    for (const auto& each : reply.endpoints())
        rows.rows.push_back({each.key(), each.value(), rows.version});
    documents_.apply_directory(rows, "peer", std::chrono::steady_clock::now());
}

void peer_link::receive_directory_changes(const peer::Directory_changes& update)
{
    // After a gap or in another era, the full directory is requested at the
    // next heartbeat.
    const store::store_version after{update.era(), update.after_version()};
    if (!ctx_.endpoints_known || after > documents_.directory_version())
        return;
    remote_store::table_changes changes;
    changes.version = update.version();
    changes.era = update.era();
    for (const auto& each : update.rows())
        changes.rows.push_back({each.key(),
            each.erased() ? std::nullopt : std::optional(each.value()),
            update.version()});
    documents_.apply_directory_changes(
        changes, std::chrono::steady_clock::now());
}

void peer_link::receive_residency(
    const instance_id& from, const peer::Envelope& message)
{
    for (const auto& each : message.residency_update().engines())
    {
        auto residency = read(each);
        ctx_.pool.put_residency(residency.endpoint, residency.started_unix_ms,
            residency.accepted_commands, std::move(residency.models));
    }
    ctx_.residency_changed.raise();
    if (!router_.acts_as_relay() || from != holder_.id())
        return;
    for (const auto& each : router_.reports().members())
        if (each != from && each != ctx_.roster.self().id)
            send(each, message);
}

void peer_link::receive_evidence(
    const instance_id& from, const peer::Evidence_update& update)
{
    const auto now = std::chrono::steady_clock::now();
    const auto revision = ctx_.evidence.revision();
    const auto ignored = evidence_.receive(update, now);
    if (ctx_.evidence.revision() != revision)
        ctx_.evidence_changed.raise();
    if (ignored > 0 && now >= next_evidence_warning_)
    {
        next_evidence_warning_ = now + evidence_warning_interval;
        ctx_.log.warning(
            "evidence_ignored", {{"peer", from.str()}, {"entries", ignored}});
    }
    schedule_evidence();
}

} // namespace tarragonquay::gateway
