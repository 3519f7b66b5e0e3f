#include "gateway/peer_link.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "endpoints/http_connection.hpp"
#include "gateway/told_slice.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

using std::chrono::milliseconds;

namespace
{

/// Interval between probes of lost members.
constexpr milliseconds lost_member_probe_interval{1'000};

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
        [this](const store::store_version& after,
            const remote_store::table_changes& changes)
        { push_changes(after, changes); });
    documents_.evacuations().on_change([this] { push_evacuations(); });
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
    told_limits_ =
        next_to_tell(ctx_.pool.limits(), told_limits_, limits_per_heartbeat);
    told_cold_phases_ = next_to_tell(
        ctx_.pool.cold_phases(now), told_cold_phases_, limits_per_heartbeat);
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

void peer_link::note_era(std::int64_t era)
{
    feed_fallback_.note_era(era);
    holder_.note_era(era);
}

void peer_link::set_feeds_working(bool working, time_point now)
{
    feeds_working_ = working;
    if (!working || router_.acts_as_relay())
        replaces_relay_since_.reset();
    else if (!replaces_relay_since_ && feed_fallback_.heard())
        replaces_relay_since_ = now;
}

} // namespace tarragonquay::gateway
