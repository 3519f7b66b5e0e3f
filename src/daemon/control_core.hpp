#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "catalog/replica.hpp"
#include "common/clock.hpp"
#include "common/log.hpp"
#include "daemon/control_store.hpp"
#include "daemon/demand_exchange.hpp"
#include "daemon/engine_commands.hpp"
#include "daemon/periodic_task.hpp"
#include "daemon/timeline.hpp"
#include "endpoints/state_poller.hpp"
#include "events/recorder.hpp"
#include "ingress/control_port.hpp"
#include "limits/limiter.hpp"
#include "membership/membership.hpp"
#include "membership/view_lease.hpp"
#include "metrics/registry.hpp"
#include "operator.pb.h"
#include "peering/transport.hpp"
#include "placement/controller.hpp"
#include "routing/scheduler.hpp"
#include "settings/settings.hpp"
#include "store/client.hpp"

namespace tarragonquay::daemon
{

/// State that other parts of the process share with the control thread.
struct process_state
{
    const settings::daemon_settings& settings;
    store::client& store;
    catalog::published_state& published;
    events::recorder& events;
    metrics::registry& metrics;
};

/// Owns the control state of the process and connects its components. All
/// functions run on the control thread.
class control_core
{
public:
    /// Binds the peer address. `entry_address` is the bound caller address.
    static result<std::unique_ptr<control_core>> create(
        boost::asio::io_context& control, process_state process,
        const std::string& entry_address);
    control_core(const control_core&) = delete;
    control_core& operator=(const control_core&) = delete;

    void start();

    const std::string& peer_address() const
    {
        return transport_->listen_address();
    }
    const catalog::member& local() const { return local_; }

    /// Handles a message that the transport received from another instance.
    /// Fails with `malformed_message` or `payload_too_large` when the message
    /// is dropped.
    result<void> on_message(const peer::Envelope& envelope);

    void admit(const workspace_id& workspace, std::int64_t tokens,
        time_point deadline,
        std::function<void(result<limits::reservation>)> on_done);
    void settle(const limits::reservation& reserved, std::int64_t used);
    void acquire(routing::request_spec spec,
        std::function<void(result<routing::assignment>)> on_done);
    void release(std::uint64_t assignment, routing::outcome outcome,
        std::int64_t output_tokens);
    /// Instances that can admit requests.
    std::vector<ingress::entry_address> entries() const;
    /// Describes what the instance waits for before it can serve; empty when
    /// ready.
    std::string waiting_for() const;

    /// Commits an operator's change, waits up to 3 s for it to be in force and
    /// reports the instances that have not confirmed it.
    void apply(const operators::Apply_request& request,
        std::function<void(operators::Apply_reply)> on_done);
    operators::Status_reply status();
    const catalog::snapshot& configuration() const
    {
        return replica_->current();
    }
    /// The latest events of all members.
    void collect_events(std::size_t limit, timeline::handler on_done);
    /// Events of this instance after a cursor, or the latest ones when the
    /// cursor is empty.
    result<timeline::own_page> own_events(
        const std::string& after, std::size_t limit) const
    {
        return timeline_->own(after, limit);
    }

    /// Removes this instance from the responses to GET /v1/entries. The
    /// handler is called once no instance lists it any more.
    void begin_stopping(std::function<void()> on_unlisted);
    /// Transfers the shares to other instances, then leaves the membership.
    /// The handler is called when both are done or at the deadline.
    void leave(time_point deadline, std::function<void()> on_left);

private:
    using replica_type = catalog::replica<store::client, steady_clock_source>;
    using scheduler_type = routing::scheduler<steady_clock_source>;
    using placement_type = placement::controller<control_store,
        steady_clock_source, engine_commands>;

    control_core(boost::asio::io_context& control, process_state process);

    result<void> open(const std::string& entry_address);
    void create_replica();
    result<void> create_membership();
    membership::collaborators collaborators();

    // Messages between instances.
    void send(const instance_id& to, peer::Envelope message);
    void stamp(peer::Envelope& message);
    void receive(const peer::Envelope& envelope);
    void on_share_transfer(const peer::Envelope& envelope);
    peer::Catch_up_reply read_changes(std::int64_t after) const;
    void apply_catch_up(const peer::Catch_up_reply& reply);

    // Configuration.
    void on_applied(const config::Change& change);
    void on_configuration();
    void update_limits();
    void send_limiter_messages();
    void on_store_contact(time_point sent_at, std::int64_t head);
    void on_store_failure(const error& reason);
    void commit_membership(config::Change change,
        const membership::membership_view& base,
        membership::collaborators::commit_handler on_done);
    void push_from(std::int64_t revision);
    void report_in_force(std::int64_t revision,
        std::function<void(operators::Apply_reply)> on_done);

    // Periodic work.
    void tick();
    void report_demand();
    void tick_placement();
    void poll_instance_list();
    void on_instance_list(const store::instance_list& list);
    /// Time for which this instance is guaranteed to admit requests; zero
    /// while it is stopping or holds no shares.
    duration admits_for() const;
    void publish_lease();
    void publish_metrics();
    void on_endpoint_state(const endpoint_id& endpoint,
        const result<routing::endpoint_report>& report);
    void on_endpoint_health(const routing::health_change& change);
    void update_unusable();
    void end_leave_when_done();

    boost::asio::io_context& control_;
    process_state process_;
    steady_clock_source clock_;
    control_store store_;
    catalog::member local_;

    std::unique_ptr<replica_type> replica_;
    std::unique_ptr<peering::transport> transport_;
    std::unique_ptr<membership::membership> membership_;
    std::unique_ptr<membership::view_lease<steady_clock_source>> lease_;
    std::unique_ptr<limits::limiter> limiter_;
    scheduler_type scheduler_;
    engine_commands commands_;
    std::unique_ptr<placement_type> placement_;
    endpoints::state_poller poller_;
    demand_exchange demand_;
    std::unique_ptr<timeline> timeline_;

    bool lease_was_valid_ = false;
    bool placement_was_active_ = false;
    bool store_reachable_ = false;
    bool stopping_ = false;
    std::function<void()> on_unlisted_;
    bool list_call_pending_ = false;
    // Endpoints that the scheduler suspects to have failed, and those that
    // leave according to the platform's list or to their own report.
    std::set<endpoint_id> suspected_;
    std::set<endpoint_id> listed_leaving_;
    std::set<endpoint_id> reported_leaving_;
    std::map<endpoint_id, routing::endpoint_report> reports_;
    std::map<workspace_id, std::int64_t> admitted_tokens_;
    std::map<workspace_id, std::int64_t> refused_requests_;
    struct pending_leave
    {
        time_point deadline;
        std::function<void()> on_left;
        bool asked_membership = false;
    };
    std::unique_ptr<pending_leave> leaving_;
    std::vector<std::unique_ptr<periodic_task>> tasks_;
    log::logger logger_ = log::make_logger("control");
};

} // namespace tarragonquay::daemon
