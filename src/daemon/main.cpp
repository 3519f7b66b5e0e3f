#include <utility>

#include "daemon/application.hpp"
#include "settings/program.hpp"
#include "settings/settings.hpp"

namespace
{

namespace tq = tarragonquay;

const tq::settings::program_info program{"tarragonquayd",
    "Serves requests of callers to model engines and services.", ""};

int serve(const tq::settings::daemon_settings& settings, const std::string&)
{
    const auto logging =
        tq::log::start(settings.log_level, settings.instance.str());
    if (!logging)
        return report_failure(
            program, logging.error(), tq::settings::exit_usage);
    auto application = tq::daemon::application::create(settings);
    if (!application)
        return report_failure(
            program, application.error(), tq::settings::exit_failed);
    (*application)->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return tq::settings::run_program(
        program, argc, argv, tq::settings::load, serve);
}
