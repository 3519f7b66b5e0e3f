#include "ctl/commands.hpp"

#include <ostream>
#include <utility>

#include <fmt/format.h>

#include "common/random.hpp"
#include "ctl/output.hpp"

namespace tarragonquay::ctl
{

result<void> send_change(command_context& context, config::Change change,
    std::int64_t expected_revision,
    const std::function<void(const operators::Apply_reply&)>& after_commit)
{
    operators::Apply_request request;
    *request.mutable_change() = std::move(change);
    request.set_operation_id(unique_id());
    request.set_expected_revision(expected_revision);
    const auto reply = context.server.apply(request);
    if (!reply)
        return tl::unexpected(reply.error());
    after_commit(*reply);
    if (reply->in_force())
        return {};
    return fail(error_code::not_in_force,
        fmt::format("revision {} is committed, but not applied by: {}",
            reply->revision(), fmt::join(reply->missing_instances(), ", ")),
        execution_state::completed);
}

result<void> send_change(command_context& context, config::Change change)
{
    return send_change(context, std::move(change),
        context.options.expected_revision,
        [&context](const operators::Apply_reply& reply)
        {
            print(context, reply,
                [&] { return fmt::format("revision {}\n", reply.revision()); });
        });
}

void print(command_context& context, const google::protobuf::Message& message,
    const std::function<std::string()>& describe)
{
    if (context.options.format == output_format::json)
        context.out << to_json(message);
    else
        context.out << describe();
    context.out.flush();
}

result<void> print_list(command_context& context,
    const std::function<void(
        const config::Snapshot& whole, config::Snapshot& part)>& select,
    const std::function<std::string(const config::Snapshot&)>& describe)
{
    const auto reply = context.server.describe();
    if (!reply)
        return tl::unexpected(reply.error());
    config::Snapshot part;
    part.set_revision(reply->snapshot().revision());
    select(reply->snapshot(), part);
    print(context, part, [&] { return describe(reply->snapshot()); });
    return {};
}

void add_removal(CLI::App& parent, const std::string& verb,
    const std::string& help, action& chosen,
    const std::function<config::Removal*(config::Change&)>& field)
{
    auto* command = parent.add_subcommand(verb, help);
    auto id = std::make_shared<std::string>();
    command->add_option("id", *id, "Id")->required();
    command->final_callback(
        [&chosen, id, field]
        {
            chosen = [id, field](command_context& context)
            {
                config::Change change;
                field(change)->set_id(*id);
                return send_change(context, std::move(change));
            };
        });
}

} // namespace tarragonquay::ctl
