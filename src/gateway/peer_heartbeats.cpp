// The heartbeats that a gateway sends: what they tell, and to whom.
#include <algorithm>
#include <chrono>
#include <utility>

#include "gateway/peer_link.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// Minimum interval between full member lists to the same instance.
constexpr milliseconds introduction_interval{1'000};

std::int64_t ms_until(time_point at, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(at - now).count();
}

} // namespace

fleet_report peer_link::own_report(time_point now)
{
    return {ctx_.roster.self().incarnation, 1, ctx_.limiter.own_demands(now),
        ctx_.pool.own_loads(), ctx_.demand.rates(now)};
}

peer::Gateway_heartbeat peer_link::make_heartbeat(
    peer::Report_scope scope, time_point now)
{
    peer::Gateway_heartbeat out;
    write(ctx_.roster.self(), *out.mutable_self());
    out.set_scope(scope);
    out.set_store_era(ctx_.store_era);
    const auto configuration = documents_.configuration_version();
    out.set_configuration_version(configuration.version);
    out.set_configuration_era(configuration.era);
    const auto& directory = documents_.directory_version();
    out.set_endpoints_version(directory.version);
    out.set_endpoints_era(directory.era);
    out.set_placement_fencing(lease_.fencing);
    if (lease_.fencing > 0)
    {
        out.set_lease_renewals(lease_.renewals);
        out.set_lease_valid_ms(std::max<std::int64_t>(0,
            std::chrono::duration_cast<milliseconds>(lease_.valid_until - now)
                .count()));
    }
    out.set_store_reached(feeds_working_);
    out.set_documents_current(documents_.answered_lately(now) &&
                              (feeds_working_ || feed_fallback_.current(now)));
    if (const auto answered_at = documents_.store_answered_at())
        out.set_directory_answered_ms_ago(
            std::max<std::int64_t>(0, -ms_until(*answered_at, now)));
    if (feed_ends_.configuration)
        out.set_configuration_feed_ends_in_ms(
            ms_until(*feed_ends_.configuration, now));
    if (feed_ends_.directory)
        out.set_directory_feed_ends_in_ms(ms_until(*feed_ends_.directory, now));
    for (const auto& each : ctx_.pool.leaving_processes())
    {
        auto& leaving = *out.add_leaving_endpoints();
        leaving.set_endpoint(each.id.str());
        leaving.set_started_unix_ms(each.started_unix_ms);
    }
    for (const auto& each : told_limits_)
        write(each, *out.add_endpoint_limits());
    if (const auto zones = documents_.evacuations().written();
        zones.version() != store::store_version())
        write(zones, *out.mutable_evacuated_zones());
    for (const auto& each : told_cold_phases_)
        write(each, now, *out.add_cold_endpoints());
    if (router_.relayed() && holder_.alive(now, member_lifetime()))
    {
        out.set_placement_holder(holder_.id().str());
        out.set_holder_fencing(holder_.fencing());
        out.set_holder_heard_ms_ago(
            std::chrono::duration_cast<milliseconds>(now - holder_.heard_at())
                .count());
    }
    return out;
}

void peer_link::send_direct_heartbeats(time_point now)
{
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_OWN, now);
    for (const auto& each : ctx_.roster.others())
        write(each, *beat.add_others());
    add_silent_members(beat, now);
    write(own_report(now), beat);
    for (const auto& each : ctx_.roster.random_members(fan_out, ctx_.random))
        send(each.id, message);
    send_to_seeds(message);
}

void peer_link::send_relayed_heartbeats(time_point now)
{
    const auto& self = ctx_.roster.self().id;
    auto& reports = router_.reports();
    if (router_.relay() == self)
    {
        reports.put_member(self, own_report(now), now);
        use_report(self, reports.sums_excluding(self), now);
    }
    else
    {
        peer::Envelope message;
        auto& beat = *message.mutable_gateway_heartbeat();
        beat = make_heartbeat(peer::REPORT_SCOPE_MEMBER, now);
        write(own_report(now), beat);
        send(router_.relay(), message);
    }
    if (!router_.acts_as_relay())
        return;
    send_group_reports(now);
    send_fleet_reports(now);
}

// Adds full records in round-robin order and the heartbeat progress of all
// members.
void peer_link::add_members(
    peer::Gateway_heartbeat& to, std::size_t records, time_point now)
{
    add_silent_members(to, now);
    for (const auto& each : ctx_.roster.progress())
    {
        auto& out = *to.add_progress();
        out.set_key(each.key);
        out.set_heartbeat(each.heartbeat);
        out.set_ready(each.ready);
    }
    const auto members = ctx_.roster.others();
    records = std::min(records, members.size());
    auto next = std::upper_bound(members.begin(), members.end(), last_record_,
        [](const instance_id& id, const fleet::member& each)
        { return id < each.id; });
    for (std::size_t i = 0; i < records; ++i, ++next)
    {
        if (next == members.end())
            next = members.begin();
        write(*next, *to.add_others());
        last_record_ = next->id;
    }
}

// Otherwise a receiver that does not know the last heartbeat of a lost member
// would take it for alive for a whole timeout again, and tell others so.
void peer_link::add_silent_members(
    peer::Gateway_heartbeat& to, time_point now) const
{
    for (const auto& each : ctx_.roster.silent_members(now))
    {
        auto& out = *to.add_silent_members();
        out.set_key(each.key);
        out.set_heard_ms_ago(ms_until(now, each.heard_at));
    }
}

void peer_link::send_group_reports(time_point now)
{
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_GROUP, now);
    add_members(beat, records_per_heartbeat, now);
    auto sums = router_.reports().group_sums();
    sums.incarnation = ctx_.roster.self().incarnation;
    // Only the holder of the placement lease needs the demand for models.
    const auto models = std::exchange(sums.models, {});
    write(sums, beat);
    auto receivers = router_.other_relays();
    for (const auto& each : receivers)
        if (each != holder_.id())
            send(each, message);
    if (holder_.id().empty() || holder_.id() == ctx_.roster.self().id)
        return;
    fleet_report demand;
    demand.models = models;
    demand.instances = sums.instances;
    write(demand, beat);
    send(holder_.id(), message);
}

void peer_link::send_fleet_reports(time_point now)
{
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_FLEET, now);
    beat.set_endpoints_digest(documents_.directory_digest());
    add_members(beat, records_per_heartbeat, now);
    for (const auto& each : router_.reports().members())
    {
        if (each == ctx_.roster.self().id)
            continue;
        beat.clear_demands();
        beat.clear_loads();
        write(router_.reports().sums_excluding(each), beat);
        send(each, message);
    }
}

// Sends the full member list to an instance that does not know it yet.
void peer_link::send_introduction(const instance_id& to, time_point now)
{
    auto& last = introduced_at_[to];
    if (now - last < introduction_interval)
        return;
    last = now;
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_INTRODUCTION, now);
    add_members(beat, ctx_.roster.others().size(), now);
    send(to, message);
}

void peer_link::send_to_seeds(const peer::Envelope& message)
{
    // Seeds may no longer exist; they are used only until another member is
    // known.
    if (!transport_ || ctx_.roster.size() > 1)
        return;
    for (const auto& address : ctx_.settings.seeds)
        if (address != ctx_.settings.listen.peers)
            if (auto sent = transport_->send_to_address(address, message);
                !sent)
                ctx_.log.info("peer_send_failed",
                    {{"peer", address}, {"reason", sent.error().message()}});
}

} // namespace tarragonquay::gateway
