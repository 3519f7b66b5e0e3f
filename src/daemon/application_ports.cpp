#include <utility>

#include "daemon/application.hpp"

// Ports through which other threads call the control core and the order book.
namespace tarragonquay::daemon
{

ingress::control_port application::control_port()
{
    ingress::control_port port;
    port.admit = [this](const workspace_id& workspace, std::int64_t tokens,
                     time_point deadline, auto on_done)
    {
        post([this, workspace, tokens, deadline, on_done = std::move(on_done)]
            { core_->admit(workspace, tokens, deadline, on_done); });
    };
    port.settle = [this](const limits::reservation& reserved, std::int64_t used)
    { post([this, reserved, used] { core_->settle(reserved, used); }); };
    port.acquire = [this](routing::request_spec spec, auto on_done)
    {
        post([this, spec = std::move(spec), on_done = std::move(on_done)]
            { core_->acquire(spec, on_done); });
    };
    port.release = [this](std::uint64_t assignment, routing::outcome how,
                       std::int64_t output_tokens)
    {
        post([this, assignment, how, output_tokens]
            { core_->release(assignment, how, output_tokens); });
    };
    port.entries = [this](auto on_done) {
        post([this, on_done = std::move(on_done)]
            { on_done(core_->entries()); });
    };
    return port;
}

ingress::order_port application::order_port()
{
    ingress::order_port port;
    port.begin = [this](orders::order_call call, auto on_done)
    { orders_->begin(std::move(call), std::move(on_done)); };
    port.check = [this](const orders::dispatch_permit& permit)
    { return orders_->check(permit); };
    port.complete = [this](orders::dispatch_permit permit,
                        orders::order_answer answer, auto on_done)
    {
        orders_->complete(
            std::move(permit), std::move(answer), std::move(on_done));
    };
    port.mark_unknown = [this](orders::dispatch_permit permit, auto on_done)
    { orders_->mark_unknown(std::move(permit), std::move(on_done)); };
    port.mark_not_run = [this](orders::dispatch_permit permit, auto on_done)
    { orders_->mark_not_run(std::move(permit), std::move(on_done)); };
    return port;
}

operators::control_port application::operator_port()
{
    operators::control_port port;
    port.apply = [this](const operators::Apply_request& request, auto on_done)
    {
        post([this, request, on_done = std::move(on_done)]
            { core_->apply(request, on_done); });
    };
    port.describe = [this](const operators::Describe_request&, auto on_done)
    {
        operators::Describe_reply reply;
        *reply.mutable_snapshot() = published_.current()->to_proto();
        on_done(std::move(reply));
    };
    port.status = [this](const operators::Status_request&, auto on_done) {
        post(
            [this, on_done = std::move(on_done)] { on_done(core_->status()); });
    };
    port.show_order = [this](const auto& request, auto on_done)
    { show_order(request, std::move(on_done)); };
    port.resolve_order = [this](const auto& request, auto on_done)
    { resolve_order(request, std::move(on_done)); };
    port.timeline = [this](const auto& request, auto on_done)
    { show_timeline(request, std::move(on_done)); };
    port.drain = [this](const operators::Drain_request&, auto on_done)
    {
        post(
            [this, on_done = std::move(on_done)]
            {
                begin_stop();
                on_done({});
            });
    };
    return port;
}

void application::show_order(const operators::Show_order_request& request,
    std::function<void(operators::Show_order_reply)> on_done)
{
    orders_->show(workspace_id(request.workspace()), request.idempotency_key(),
        [on_done = std::move(on_done)](const auto& shown)
        {
            operators::Show_order_reply reply;
            if (shown)
            {
                *reply.mutable_order() = shown->record;
                reply.set_version(shown->version);
            }
            else
                *reply.mutable_failure() = operators::to_failure(shown.error());
            on_done(std::move(reply));
        });
}

void application::resolve_order(const operators::Resolve_order_request& request,
    std::function<void(operators::Resolve_order_reply)> on_done)
{
    const auto decision =
        request.outcome() == operators::Resolve_order_request::RAN
            ? orders::resolution::ran
            : orders::resolution::did_not_run;
    orders_->resolve(workspace_id(request.workspace()),
        request.idempotency_key(), request.expected_version(), decision,
        request.resolved_by(),
        [this, on_done = std::move(on_done)](const auto& shown)
        {
            operators::Resolve_order_reply reply;
            if (shown)
            {
                events_.record(events::kind::order_resolved,
                    shown->record.order_id(), shown->record.resolved_by());
                *reply.mutable_order() = shown->record;
            }
            else
                *reply.mutable_failure() = operators::to_failure(shown.error());
            on_done(std::move(reply));
        });
}

namespace
{

operators::Timeline_reply own_timeline(const result<timeline::own_page>& found)
{
    operators::Timeline_reply reply;
    if (!found)
    {
        *reply.mutable_failure() = operators::to_failure(found.error());
        return reply;
    }
    for (const auto& value : found->events)
        *reply.add_events() = timeline::to_proto(value);
    reply.set_cursor(found->cursor);
    reply.set_dropped_events(found->dropped);
    return reply;
}

} // namespace

void application::show_timeline(const operators::Timeline_request& request,
    std::function<void(operators::Timeline_reply)> on_done)
{
    constexpr std::size_t default_limit = 1000;
    const auto limit = request.limit() > 0
                           ? static_cast<std::size_t>(request.limit())
                           : default_limit;
    post(
        [this, request, limit, on_done = std::move(on_done)]
        {
            if (!request.all_instances())
                return on_done(own_timeline(
                    core_->own_events(request.after_cursor(), limit)));
            core_->collect_events(limit,
                [on_done](const timeline::collected& found)
                {
                    operators::Timeline_reply reply;
                    for (const auto& value : found.events)
                        *reply.add_events() = timeline::to_proto(value);
                    for (const auto& instance : found.missing)
                        reply.add_missing_instances(instance.str());
                    on_done(std::move(reply));
                });
        });
}

} // namespace tarragonquay::daemon
