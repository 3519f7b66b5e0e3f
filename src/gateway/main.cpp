#include <utility>

#include <filesystem>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "gateway/application.hpp"
#include "platform/dialect.hpp"
#include "platform/store_codec.hpp"
#include "settings/gateway_settings.hpp"

namespace
{

namespace tq = tarragonquay;

// Exit codes, as documented in --help.
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int report(const tq::error& failure, int code)
{
    std::cerr << "tqgatewayd: " << to_string(failure.code()) << ": "
              << failure.message() << "\n";
    return code;
}

// Time of the last change; 0 when the file can't be read.
std::int64_t file_stamp(const std::string& file)
{
    std::error_code ignored;
    const auto time = std::filesystem::last_write_time(file, ignored);
    return ignored ? 0 : time.time_since_epoch().count();
}

int serve(const std::string& settings_file)
{
    const auto settings = tq::settings::load_gateway(settings_file);
    if (!settings)
        return report(settings.error(), exit_usage);
    auto application =
        tq::gateway::application<tq::platform::store_codec>::create(*settings,
            tq::platform::make_dialect(),
            {[settings_file]
                { return tq::settings::load_gateway(settings_file); },
                [settings_file] { return file_stamp(settings_file); }});
    if (!application)
        return report(application.error(), exit_failed);
    (*application)->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Serves callers on instances of the users' platform."};
    app.footer("Exit codes: 0 stopped as planned, 1 could not start, "
               "2 wrong usage or settings.\n"
               "Signals: SIGTERM and SIGINT start a graceful stop, SIGHUP "
               "reads the settings anew.\n"
               "Settings are described in docs/OPERATIONS.md.");
    std::string settings_file;
    bool check_only = false;
    app.add_option("--settings", settings_file, "YAML settings file")
        ->required();
    app.add_flag("--check", check_only, "Check the settings file and exit");
    app.set_version_flag("--version", "tqgatewayd 0.1.0");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure)
    {
        return app.exit(failure) == 0 ? 0 : exit_usage;
    }
    if (!check_only)
        return serve(settings_file);
    const auto settings = tq::settings::load_gateway(settings_file);
    if (!settings)
        return report(settings.error(), exit_usage);
    std::cout << settings_file << ": ok\n";
    return 0;
}
