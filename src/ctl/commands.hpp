#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include <CLI/CLI.hpp>

#include "ctl/connection.hpp"
#include "ctl/options.hpp"

namespace tarragonquay::ctl
{

/// What a command runs with.
struct session
{
    const global_options& options;
    connection& server;
    std::ostream& out;
};

/// The parsed command; set while the command line is parsed.
using action = std::function<result<void>(session&)>;
/// A parsed command that needs no instance.
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
result<void> send_change(session& at, config::Change change,
    std::int64_t expected_revision,
    const std::function<void(const operators::Apply_reply&)>& after_commit);

/// Sends a change and prints its revision.
result<void> send_change(session& at, config::Change change);

/// Prints a message as JSON or, as text, what `describe` makes of it.
void print(session& at, const google::protobuf::Message& message,
    const std::function<std::string()>& describe);

/// Prints one kind of entity; `select` copies it from the whole.
result<void> print_list(session& at,
    const std::function<void(
        const config::Snapshot& whole, config::Snapshot& part)>& select,
    const std::function<std::string(const config::Snapshot&)>& describe);

/// Adds "remove ID" (or another verb) that sends the change made of the id.
void add_removal(CLI::App& parent, const std::string& verb,
    const std::string& help, action& chosen,
    const std::function<config::Removal*(config::Change&)>& field);

/// Parses PREFIX:METHOD:idempotent|not_idempotent|by_method[:open].
result<config::Route> parse_route(const std::string& text);

/// A new secret of a key, from OpenSSL's random source.
result<std::string> make_secret();

} // namespace tarragonquay::ctl
