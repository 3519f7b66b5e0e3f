#include <utility>

#include "daemon/control_core.hpp"

#include <boost/asio/post.hpp>

// Endpoint state, the platform's instance list and the metrics of the process.
namespace tarragonquay::daemon
{

namespace
{

constexpr std::chrono::seconds list_call_timeout{2};

} // namespace

void control_core::on_endpoint_state(
    const endpoint_id& endpoint, const result<routing::endpoint_report>& report)
{
    if (!report)
        return scheduler_.report_failure(endpoint);
    reports_[endpoint] = *report;
    const bool was_leaving = reported_leaving_.contains(endpoint);
    if (report->leaving && !was_leaving)
    {
        reported_leaving_.insert(endpoint);
        process_.events.record(
            events::kind::endpoint_leaving, endpoint.str(), "endpoint");
    }
    else if (!report->leaving && was_leaving)
        reported_leaving_.erase(endpoint);
    scheduler_.report(*report);
    update_unusable();
    const auto* known = replica_->current().find_endpoint(endpoint);
    if (known != nullptr && known->kind == catalog::endpoint_kind::engine)
        placement_->report(*report);
}

void control_core::on_endpoint_health(const routing::health_change& change)
{
    process_.events.record(change.suspected ? events::kind::endpoint_suspected
                                            : events::kind::endpoint_recovered,
        change.endpoint.str());
    if (change.suspected)
        suspected_.insert(change.endpoint);
    else
        suspected_.erase(change.endpoint);
    update_unusable();
}

void control_core::update_unusable()
{
    auto unusable = suspected_;
    unusable.insert(listed_leaving_.begin(), listed_leaving_.end());
    unusable.insert(reported_leaving_.begin(), reported_leaving_.end());
    placement_->set_unusable(std::move(unusable));
}

void control_core::poll_instance_list()
{
    if (std::exchange(list_call_pending_, true))
        return;
    process_.store.list_instances(clock_.now() + list_call_timeout,
        [this, &control = control_](result<store::instance_list> listed)
        {
            // A client thread may run this handler after the core was
            // destroyed, so `this` is used only on the control thread.
            boost::asio::post(control,
                [this, listed = std::move(listed)]
                {
                    list_call_pending_ = false;
                    if (listed)
                        on_instance_list(*listed);
                });
        });
}

void control_core::on_instance_list(const store::instance_list& list)
{
    const auto& configuration = replica_->current();
    std::vector<instance_id> present;
    std::set<endpoint_id> leaving;
    for (const auto& item : list.instances)
    {
        present.emplace_back(item.id);
        const endpoint_id endpoint(item.id);
        if (item.leaving && configuration.find_endpoint(endpoint) != nullptr)
            leaving.insert(endpoint);
    }
    const std::chrono::milliseconds age(
        std::max<std::int64_t>(unix_ms() - list.as_of_unix_ms, 0));
    membership_->update_platform_list(present, clock_.now() - age);
    for (const auto& endpoint : leaving)
    {
        if (!listed_leaving_.contains(endpoint))
            process_.events.record(
                events::kind::endpoint_leaving, endpoint.str(), "list");
    }
    listed_leaving_ = leaving;
    scheduler_.mark_leaving(leaving);
    update_unusable();
}

void control_core::publish_metrics()
{
    auto& metrics = process_.metrics;
    const auto now = clock_.now();
    const auto& configuration = replica_->current();
    metrics.set("tq_applied_revision", {},
        static_cast<double>(configuration.revision()));
    metrics.set("tq_view_lease_valid", {}, lease_->valid(now) ? 1 : 0);
    metrics.set("tq_store_reachable", {}, store_reachable_ ? 1 : 0);
    metrics.set(
        "tq_members", {}, static_cast<double>(configuration.members().size()));
    metrics.set("tq_placement_holder", {}, placement_->active() ? 1 : 0);
    metrics.set(
        "tq_waiting_requests", {}, static_cast<double>(scheduler_.waiting()));
    for (const auto& [id, limit] : configuration.workspaces())
    {
        const metrics::labels where{{"workspace", id.str()}};
        const auto bucket = limiter_->state(id, now);
        metrics.set(
            "tq_workspace_shares", where, static_cast<double>(bucket.shares));
        metrics.set("tq_workspace_level_tokens", where,
            static_cast<double>(bucket.level_millitokens) / 1000);
    }
    const auto& counters = transport_->counters();
    metrics.set(
        "tq_peer_messages_sent", {}, static_cast<double>(counters.sent));
    metrics.set("tq_peer_messages_received", {},
        static_cast<double>(counters.received));
    metrics.set("tq_peer_messages_malformed", {},
        static_cast<double>(counters.malformed));
    metrics.set(
        "tq_peer_messages_dropped", {}, static_cast<double>(counters.dropped));
    metrics.set("tq_peer_connections_reopened", {},
        static_cast<double>(counters.reopened));
}

} // namespace tarragonquay::daemon
