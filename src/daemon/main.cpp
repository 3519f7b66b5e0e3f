#include <utility>

#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "daemon/application.hpp"
#include "settings/settings.hpp"

namespace
{

// Exit codes, as documented in --help.
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int report(const tarragonquay::error& failure, int code)
{
    std::cerr << "tarragonquayd: " << to_string(failure.code()) << ": "
              << failure.message() << "\n";
    return code;
}

int serve(const tarragonquay::settings::daemon_settings& settings)
{
    const auto logging =
        tarragonquay::log::start(settings.log_level, settings.instance.str());
    if (!logging)
        return report(logging.error(), exit_usage);
    auto application = tarragonquay::daemon::application::create(settings);
    if (!application)
        return report(application.error(), exit_failed);
    (*application)->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Serves requests of callers to model engines and services."};
    app.footer("Exit codes: 0 stopped as planned, 1 could not start, "
               "2 wrong usage or settings.\n"
               "Signals: SIGTERM and SIGINT start a graceful stop.\n"
               "Settings are described in docs/OPERATIONS.md.");
    std::string settings_file;
    bool check_only = false;
    app.add_option("--settings", settings_file, "YAML settings file")
        ->required();
    app.add_flag("--check", check_only, "Check the settings file and exit");
    app.set_version_flag("--version", "tarragonquayd 0.1.0");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure)
    {
        return app.exit(failure) == 0 ? 0 : exit_usage;
    }

    const auto settings = tarragonquay::settings::load(settings_file);
    if (!settings)
        return report(settings.error(), exit_usage);
    if (check_only)
    {
        std::cout << settings_file << ": ok\n";
        return 0;
    }
    return serve(*settings);
}
