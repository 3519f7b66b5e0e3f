#include "ctl/program.hpp"

#include <cstdlib>
#include <map>
#include <ostream>
#include <string>

#include "ctl/commands.hpp"
#include "ctl/connection.hpp"

namespace tarragonquay::ctl
{

namespace
{

constexpr const char* footer =
    "The address comes from --address, else TQCTL_ADDRESS, else the key\n"
    "'address' of the settings file (YAML; also: ca_file).\n\n"
    "Errors go to stderr as 'tqctl: <code>: <message>'. Exit codes:\n"
    "  0  done\n"
    "  1  the call failed\n"
    "  2  wrong usage or settings\n"
    "  3  conflict: the entity has changed or is in use\n"
    "  4  committed, but not yet applied by a majority of the members\n"
    "  5  no answer or an unknown outcome: a change may be committed";

void add_global_options(CLI::App& app, global_options& options)
{
    app.add_option("--address", options.address,
        "ip:port of an instance's operator service");
    app.add_option("--settings", options.settings_file, "YAML settings file");
    app.add_option("--ca-file", options.ca_file,
        "Use TLS and trust this certificate authority (PEM)");
    app.add_option(
           "--output", options.format, "Format of the answer (default: table)")
        ->transform(
            CLI::CheckedTransformer(std::map<std::string, output_format>{
                {"table", output_format::table},
                {"json", output_format::json}}))
        ->option_text("table|json");
    app.add_option("--expected-revision", options.expected_revision,
           "Only change the entity if this is its revision; 0: it must not "
           "exist, -1: any (default)")
        ->check(CLI::Range(std::int64_t(-1), INT64_MAX));
    app.add_option("--timeout", options.timeout_ms,
           "Timeout of a call in milliseconds, including its retries")
        ->check(CLI::Range(1, 3'600'000))
        ->capture_default_str();
}

exit_code report(const error& reason, std::ostream& err)
{
    err << "tqctl: " << to_string(reason.code()) << ": " << reason.message()
        << '\n';
    return exit_code_of(reason.code());
}

} // namespace

exit_code run(
    int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    CLI::App app("Operator tool of tarragonquay", "tqctl");
    app.fallthrough();
    app.require_subcommand(1);
    app.footer(footer);
    global_options given;
    action chosen;
    local_action chosen_local;
    add_global_options(app, given);
    add_entity_commands(app, chosen);
    add_key_commands(app, chosen);
    add_service_commands(app, chosen);
    add_operation_commands(app, chosen);
    add_log_commands(app, chosen_local);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        if (problem.get_exit_code() == 0)
        {
            app.exit(problem, out, err);
            return exit_code::ok;
        }
        err << "tqctl: invalid_argument: " << problem.what() << '\n';
        return exit_code::usage;
    }
    if (chosen_local)
    {
        const auto done = chosen_local(given.format, out);
        return done ? exit_code::ok : report(done.error(), err);
    }
    const auto options = resolve(given, std::getenv("TQCTL_ADDRESS"));
    if (!options)
        return report(options.error(), err);
    const auto server = connection::create(*options);
    if (!server)
        return report(server.error(), err);
    command_context context{*options, **server, out};
    const auto done = chosen(context);
    return done ? exit_code::ok : report(done.error(), err);
}

} // namespace tarragonquay::ctl
