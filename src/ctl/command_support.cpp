#include "ctl/commands.hpp"

#include <ostream>
#include <utility>

#include <fmt/format.h>

#include "common/random.hpp"
#include "ctl/output.hpp"

namespace tarragonquay::ctl
{

result<void> send_change(session& at, config::Change change,
    std::int64_t expected_revision,
    const std::function<void(const operators::Apply_reply&)>& after_commit)
{
    operators::Apply_request request;
    *request.mutable_change() = std::move(change);
    request.set_operation_id(unique_id());
    request.set_expected_revision(expected_revision);
    const auto reply = at.server.apply(request);
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

result<void> send_change(session& at, config::Change change)
{
    return send_change(at, std::move(change), at.options.expected_revision,
        [&at](const operators::Apply_reply& reply)
        {
            print(at, reply,
                [&] { return fmt::format("revision {}\n", reply.revision()); });
        });
}

void print(session& at, const google::protobuf::Message& message,
    const std::function<std::string()>& describe)
{
    if (at.options.format == output_format::json)
        at.out << to_json(message);
    else
        at.out << describe();
    at.out.flush();
}

result<void> print_list(session& at,
    const std::function<void(
        const config::Snapshot& whole, config::Snapshot& part)>& select,
    const std::function<std::string(const config::Snapshot&)>& describe)
{
    const auto reply = at.server.describe();
    if (!reply)
        return tl::unexpected(reply.error());
    config::Snapshot part;
    part.set_revision(reply->snapshot().revision());
    select(reply->snapshot(), part);
    print(at, part, [&] { return describe(reply->snapshot()); });
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
            chosen = [id, field](session& at)
            {
                config::Change change;
                field(change)->set_id(*id);
                return send_change(at, std::move(change));
            };
        });
}

} // namespace tarragonquay::ctl
