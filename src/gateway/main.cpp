#include <utility>

#include <cstdlib>
#include <filesystem>
#include <string>

#include "gateway/application.hpp"
#include "platform/dialect.hpp"
#include "platform/store_codec.hpp"
#include "settings/gateway_settings.hpp"
#include "settings/program.hpp"

namespace
{

namespace tq = tarragonquay;

const tq::settings::program_info program{"tqgatewayd",
    "Serves callers on instances of the users' platform.",
    " SIGHUP reloads the settings."};

// Time of the last modification, in ticks of the file clock; 0 when the file
// can't be read.
std::int64_t modification_time(const std::string& file)
{
    std::error_code ignored;
    const auto time = std::filesystem::last_write_time(file, ignored);
    return ignored ? 0 : time.time_since_epoch().count();
}

int serve(
    const tq::settings::gateway_settings& settings, const std::string& file)
{
    auto application =
        tq::gateway::application<tq::platform::store_codec>::create(settings,
            tq::platform::make_dialect(),
            {[file] { return tq::settings::load_gateway(file); },
                [file] { return modification_time(file); }});
    if (!application)
        return report_failure(
            program, application.error(), tq::settings::exit_failed);
    (*application)->run();
    // Coroutines of unfinished requests are still suspended and refer to the
    // application. When it was destroyed before them, they accessed freed
    // memory.
    std::quick_exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    return tq::settings::run_program(
        program, argc, argv, tq::settings::load_gateway, serve);
}
