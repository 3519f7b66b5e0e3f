#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include <CLI/CLI.hpp>

#include "ctl/connection.hpp"
#include "ctl/options.hpp"

namespace tarragonquay::ctl
{

/// Options, connection and output stream of a command.
struct command_context
{
    const global_options& options;
    connection& server;
    std::ostream& out;
};

/// Runs the selected command; set during command-line parsing.
using action = std::function<result<void>(command_context&)>;
/// Runs a command that needs no connection to an instance.
using local_action =
    std::function<result<void>(output_format format, std::ostream& out)>;

/// Add the subcommands; `chosen` must outlive the parsing.
void add_entity_commands(CLI::App& app, action& chosen);
void add_key_commands(CLI::App& app, action& chosen);
void add_service_commands(CLI::App& app, action& chosen);
void add_operation_commands(CLI::App& app, action& chosen);
void add_log_commands(CLI::App& app, local_action& chosen);

/// Sends a change with a new operation id. Fails with `not_in_force` when it
/// is committed without the acknowledgement of a majority; `after_commit`
/// runs in this case too.
result<void> send_change(command_context& context, config::Change change,
    std::int64_t expected_revision,
    const std::function<void(const operators::Apply_reply&)>& after_commit);

/// Sends a change and prints its revision.
result<void> send_change(command_context& context, config::Change change);

/// Prints a message as JSON, or the text that `describe` returns.
void print(command_context& context, const google::protobuf::Message& message,
    const std::function<std::string()>& describe);

/// Prints one kind of entity; `select` copies it from the whole snapshot.
result<void> print_list(command_context& context,
    const std::function<void(
        const config::Snapshot& whole, config::Snapshot& part)>& select,
    const std::function<std::string(const config::Snapshot&)>& describe);

/// Adds "remove ID" (or another verb) that sends the change made of the id.
void add_removal(CLI::App& parent, const std::string& verb,
    const std::string& help, action& chosen,
    const std::function<config::Removal*(config::Change&)>& field);

/// Parses PREFIX:METHOD:idempotent|not_idempotent|by_method[:open].
result<config::Route> parse_route(const std::string& text);

/// Generates the secret of a key with OpenSSL's random generator.
result<std::string> make_secret();

} // namespace tarragonquay::ctl
