#pragma once

#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "common/error.hpp"

namespace tarragonquay::settings
{

/// Exit codes of the daemons, as documented in --help.
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

/// Texts that --help and --version of a daemon print.
struct program_info
{
    std::string name;
    std::string description;
    /// Help text on additional signals; may be empty.
    std::string additional_signals;
};

/// Prints a failure to stderr and returns `code`.
inline int report_failure(
    const program_info& program, const error& failure, int code)
{
    std::cerr << program.name << ": " << to_string(failure.code()) << ": "
              << failure.message() << "\n";
    return code;
}

/// Main function of a daemon with one settings file: parses the arguments,
/// calls `load(file)`, which returns a result, and `serve(settings, file)`,
/// which returns the exit code. With --check, only loads the file.
template <class Load, class Serve>
int run_program(
    const program_info& program, int argc, char** argv, Load load, Serve serve)
{
    CLI::App app{program.description};
    app.footer("Exit codes: 0 stopped as planned, 1 could not start, "
               "2 wrong usage or settings.\n"
               "Signals: SIGTERM and SIGINT start a graceful stop." +
               program.additional_signals +
               "\nSettings are described in docs/OPERATIONS.md.");
    std::string settings_file;
    bool check_only = false;
    app.add_option("--settings", settings_file, "YAML settings file")
        ->required();
    app.add_flag("--check", check_only, "Check the settings file and exit");
    app.set_version_flag("--version", program.name + " 0.1.0");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure)
    {
        return app.exit(failure) == 0 ? 0 : exit_usage;
    }
    const auto settings = load(settings_file);
    if (!settings)
        return report_failure(program, settings.error(), exit_usage);
    if (!check_only)
        return serve(*settings, settings_file);
    std::cout << settings_file << ": ok\n";
    return 0;
}

} // namespace tarragonquay::settings
