#include "daemon/control_core.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "operators/service.hpp"

// The applied configuration and the commits of changes.
namespace tarragonquay::daemon
{

namespace
{

constexpr std::chrono::seconds commit_timeout{5};
// tqctl retries a call that got no reply within 5 s. This timeout is shorter,
// so that the caller receives "not in force" instead of no reply.
constexpr std::chrono::seconds in_force_timeout{3};
constexpr std::chrono::seconds membership_commit_timeout{4};

template <class Map>
auto values(const Map& entries)
{
    std::vector<typename Map::mapped_type> all;
    all.reserve(entries.size());
    for (const auto& [key, value] : entries)
        all.push_back(value);
    return all;
}

membership::membership_view to_view(const catalog::snapshot& configuration)
{
    return {configuration.revision(), configuration.members(),
        configuration.previous_members(), configuration.membership_revision(),
        configuration.epoch(), configuration.epoch_open()};
}

} // namespace

void control_core::on_applied(const config::Change& change)
{
    auto& events = process_.events;
    events.record(events::kind::revision_applied,
        std::to_string(change.revision()), catalog::entity_of(change));
    if (change.has_membership())
        events.record(events::kind::membership_changed,
            std::to_string(change.membership().epoch()),
            fmt::format("{} members", change.membership().members_size()));
    if (change.has_epoch_open())
        events.record(events::kind::epoch_opened,
            std::to_string(change.epoch_open().epoch()));
    if (change.has_withdraw_key())
        events.record(events::kind::key_withdrawn, change.withdraw_key().id());
    on_configuration();
}

void control_core::on_configuration()
{
    const auto& configuration = replica_->current();
    lease_->update(configuration.members(), configuration.revision());
    update_limits();
    membership_->update(to_view(configuration));

    auto endpoints = values(configuration.endpoints());
    scheduler_.update(endpoints, process_.settings.availability_zone);
    const auto adapters = values(configuration.adapters());
    scheduler_.update_adapters(adapters);
    placement_->update(endpoints, values(configuration.models()), adapters);
    commands_.update(configuration);
    poller_.set_endpoints(std::move(endpoints));
    std::erase_if(reports_, [&](const auto& entry)
        { return configuration.find_endpoint(entry.first) == nullptr; });
    publish_lease();
}

void control_core::update_limits()
{
    const auto& configuration = replica_->current();
    limits::limits_view view;
    view.workspaces = values(configuration.workspaces());
    const bool any_new =
        std::any_of(view.workspaces.begin(), view.workspaces.end(),
            [&](const catalog::workspace& each)
            { return !limiter_->has_bucket(each.id); });
    // A workspace is removed only after its keys are withdrawn, and withdrawn
    // keys are kept, so a workspace that existed before has a withdrawn key.
    for (const auto& [id, key] : configuration.keys())
    {
        if (any_new && key.withdrawn)
            view.used_before.insert(key.workspace);
    }
    view.members = configuration.members();
    view.epoch = configuration.epoch();
    view.epoch_open = configuration.epoch_open();
    limiter_->apply(view, clock_.now());
}

void control_core::on_store_contact(time_point sent_at, std::int64_t head)
{
    if (!std::exchange(store_reachable_, true))
    {
        process_.events.record(events::kind::store_reachable, "platform");
        TQ_LOG(logger_, info) << "The store is reachable.";
    }
    lease_->renew_from_store(sent_at, head);
    publish_lease();
}

void control_core::on_store_failure(const error& reason)
{
    if (!std::exchange(store_reachable_, false))
        return;
    process_.events.record(
        events::kind::store_unreachable, "platform", reason.message());
    TQ_LOG(logger_, warning)
        << "The store is unreachable: " << reason.message() << ".";
}

void control_core::commit_membership(config::Change change,
    const membership::membership_view& base,
    membership::collaborators::commit_handler on_done)
{
    // Each attempt needs a new operation id: a repeated id would return the
    // revision of the earlier commit.
    const auto operation = change.operation_id();
    replica_->commit(std::move(change), operation, base.membership_revision,
        clock_.now() + membership_commit_timeout,
        [this, on_done = std::move(on_done)](
            const result<std::int64_t>& committed)
        {
            if (committed)
                push_from(*committed);
            on_done(committed);
        });
}

void control_core::push_from(std::int64_t revision)
{
    if (const auto changes = replica_->changes_after(revision - 1))
        membership_->push(*changes);
}

void control_core::apply(const operators::Apply_request& request,
    std::function<void(operators::Apply_reply)> on_done)
{
    const auto refuse = [&on_done](const error& reason, std::int64_t current)
    {
        operators::Apply_reply reply;
        *reply.mutable_failure() = operators::to_failure(reason, current);
        on_done(std::move(reply));
    };
    if (request.change().has_membership() || request.change().has_epoch_open())
        return refuse(error(error_code::invalid_argument,
                          "instances manage the membership themselves"),
            0);
    const auto entity = catalog::entity_of(request.change());
    replica_->commit(request.change(), request.operation_id(),
        request.expected_revision(), clock_.now() + commit_timeout,
        [this, entity, on_done = std::move(on_done)](
            const result<std::int64_t>& committed)
        {
            if (committed)
            {
                push_from(*committed);
                return report_in_force(*committed, on_done);
            }
            operators::Apply_reply reply;
            *reply.mutable_failure() = operators::to_failure(
                committed.error(), replica_->current().entity_revision(entity));
            on_done(std::move(reply));
        });
}

void control_core::report_in_force(
    std::int64_t revision, std::function<void(operators::Apply_reply)> on_done)
{
    membership_->when_in_force(revision, clock_.now() + in_force_timeout,
        [revision, on_done = std::move(on_done)](
            const membership::in_force_report& report)
        {
            operators::Apply_reply reply;
            reply.set_revision(revision);
            reply.set_in_force(report.in_force);
            for (const auto& instance : report.missing)
                reply.add_missing_instances(instance.str());
            on_done(std::move(reply));
        });
}

operators::Status_reply control_core::status()
{
    const auto now = clock_.now();
    const auto& configuration = replica_->current();
    operators::Status_reply reply;
    reply.set_instance(local_.instance.str());
    reply.set_incarnation(local_.incarnation);
    reply.set_applied_revision(configuration.revision());
    reply.set_view_lease_valid(lease_->valid(now));
    reply.set_store_reachable(store_reachable_);
    reply.set_stopping(stopping_);
    reply.set_placement_holder(placement_->active());
    reply.set_epoch(configuration.epoch());
    reply.set_epoch_open(configuration.epoch_open());
    for (const auto& member : configuration.members())
        reply.add_members(member.instance.str());
    for (const auto& [id, report] : reports_)
    {
        auto& endpoint = *reply.add_endpoints();
        endpoint.set_endpoint(id.str());
        endpoint.set_suspected(suspected_.contains(id));
        endpoint.set_leaving(report.leaving || listed_leaving_.contains(id));
        endpoint.set_used_bytes(report.used_bytes);
        endpoint.set_capacity_bytes(report.capacity_bytes);
        endpoint.set_in_flight(scheduler_.in_flight(id));
        for (const auto& resident : report.models)
        {
            if (resident.state == routing::residency_state::ready)
                endpoint.add_ready_models(resident.model.str());
        }
    }
    for (const auto& [id, limit] : configuration.workspaces())
    {
        auto& workspace = *reply.add_workspaces();
        const auto bucket = limiter_->state(id, now);
        workspace.set_workspace(id.str());
        workspace.set_shares(bucket.shares);
        workspace.set_level_tokens(bucket.level_millitokens / 1000);
        workspace.set_admitted_tokens(admitted_tokens_[id]);
        workspace.set_refused_requests(refused_requests_[id]);
    }
    return reply;
}

} // namespace tarragonquay::daemon
