#include "ctl/commands.hpp"

#include <utility>

#include <fmt/format.h>

#include "ctl/output.hpp"

namespace tarragonquay::ctl
{

namespace
{

void add_workspace(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand("workspace", "Workspaces (customers)");
    group->require_subcommand(1);
    auto value = std::make_shared<config::Workspace>();
    auto* put = group->add_subcommand("put", "Create or replace a workspace");
    put->add_option_function<std::string>(
           "id", [value](const auto& id) { value->set_id(id); }, "Workspace")
        ->required();
    put->add_option_function<std::int64_t>(
           "--rate",
           [value](auto rate) { value->set_rate_tokens_per_second(rate); },
           "Tokens per second, counted over all instances")
        ->required();
    put->add_option_function<std::int64_t>(
           "--burst", [value](auto burst) { value->set_burst_tokens(burst); },
           "Tokens that may be used at once")
        ->required();
    put->final_callback(
        [&chosen, value]
        {
            chosen = [value](command_context& context)
            {
                config::Change change;
                *change.mutable_put_workspace() = *value;
                return send_change(context, std::move(change));
            };
        });
    add_removal(*group, "remove",
        "Remove a workspace whose keys are all withdrawn", chosen,
        [](config::Change& change)
        { return change.mutable_remove_workspace(); });
    group->add_subcommand("list", "List the workspaces")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context)
                {
                    return print_list(
                        context,
                        [](const auto& whole, auto& part)
                        { *part.mutable_workspaces() = whole.workspaces(); },
                        [](const auto& whole)
                        { return workspaces_table(whole).to_string(); });
                };
            });
}

void add_model(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand("model", "Models");
    group->require_subcommand(1);
    auto value = std::make_shared<config::Model>();
    auto* put = group->add_subcommand("put", "Create or replace a model");
    put->add_option_function<std::string>(
           "id", [value](const auto& id) { value->set_id(id); }, "Model")
        ->required();
    put->add_option_function<std::string>(
           "--version",
           [value](const auto& version) { value->set_version(version); },
           "Version of the weights")
        ->required();
    put->add_option_function<std::int64_t>(
           "--bytes", [value](auto bytes) { value->set_bytes(bytes); },
           "Accelerator memory of one replica")
        ->required();
    put->final_callback(
        [&chosen, value]
        {
            chosen = [value](command_context& context)
            {
                config::Change change;
                *change.mutable_put_model() = *value;
                return send_change(context, std::move(change));
            };
        });
    add_removal(*group, "remove", "Remove a model without adapters", chosen,
        [](config::Change& change) { return change.mutable_remove_model(); });
    group->add_subcommand("list", "List the models")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context)
                {
                    return print_list(
                        context,
                        [](const auto& whole, auto& part)
                        { *part.mutable_models() = whole.models(); },
                        [](const auto& whole)
                        { return models_table(whole).to_string(); });
                };
            });
}

void add_adapter(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand("adapter", "Adapters of models");
    group->require_subcommand(1);
    auto value = std::make_shared<config::Adapter>();
    auto* put = group->add_subcommand("put", "Create or replace an adapter");
    put->add_option_function<std::string>(
           "id", [value](const auto& id) { value->set_id(id); }, "Adapter")
        ->required();
    put->add_option_function<std::string>(
           "--model", [value](const auto& model) { value->set_model(model); },
           "Model that it adapts")
        ->required();
    put->add_option_function<std::string>(
           "--version",
           [value](const auto& version) { value->set_version(version); },
           "Version of the adapter")
        ->required();
    put->add_option_function<std::int64_t>(
           "--bytes", [value](auto bytes) { value->set_bytes(bytes); },
           "Accelerator memory")
        ->required();
    put->final_callback(
        [&chosen, value]
        {
            chosen = [value](command_context& context)
            {
                config::Change change;
                *change.mutable_put_adapter() = *value;
                return send_change(context, std::move(change));
            };
        });
    add_removal(*group, "remove", "Remove an adapter", chosen,
        [](config::Change& change) { return change.mutable_remove_adapter(); });
    group->add_subcommand("list", "List the adapters")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context)
                {
                    return print_list(
                        context,
                        [](const auto& whole, auto& part)
                        { *part.mutable_adapters() = whole.adapters(); },
                        [](const auto& whole)
                        { return adapters_table(whole).to_string(); });
                };
            });
}

/// Reads an entity, modifies it and writes it back if its revision has not
/// changed, so that fields set by another operator are kept.
template <class Messages, class Alter>
result<void> change_existing(command_context& context,
    const config::Snapshot& snapshot, const Messages& messages,
    const std::string& entity, const std::string& id, const Alter& alter)
{
    for (const auto& message : messages)
    {
        if (message.id() != id)
            continue;
        auto expected = context.options.expected_revision;
        const auto known = snapshot.entity_revisions().find(entity);
        if (expected < 0 && known != snapshot.entity_revisions().end())
            expected = known->second;
        config::Change change;
        alter(message, change);
        return send_change(context, std::move(change), expected,
            [&context](const operators::Apply_reply& reply)
            {
                print(context, reply,
                    [&]
                    { return fmt::format("revision {}\n", reply.revision()); });
            });
    }
    return fail(
        error_code::not_found, fmt::format("'{}' does not exist", entity));
}

void add_limit(CLI::App& app, action& chosen)
{
    struct limits
    {
        std::string id;
        std::int64_t rate = 0;
        std::int64_t burst = 0;
    };
    auto value = std::make_shared<limits>();
    auto* command = app.add_subcommand(
        "limit", "Set the rate and burst of an existing workspace");
    command->add_option("workspace", value->id, "Workspace")->required();
    command->add_option("--rate", value->rate, "Tokens per second; kept if 0");
    command->add_option("--burst", value->burst, "Tokens; kept if 0");
    command->final_callback(
        [&chosen, value]
        {
            chosen = [value](command_context& context) -> result<void>
            {
                if (value->rate == 0 && value->burst == 0)
                    return fail(error_code::invalid_settings,
                        "limit needs --rate or --burst");
                const auto reply = context.server.describe();
                if (!reply)
                    return tl::unexpected(reply.error());
                const auto& whole = reply->snapshot();
                return change_existing(context, whole, whole.workspaces(),
                    "workspace/" + value->id, value->id,
                    [&](const auto& found, config::Change& change)
                    {
                        auto& altered = *change.mutable_put_workspace();
                        altered = found;
                        if (value->rate != 0)
                            altered.set_rate_tokens_per_second(value->rate);
                        if (value->burst != 0)
                            altered.set_burst_tokens(value->burst);
                    });
            };
        });
}

void add_version(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand(
        "version", "Set the version of an existing model or adapter");
    group->require_subcommand(1);
    for (const bool is_model : {true, false})
    {
        const std::string kind = is_model ? "model" : "adapter";
        auto id = std::make_shared<std::string>();
        auto version = std::make_shared<std::string>();
        auto* command =
            group->add_subcommand(kind, "Set the version of a " + kind);
        command->add_option("id", *id, "Id")->required();
        command->add_option("version", *version, "New version")->required();
        command->final_callback(
            [&chosen, is_model, kind, id, version]
            {
                chosen = [is_model, kind, id, version](
                             command_context& context) -> result<void>
                {
                    const auto reply = context.server.describe();
                    if (!reply)
                        return tl::unexpected(reply.error());
                    const auto& whole = reply->snapshot();
                    const auto entity = kind + "/" + *id;
                    if (is_model)
                        return change_existing(context, whole, whole.models(),
                            entity, *id,
                            [&](const auto& found, config::Change& change)
                            {
                                *change.mutable_put_model() = found;
                                change.mutable_put_model()->set_version(
                                    *version);
                            });
                    return change_existing(context, whole, whole.adapters(),
                        entity, *id,
                        [&](const auto& found, config::Change& change)
                        {
                            *change.mutable_put_adapter() = found;
                            change.mutable_put_adapter()->set_version(*version);
                        });
                };
            });
    }
}

} // namespace

void add_entity_commands(CLI::App& app, action& chosen)
{
    add_workspace(app, chosen);
    add_limit(app, chosen);
    add_model(app, chosen);
    add_adapter(app, chosen);
    add_version(app, chosen);
}

} // namespace tarragonquay::ctl
