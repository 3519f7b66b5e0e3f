#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/context.hpp"
#include "gateway/documents.hpp"
#include "gateway/evidence_exchange.hpp"
#include "gateway/feed_fallback.hpp"
#include "gateway/feed_lag.hpp"
#include "gateway/known_holder.hpp"
#include "gateway/peer_messages.hpp"
#include "gateway/report_router.hpp"
#include "peering/transport.hpp"

namespace tarragonquay::gateway
{

/// Exchanges messages between gateways: heartbeats with loads and demands,
/// documents for gateways that lack them, the models that engines hold, and the
/// evidence of prompt parts that crash engines. In a large fleet they go
/// through relays, see report_router.
class peer_link
{
public:
    static constexpr std::chrono::milliseconds heartbeat_interval{250};
    /// Number of members that receive each heartbeat in a fleet without relays.
    static constexpr std::size_t fan_out = 8;
    /// Number of full member records that a relay adds to each heartbeat, in
    /// round-robin order.
    static constexpr std::size_t records_per_heartbeat = 12;
    /// Number of endpoints' limits, and of their cold phases, that a heartbeat
    /// tells, in round-robin order. Even with 700 limited endpoints each is
    /// told within a second and a half.
    static constexpr std::size_t limits_per_heartbeat = 128;
    /// If others have had a newer directory version for this long, the feed of
    /// this instance is considered stalled.
    static constexpr std::chrono::milliseconds feed_lag_timeout{1'000};

    /// A gateway that starts waits this long to hear from another one which
    /// endpoints are leaving. A seed answers within a round trip; others that
    /// have not noticed the restart send their next heartbeat within this time.
    static constexpr std::chrono::milliseconds first_news_timeout{
        heartbeat_interval};
    /// The same once one that is not ready has answered, or all seeds have
    /// refused a connection. A ready one answers as soon, so probably all have
    /// just started.
    static constexpr std::chrono::milliseconds unready_answer_timeout{100};

    /// Receives the model demand that another gateway reports; an empty list
    /// means that the gateway was lost.
    using demand_handler = std::function<void(
        const instance_id&, std::vector<std::pair<demanded_model, double>>)>;

    peer_link(context& ctx, documents& docs);

    result<void> start(std::int64_t incarnation);
    void stop() { transport_.reset(); }

    void on_model_demand(demand_handler handler)
    {
        on_model_demand_ = std::move(handler);
    }
    void on_adapter_request(std::function<void(const demanded_model&)> handler)
    {
        on_adapter_request_ = std::move(handler);
    }

    /// The placement lease of this gateway, as told to others.
    struct own_lease
    {
        /// 0 if this gateway does not hold the lease.
        std::int64_t fencing = 0;
        std::int64_t renewals = 0;
        /// By the steady clock.
        time_point valid_until{};
        /// Era of the store in which the lease was confirmed.
        std::int64_t era = 0;
    };

    /// Sends heartbeats.
    void tick(time_point now, const own_lease& lease);
    /// Sets the handler that receives what the holder of the placement lease
    /// tells about it.
    void on_holder_lease(
        std::function<void(const instance_id&, const own_lease&)> handler)
    {
        on_holder_lease_ = std::move(handler);
    }
    /// Records the latest known era of the store.
    void note_era(std::int64_t era);
    /// Sets the handler that receives the latest era that another instance
    /// knows, before anything else of its heartbeat is used.
    void on_store_era(std::function<void(std::int64_t)> handler)
    {
        on_store_era_ = std::move(handler);
    }
    /// Highest fencing number of a placement lease that was heard of.
    std::int64_t highest_fencing() const { return holder_.fencing(); }
    /// Sends heartbeats at once because this gateway starts or stops.
    void announce();
    void send_residency(const std::vector<engine_residency>& engines);
    /// Whether the holder of the placement lease is known and alive.
    bool holder_alive(time_point now) const
    {
        return holder_.alive(now, member_lifetime());
    }
    /// Whether this instance reads the store. In a small fleet all instances
    /// do; in a large one only the relays and instances that know of no working
    /// feed.
    bool follows_store(time_point now) const;
    /// Whether this instance may acquire the placement lease.
    bool may_acquire_lease() const
    {
        return !router_.relayed() || router_.acts_as_relay();
    }
    bool relayed() const { return router_.relayed(); }
    /// Sets the handler that is called when this instance's directory feed
    /// seems stalled.
    void on_feed_stalled(std::function<void()> handler)
    {
        on_feed_stalled_ = std::move(handler);
    }
    /// When the current feed calls of an instance end; no value for a feed
    /// without a call.
    struct feed_ends
    {
        std::optional<time_point> configuration;
        std::optional<time_point> directory;
    };

    /// Tells the others when the feed calls of this instance end.
    void set_feed_ends(const feed_ends& ends) { feed_ends_ = ends; }
    /// Sets the handler that receives what other instances tell.
    void on_feed_ends(
        std::function<void(const instance_id&, const feed_ends&)> handler)
    {
        on_feed_ends_ = std::move(handler);
    }
    /// Whether the change feeds of this instance work.
    void set_feeds_working(bool working, time_point now);
    /// Requests an adapter from the holder of the placement lease.
    void request_adapter(const demanded_model& requested);
    /// While the directory feed fails, the directory is requested from other
    /// gateways.
    void set_directory_unavailable(bool unavailable)
    {
        directory_unavailable_ = unavailable;
    }

    /// Time without a heartbeat after which a member counts as lost.
    duration member_lifetime() const
    {
        return router_.relayed() ? fleet::roster::relayed_heartbeat_timeout
                                 : fleet::roster::heartbeat_timeout;
    }

private:
    // Sending.
    void send(const instance_id& to, peer::Envelope message);
    void send_to_seeds(const peer::Envelope& message);
    void expire_silent_members(time_point now);
    void update_route(time_point now);
    void update_limits(time_point now);
    void forget_reports();
    fleet_report own_report(time_point now);
    /// A heartbeat without reports.
    peer::Gateway_heartbeat make_heartbeat(
        peer::Report_scope scope, time_point now);
    void add_members(
        peer::Gateway_heartbeat& to, std::size_t records, time_point now);
    void add_silent_members(peer::Gateway_heartbeat& to, time_point now) const;
    void send_direct_heartbeats(time_point now);
    void send_relayed_heartbeats(time_point now);
    void send_group_reports(time_point now);
    void send_fleet_reports(time_point now);
    void send_introduction(const instance_id& to, time_point now);
    void probe_lost_member(time_point now);
    void push_evacuations();
    void push_changes(const store::store_version& after,
        const remote_store::table_changes& changes);
    void send_residency_update(const std::vector<engine_residency>& engines);
    void flush_residency();
    void schedule_evidence();
    void send_due_evidence();

    /// Waits until then for others to tell which endpoints are leaving.
    void await_first_news(time_point until);
    void shorten_first_wait(time_point now);
    void end_first_wait();
    /// Shortens the wait if no seed accepts connections.
    boost::asio::awaitable<void> probe_seeds();

    // Receiving.
    void receive(const peer::Envelope& message);
    void receive_heartbeat(
        const instance_id& from, const peer::Gateway_heartbeat& beat);
    void handle_report(const instance_id& from,
        const peer::Gateway_heartbeat& beat, time_point now);
    void use_report(
        const instance_id& from, const fleet_report& report, time_point now);
    void receive_feed_ends(const instance_id& from,
        const peer::Gateway_heartbeat& beat, time_point now);
    void update_document_state(const instance_id& from,
        const peer::Gateway_heartbeat& beat, time_point now);
    /// `stalled` is whether the own copy of the directory falls behind.
    /// Whether the own relay tells that the documents are current, and does not
    /// know so from this instance alone.
    bool tells_current_documents(const instance_id& from,
        const peer::Gateway_heartbeat& beat, time_point now) const;
    void request_documents(const instance_id& from,
        const peer::Gateway_heartbeat& beat, time_point now, bool stalled);
    void receive_documents_request(
        const instance_id& from, const peer::Envelope& message);
    void receive_documents(const peer::Envelope& message);
    void receive_evacuations(
        const instance_id& from, const peer::Evacuated_zones& told);
    void receive_members(const peer::Gateway_heartbeat& beat, time_point now);
    void receive_directory_changes(const peer::Directory_changes& update);
    void receive_residency(
        const instance_id& from, const peer::Envelope& message);
    void receive_evidence(
        const instance_id& from, const peer::Evidence_update& update);

    context& ctx_;
    documents& documents_;
    report_router router_;
    std::unique_ptr<peering::transport> transport_;
    demand_handler on_model_demand_;
    std::function<void(const demanded_model&)> on_adapter_request_;
    std::function<void()> on_feed_stalled_;
    std::function<void(std::int64_t)> on_store_era_;
    std::function<void(const instance_id&, const own_lease&)> on_holder_lease_;
    own_lease lease_;
    known_holder holder_;
    bool directory_unavailable_ = false;
    bool feeds_working_ = false;
    /// Since when the feeds of this instance work in place of those of its
    /// relay; no value while they do not.
    std::optional<time_point> replaces_relay_since_;
    feed_ends feed_ends_;
    std::function<void(const instance_id&, const feed_ends&)> on_feed_ends_;
    /// Working change feeds of which the own relay, another one or a member of
    /// the own group has told.
    feed_fallback feed_fallback_;
    /// Versions of the directory that others have read and this instance lacks.
    feed_lag directory_lag_;
    time_point next_documents_request_{};
    /// Instance whose report covers all others, in a large fleet.
    instance_id report_source_;
    /// The member whose full record was sent last.
    instance_id last_record_;
    /// The limits that the current heartbeats tell.
    std::vector<limited_process> told_limits_;
    /// The cold phases that the current heartbeats tell.
    std::vector<cold_process> told_cold_phases_;
    /// When the full member list was last sent to an instance.
    std::map<instance_id, time_point> introduced_at_;
    /// Time of the next probe of a lost member.
    time_point next_probe_at_{};
    /// Recently requested adapters and when they were requested.
    std::map<demanded_model, time_point> requested_adapters_;
    /// Engines whose state is sent in the next residency update.
    std::map<endpoint_id, engine_residency> residency_queue_;
    boost::asio::steady_timer residency_timer_;
    /// Ends the wait of a gateway that has just started for others to tell
    /// which endpoints are leaving.
    boost::asio::steady_timer first_news_timer_;
    evidence_exchange evidence_;
    boost::asio::steady_timer evidence_timer_;
    /// Earliest time of the next log line on ignored entries of evidence.
    time_point next_evidence_warning_{};
};

} // namespace tarragonquay::gateway
