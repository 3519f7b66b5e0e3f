#include "gateway/peer_link.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "endpoints/http_connection.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// Minimum interval between requests for the same adapter, so that one serves
/// all calls that wait for it; an adapter is available after about 20 ms.
constexpr milliseconds adapter_request_interval{60};
/// Minimum interval between full member lists to the same instance.
constexpr milliseconds introduction_interval{1'000};
/// Interval between probes of lost members.
constexpr milliseconds lost_member_probe_interval{1'000};
/// In a large fleet, residency updates are batched over this interval, since
/// adapters are loaded and unloaded several times a second and each message
/// goes to all instances.
constexpr milliseconds residency_interval{50};

std::int64_t ms_until(time_point at, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(at - now).count();
}

} // namespace

peer_link::peer_link(context& ctx, documents& docs)
    : ctx_(ctx),
      documents_(docs),
      feed_fallback_(ctx.roster.self().id),
      residency_timer_(ctx.io),
      first_news_timer_(ctx.io),
      evidence_(ctx.evidence),
      evidence_timer_(ctx.io)
{
    ctx_.send_evidence = [this]
    {
        evidence_.note_change(std::chrono::steady_clock::now());
        schedule_evidence();
    };
    documents_.on_directory_changes(
        [this](std::int64_t after, const remote_store::table_changes& changes)
        { push_changes(after, changes); });
}

result<void> peer_link::start(std::int64_t incarnation)
{
    auto made = peering::transport::create(ctx_.io, ctx_.settings.listen.peers,
        ctx_.settings.instance, std::to_string(incarnation),
        [this](const peer::Envelope& message) { receive(message); });
    if (!made)
        return tl::unexpected<error>(made.error());
    transport_ = std::move(*made);
    await_first_news(std::chrono::steady_clock::now() + first_news_timeout);
    boost::asio::co_spawn(ctx_.io, probe_seeds(), boost::asio::detached);
    return {};
}

void peer_link::await_first_news(time_point until)
{
    first_news_timer_.expires_at(until);
    first_news_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                ctx_.leaving_known = true;
        });
}

void peer_link::shorten_first_wait(time_point now)
{
    if (now + unready_answer_timeout < first_news_timer_.expiry())
        await_first_news(now + unready_answer_timeout);
}

void peer_link::end_first_wait()
{
    ctx_.leaving_known = true;
    first_news_timer_.cancel();
}

boost::asio::awaitable<void> peer_link::probe_seeds()
{
    const auto until = first_news_timer_.expiry();
    // The settings may be read anew meanwhile.
    const auto seeds = ctx_.settings.seeds;
    for (const auto& seed : seeds)
    {
        if (seed == ctx_.settings.listen.peers)
            continue;
        const bool refused =
            co_await endpoints::http_connection::is_refused(seed, until);
        if (!refused)
            co_return;
    }
    if (!ctx_.leaving_known)
        shorten_first_wait(std::chrono::steady_clock::now());
}

void peer_link::send(const instance_id& to, peer::Envelope message)
{
    const auto* peer = ctx_.roster.find(to);
    if (!transport_ || peer == nullptr)
        return;
    auto sent = transport_->set_peer(peer->id, peer->peer_address);
    if (sent)
        sent = transport_->send(peer->id, std::move(message));
    if (!sent)
        ctx_.log.info("peer_send_failed",
            {{"peer", to.str()}, {"reason", sent.error().message()}});
}

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
    out.set_configuration_version(documents_.configuration_version());
    out.set_endpoints_version(documents_.directory_version());
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

void peer_link::tick(time_point now, const own_lease& lease)
{
    lease_ = lease;
    if (lease.fencing > 0)
        holder_.note(ctx_.roster.self().id, lease.fencing, now);
    else
        holder_.note_without_lease(ctx_.roster.self().id, now);
    ctx_.roster.set_ready(ctx_.ready());
    ctx_.roster.advance_heartbeat();
    expire_silent_members(now);
    update_route(now);
    update_limits(now);
    if (router_.relayed())
        send_relayed_heartbeats(now);
    else
        send_direct_heartbeats(now);
    probe_lost_member(now);
    const auto revision = ctx_.evidence.revision();
    evidence_.tick(now);
    if (ctx_.evidence.revision() != revision)
        ctx_.evidence_changed.raise();
}

void peer_link::expire_silent_members(time_point now)
{
    for (const auto& expired : ctx_.roster.expire(now, member_lifetime()))
    {
        ctx_.log.warning("peer_lost",
            {{"peer", expired.id.str()}, {"address", expired.peer_address}});
        ctx_.limiter.mark_peer_lost(expired.id, now);
        ctx_.pool.erase_peer(expired.id);
        if (on_model_demand_)
            on_model_demand_(expired.id, {});
        if (transport_)
            transport_->remove_peer(expired.id);
    }
}

void peer_link::update_route(time_point now)
{
    const bool relayed = router_.relayed();
    const auto relay = router_.relay();
    router_.update(ctx_.roster, now);
    if (relayed != router_.relayed())
        forget_reports();
    if (relay != router_.relay())
        ctx_.log.info("relay_chosen",
            {{"relay", router_.relay().str()}, {"previous", relay.str()},
                {"instances", ctx_.roster.size()}});
}

// Chooses the limits that the next heartbeats tell, and shares the limits among
// the instances that serve callers.
void peer_link::update_limits(time_point now)
{
    std::vector<instance_id> serving;
    for (const auto& each : ctx_.roster.others())
        if (each.ready)
            serving.push_back(each.id);
    const auto& self = ctx_.roster.self();
    if (self.ready)
        serving.push_back(self.id);
    std::sort(serving.begin(), serving.end());
    ctx_.pool.set_serving_instances(self.id, std::move(serving), now);
    auto all = ctx_.pool.limits();
    if (all.size() > limits_per_heartbeat)
    {
        const auto last = told_limits_.empty() ? dispatch::endpoint_process()
                                               : told_limits_.back().first;
        const auto next = std::upper_bound(all.begin(), all.end(), last,
            [](const dispatch::endpoint_process& process,
                const limited_process& each) { return process < each.first; });
        std::rotate(all.begin(), next, all.end());
        all.resize(limits_per_heartbeat);
    }
    told_limits_ = std::move(all);
}

// Reports of single instances must not be combined with sums that include them.
void peer_link::forget_reports()
{
    for (const auto& each : ctx_.roster.others())
    {
        ctx_.limiter.erase_peer(each.id);
        ctx_.pool.erase_peer(each.id);
    }
    ctx_.limiter.erase_peer(ctx_.roster.self().id);
    ctx_.pool.erase_peer(ctx_.roster.self().id);
    report_source_ = instance_id();
}

void peer_link::send_direct_heartbeats(time_point now)
{
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_OWN, now);
    for (const auto& each : ctx_.roster.others())
        write(each, *beat.add_others());
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
void peer_link::add_members(peer::Gateway_heartbeat& to, std::size_t records)
{
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

void peer_link::send_group_reports(time_point now)
{
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_GROUP, now);
    add_members(beat, records_per_heartbeat);
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
    add_members(beat, records_per_heartbeat);
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
    add_members(beat, ctx_.roster.others().size());
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

void peer_link::probe_lost_member(time_point now)
{
    if (now < next_probe_at_ || !transport_)
        return;
    next_probe_at_ = now + lost_member_probe_interval;
    const auto lost = ctx_.roster.next_lost();
    if (!lost)
        return;
    peer::Envelope message;
    auto& beat = *message.mutable_gateway_heartbeat();
    beat = make_heartbeat(peer::REPORT_SCOPE_OWN, now);
    write(own_report(now), beat);
    // Sending fails if the queue is full, which means that the peer is still
    // unreachable.
    const auto sent =
        transport_->send_to_address(lost->peer_address, std::move(message));
    ctx_.log.info("lost_peer_called",
        {{"peer", lost->id.str()}, {"sent", sent.has_value()}});
}

void peer_link::announce()
{
    tick(std::chrono::steady_clock::now(), own_lease(lease_));
}

bool peer_link::follows_store(time_point now) const
{
    return !router_.relayed() || router_.acts_as_relay() ||
           feed_fallback_.follows(now);
}

void peer_link::set_feeds_working(bool working, time_point now)
{
    feeds_working_ = working;
    if (!working || router_.acts_as_relay())
        replaces_relay_since_.reset();
    else if (!replaces_relay_since_ && feed_fallback_.heard())
        replaces_relay_since_ = now;
}

void peer_link::push_changes(
    std::int64_t after, const remote_store::table_changes& changes)
{
    if (!router_.acts_as_relay() || changes.rows.empty())
        return;
    peer::Envelope message;
    auto& update = *message.mutable_directory_changes();
    update.set_after_version(after);
    update.set_version(changes.version);
    for (const auto& each : changes.rows)
    {
        auto& row = *update.add_rows();
        row.set_key(each.key);
        row.set_value(each.value.value_or(""));
        row.set_erased(!each.value);
    }
    for (const auto& each : router_.reports().members())
        if (each != ctx_.roster.self().id)
            send(each, message);
}

void peer_link::send_residency(const std::vector<engine_residency>& engines)
{
    if (!router_.relayed())
        return send_residency_update(engines);
    const bool waiting = !residency_queue_.empty();
    for (const auto& each : engines)
        residency_queue_[each.endpoint] = each;
    if (waiting)
        return;
    residency_timer_.expires_after(residency_interval);
    residency_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                flush_residency();
        });
}

void peer_link::flush_residency()
{
    std::vector<engine_residency> engines;
    for (auto& [id, each] : residency_queue_)
        engines.push_back(std::move(each));
    residency_queue_.clear();
    send_residency_update(engines);
}

void peer_link::send_residency_update(
    const std::vector<engine_residency>& engines)
{
    peer::Envelope message;
    auto& update = *message.mutable_residency_update();
    for (const auto& each : engines)
        write(each, *update.add_engines());
    std::set<instance_id> receivers;
    if (router_.relayed())
    {
        for (const auto& each : router_.other_relays())
            receivers.insert(each);
        for (const auto& each : router_.reports().members())
            receivers.insert(each);
    }
    else
        for (const auto& each : ctx_.roster.others())
            receivers.insert(each.id);
    receivers.erase(ctx_.roster.self().id);
    for (const auto& each : receivers)
        send(each, message);
}

void peer_link::schedule_evidence()
{
    // A due time that is unchanged must not restart the wait.
    if (evidence_timer_.expiry() == evidence_.send_at())
        return;
    evidence_timer_.expires_at(evidence_.send_at());
    if (evidence_.send_at() == time_point::max())
        return;
    evidence_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                send_due_evidence();
        });
}

void peer_link::send_due_evidence()
{
    const auto update = evidence_.take_due(std::chrono::steady_clock::now());
    if (update)
    {
        peer::Envelope message;
        *message.mutable_evidence_update() = *update;
        for (const auto& each :
            evidence_exchange::receivers(ctx_.roster, router_))
            send(each, message);
    }
    schedule_evidence();
}

void peer_link::request_adapter(const demanded_model& requested)
{
    // Many calls may wait for the same adapter.
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(requested_adapters_, [now](const auto& each)
        { return now - each.second >= adapter_request_interval; });
    if (!requested_adapters_.emplace(requested, now).second)
        return;
    if (lease_.fencing > 0)
    {
        if (on_adapter_request_)
            on_adapter_request_(requested);
        return;
    }
    peer::Envelope message;
    auto& request = *message.mutable_adapter_request();
    request.set_service(requested.service.str());
    request.set_model(requested.model.str());
    request.set_adapter(requested.adapter.str());
    send(holder_.id(), message);
}

} // namespace tarragonquay::gateway
