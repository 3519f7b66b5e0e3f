#include "ctl/commands.hpp"

#include <ostream>
#include <utility>

#include "ctl/output.hpp"

namespace tarragonquay::ctl
{

namespace
{

void add_config(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand("config", "The whole configuration");
    group->require_subcommand(1);
    group->add_subcommand("show", "Show the configuration of the instance")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context) -> result<void>
                {
                    const auto reply = context.server.describe();
                    if (!reply)
                        return tl::unexpected(reply.error());
                    print(context, reply->snapshot(),
                        [&] { return describe(reply->snapshot()); });
                    return {};
                };
            });
}

void add_status(CLI::App& app, action& chosen)
{
    app.add_subcommand("status", "Show the state of the instance")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context) -> result<void>
                {
                    const auto reply = context.server.status();
                    if (!reply)
                        return tl::unexpected(reply.error());
                    print(context, *reply, [&] { return describe(*reply); });
                    return {};
                };
            });
}

void add_drain(CLI::App& app, action& chosen)
{
    app.add_subcommand("drain", "Start the graceful stop of the instance")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context) -> result<void>
                {
                    const auto reply = context.server.drain();
                    if (!reply)
                        return tl::unexpected(reply.error());
                    print(context, *reply,
                        [] { return std::string("the instance drains\n"); });
                    return {};
                };
            });
}

void add_timeline(CLI::App& app, action& chosen)
{
    auto request = std::make_shared<operators::Timeline_request>();
    request->set_limit(200);
    auto* command = app.add_subcommand("timeline", "Show recorded events");
    auto* all = command->add_flag_function(
        "--all",
        [request](auto count) { request->set_all_instances(count > 0); },
        "Ask all members and merge their events");
    command->add_option_function<std::int32_t>(
        "--limit", [request](auto limit) { request->set_limit(limit); },
        "Maximum number of events (default 200)");
    // A cursor is a position in the events of one instance.
    command
        ->add_option_function<std::string>(
            "--after",
            [request](const auto& cursor)
            { request->set_after_cursor(cursor); },
            "Show events after the cursor of an earlier answer of the same "
            "instance; not with --all")
        ->excludes(all);
    command->final_callback(
        [&chosen, request]
        {
            chosen = [request](command_context& context) -> result<void>
            {
                const auto reply = context.server.timeline(*request);
                if (!reply)
                    return tl::unexpected(reply.error());
                print(context, *reply, [&] { return describe(*reply); });
                return {};
            };
        });
}

void add_order_show(CLI::App& group, action& chosen)
{
    auto workspace = std::make_shared<std::string>();
    auto key = std::make_shared<std::string>();
    auto* show = group.add_subcommand("show", "Show the record of an order");
    show->add_option("workspace", *workspace, "Workspace")->required();
    show->add_option("idempotency_key", *key, "Idempotency key")->required();
    show->final_callback(
        [&chosen, workspace, key]
        {
            chosen = [workspace, key](command_context& context) -> result<void>
            {
                operators::Show_order_request request;
                request.set_workspace(*workspace);
                request.set_idempotency_key(*key);
                const auto reply = context.server.show_order(request);
                if (!reply)
                    return tl::unexpected(reply.error());
                print(context, *reply,
                    [&] { return describe(reply->order(), reply->version()); });
                return {};
            };
        });
}

void add_order_resolve(CLI::App& group, action& chosen)
{
    auto request = std::make_shared<operators::Resolve_order_request>();
    auto* resolve = group.add_subcommand(
        "resolve", "Set the outcome of an order whose outcome is unknown");
    resolve
        ->add_option_function<std::string>(
            "workspace",
            [request](const auto& id) { request->set_workspace(id); },
            "Workspace")
        ->required();
    resolve
        ->add_option_function<std::string>(
            "idempotency_key",
            [request](const auto& key) { request->set_idempotency_key(key); },
            "Idempotency key")
        ->required();
    resolve
        ->add_option_function<std::string>(
            "--outcome",
            [request](const auto& outcome)
            {
                request->set_outcome(
                    outcome == "ran"
                        ? operators::Resolve_order_request::RAN
                        : operators::Resolve_order_request::DID_NOT_RUN);
            },
            "ran or did_not_run")
        ->required()
        ->check(CLI::IsMember({"ran", "did_not_run"}));
    resolve
        ->add_option_function<std::int64_t>(
            "--expected-version",
            [request](auto version) { request->set_expected_version(version); },
            "Version from 'order show'")
        ->required();
    resolve
        ->add_option_function<std::string>(
            "--by",
            [request](const auto& name) { request->set_resolved_by(name); },
            "Name of the operator")
        ->required();
    resolve->final_callback(
        [&chosen, request]
        {
            chosen = [request](command_context& context) -> result<void>
            {
                const auto reply = context.server.resolve_order(*request);
                if (!reply)
                    return tl::unexpected(reply.error());
                print(context, *reply,
                    [] {
                        return std::string(
                            "resolved; 'order show' prints the record\n");
                    });
                return {};
            };
        });
}

} // namespace

void add_operation_commands(CLI::App& app, action& chosen)
{
    add_config(app, chosen);
    add_status(app, chosen);
    add_drain(app, chosen);
    add_timeline(app, chosen);
    auto* order = app.add_subcommand("order", "Non-idempotent calls");
    order->require_subcommand(1);
    add_order_show(*order, chosen);
    add_order_resolve(*order, chosen);
}

} // namespace tarragonquay::ctl
