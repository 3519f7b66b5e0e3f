#include <utility>

#include "daemon/control_core.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "config.pb.h"
#include "daemon/identity.hpp"

namespace tarragonquay::daemon
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{100};
constexpr std::chrono::milliseconds placement_interval{500};
constexpr std::chrono::seconds list_interval{2};
constexpr std::chrono::seconds metrics_interval{1};
// Below the target of 1 s for the first token, so that a request that waits
// for a share transfer can still meet it.
constexpr std::chrono::milliseconds admission_wait{500};
// A joining instance receives its shares within about 1 s, or after 6 s when
// another instance has to be fenced first.
constexpr std::chrono::seconds join_wait{8};

} // namespace

control_core::control_core(
    boost::asio::io_context& control, process_state process)
    : control_(control),
      process_(process),
      store_(process.store, control),
      scheduler_(clock_),
      commands_(control),
      poller_(control.get_executor(),
          [this](const endpoint_id& endpoint,
              const result<routing::endpoint_report>& report)
          { on_endpoint_state(endpoint, report); })
{
}

result<std::unique_ptr<control_core>> control_core::create(
    boost::asio::io_context& control, process_state process,
    const std::string& entry_address)
{
    std::unique_ptr<control_core> core(new control_core(control, process));
    if (auto opened = core->open(entry_address); !opened)
        return tl::unexpected<error>(opened.error());
    return core;
}

result<void> control_core::open(const std::string& entry_address)
{
    const auto& settings = process_.settings;
    local_ = make_member(settings, {entry_address, settings.listen.peer});
    auto transport = peering::transport::create(
        control_, settings.listen.peer, local_.instance, local_.incarnation,
        [this](const peer::Envelope& envelope) { receive(envelope); },
        local_.peer_address);
    if (!transport)
        return tl::unexpected<error>(transport.error());
    transport_ = std::move(*transport);

    lease_ = std::make_unique<membership::view_lease<steady_clock_source>>(
        clock_, local_.instance, local_.incarnation,
        std::chrono::milliseconds(settings.view_lease_ms));
    limiter_ =
        std::make_unique<limits::limiter>(local_.instance, local_.incarnation);
    timeline_ = std::make_unique<timeline>(control_, process_.events,
        local_.incarnation,
        [this](const instance_id& to, peer::Envelope message)
        { send(to, std::move(message)); });
    scheduler_.on_health_change([this](const routing::health_change& change)
        { on_endpoint_health(change); });
    create_replica();

    placement::controller_settings placing;
    placing.region = settings.region;
    placing.instance = local_.instance.str();
    placing.incarnation = local_.incarnation;
    placing.limits.loads_per_second = settings.placement.loads_per_second;
    placing.limits.concurrent_loads = settings.placement.loads_at_once;
    placing.limits.adapters_in_flight = settings.placement.adapters_in_flight;
    placement_ =
        std::make_unique<placement_type>(placing, store_, clock_, commands_);
    placement_->on_event([this](events::kind kind, const std::string& subject,
                             const std::string& detail)
        { process_.events.record(kind, subject, detail); });
    return create_membership();
}

void control_core::create_replica()
{
    catalog::object_store objects;
    objects.put = [this](std::string name, std::string content,
                      time_point deadline, store::handler<bool> on_done)
    {
        process_.store.put_object(
            std::move(name), std::move(content), deadline, std::move(on_done));
    };
    objects.fetch = [this](std::string name, time_point deadline,
                        store::handler<std::optional<std::string>> on_done) {
        process_.store.fetch_object(
            std::move(name), deadline, std::move(on_done));
    };
    catalog::replica_observer observer;
    observer.on_applied =
        [this](const catalog::snapshot&, const config::Change& change)
    { on_applied(change); };
    observer.on_snapshot_installed = [this](const catalog::snapshot&)
    { on_configuration(); };
    observer.on_store_contact = [this](time_point sent_at, std::int64_t head)
    { on_store_contact(sent_at, head); };
    observer.on_store_failure = [this](const error& reason)
    { on_store_failure(reason); };
    // The client's threads may post after the core was destroyed, so the
    // function captures only the io_context.
    replica_ = std::make_unique<replica_type>(
        process_.store, clock_, process_.published, std::move(objects),
        [&control = control_](std::function<void()> task)
        { boost::asio::post(control, std::move(task)); },
        std::move(observer));
}

result<void> control_core::create_membership()
{
    auto created = membership::membership::create(
        local_, process_.settings.peers, collaborators());
    if (!created)
        return tl::unexpected<error>(created.error());
    membership_ = std::move(*created);
    return {};
}

void control_core::start()
{
    const auto every = [this](duration interval, auto method)
    {
        tasks_.push_back(std::make_unique<periodic_task>(
            control_, interval, [this, method] { (this->*method)(); }));
    };
    every(tick_interval, &control_core::tick);
    every(list_interval, &control_core::poll_instance_list);
    every(metrics_interval, &control_core::publish_metrics);
    // The holder of the placement lease needs the demand at all instances,
    // also at those that may not hold the lease.
    every(placement_interval, &control_core::report_demand);
    if (process_.settings.placement.enabled)
        every(placement_interval, &control_core::tick_placement);
    tasks_.push_back(std::make_unique<periodic_task>(control_,
        std::chrono::milliseconds(process_.settings.head_poll_ms),
        [this] { replica_->poll_head(); }));
    poller_.start();
}

void control_core::tick()
{
    const auto now = clock_.now();
    membership_->tick();
    for (auto& outgoing : limiter_->tick(now))
        send(outgoing.to, std::move(outgoing.message));
    scheduler_.tick(now);
    publish_lease();
    process_.published.publish_waiting_for(waiting_for());
    if (on_unlisted_ && membership_->stop_acknowledged())
        std::exchange(on_unlisted_, nullptr)();
    end_leave_when_done();
}

void control_core::report_demand()
{
    const auto own = scheduler_.demand();
    if (own.empty())
        return;
    peer::Envelope message;
    *message.mutable_demand_report() =
        demand_exchange::encode(own, clock_.now());
    for (const auto& instance : membership_->serving())
    {
        if (instance != local_.instance)
            send(instance, message);
    }
}

void control_core::tick_placement()
{
    placement_->set_demand(demand_.total(scheduler_.demand(), clock_.now()));
    placement_->tick();
}

void control_core::publish_lease()
{
    const auto deadline = lease_->deadline();
    process_.published.publish_lease_deadline(
        std::chrono::duration_cast<std::chrono::nanoseconds>(
            deadline.time_since_epoch())
            .count());
    const bool valid = deadline > clock_.now();
    if (valid == lease_was_valid_)
        return;
    lease_was_valid_ = valid;
    process_.events.record(valid ? events::kind::view_lease_renewed
                                 : events::kind::view_lease_lost,
        local_.instance.str());
    TQ_LOG(logger_, info) << (valid ? "The view lease is valid."
                                    : "The view lease has lapsed.");
}

void control_core::admit(const workspace_id& workspace, std::int64_t tokens,
    time_point deadline,
    std::function<void(result<limits::reservation>)> on_done)
{
    const auto now = clock_.now();
    if (!lease_->valid(now))
        return on_done(fail(error_code::no_view_lease,
            "this instance can't confirm its configuration"));
    const limits::admission_deadlines deadlines{
        std::min(now + admission_wait, deadline),
        std::min(now + join_wait, deadline)};
    limiter_->admit_before(workspace, tokens, deadlines, now,
        [this, workspace, tokens, on_done = std::move(on_done)](
            result<limits::reservation> reserved)
        {
            if (reserved)
                admitted_tokens_[workspace] += tokens;
            else
                ++refused_requests_[workspace];
            on_done(std::move(reserved));
        });
    send_limiter_messages();
}

void control_core::send_limiter_messages()
{
    for (auto& outgoing : limiter_->take_messages(clock_.now()))
        send(outgoing.to, std::move(outgoing.message));
}

void control_core::settle(
    const limits::reservation& reserved, std::int64_t used)
{
    limiter_->settle(reserved, used, clock_.now());
}

void control_core::acquire(routing::request_spec spec,
    std::function<void(result<routing::assignment>)> on_done)
{
    scheduler_.enqueue(std::move(spec), std::move(on_done));
}

void control_core::release(std::uint64_t assignment, routing::outcome outcome,
    std::int64_t output_tokens)
{
    scheduler_.release(assignment, outcome, output_tokens);
}

std::vector<ingress::entry_address> control_core::entries() const
{
    std::vector<ingress::entry_address> usable;
    for (const auto& instance : membership_->admitting())
    {
        const auto* member = replica_->current().find_member(instance);
        if (member != nullptr)
            usable.push_back(
                {member->entry_address, member->availability_zone});
    }
    return usable;
}

duration control_core::admits_for() const
{
    if (stopping_ || !limiter_->has_shares())
        return duration::zero();
    return std::max(lease_->deadline() - clock_.now(), duration::zero());
}

std::string control_core::waiting_for() const
{
    if (stopping_)
        return "the end of running requests";
    if (!lease_->valid(clock_.now()))
        return replica_->revision() == 0
                   ? "the configuration from the store or a peer"
                   : "a reply from the store or from a majority of the members";
    if (!membership_->is_member())
        return "the membership";
    return {};
}

void control_core::begin_stopping(std::function<void()> on_unlisted)
{
    on_unlisted_ = std::move(on_unlisted);
    stopping_ = true;
    process_.published.publish_stopping();
    membership_->begin_stopping();
}

void control_core::leave(time_point deadline, std::function<void()> on_left)
{
    limiter_->hand_over();
    leaving_ = std::make_unique<pending_leave>(
        pending_leave{deadline, std::move(on_left)});
}

void control_core::end_leave_when_done()
{
    if (!leaving_)
        return;
    const bool late = clock_.now() >= leaving_->deadline;
    if (late)
        return std::exchange(leaving_, nullptr)->on_left();
    // Shares can be transferred only in an open epoch; the next epoch
    // redistributes them in any case.
    const bool handed_over =
        limiter_->handed_over() || !replica_->current().epoch_open();
    if (leaving_->asked_membership || !handed_over)
        return;
    leaving_->asked_membership = true;
    membership_->leave(
        [this]
        {
            if (leaving_)
                std::exchange(leaving_, nullptr)->on_left();
        });
}

void control_core::collect_events(std::size_t limit, timeline::handler on_done)
{
    std::vector<instance_id> peers;
    for (const auto& member : replica_->current().members())
    {
        if (member.instance != local_.instance)
            peers.push_back(member.instance);
    }
    timeline_->collect(peers, limit, std::move(on_done));
}

} // namespace tarragonquay::daemon
