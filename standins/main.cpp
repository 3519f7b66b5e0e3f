#include <iostream>

#include <CLI/CLI.hpp>

#include "standins/http.hpp"
#include "standins/programs.hpp"

int main(int argc, char** argv)
{
    CLI::App app{"Stand-ins for the components that surround the daemon. Each "
                 "prints \"listening <name> <ip:port>\" for every address it "
                 "listens on and ends on SIGTERM."};
    app.require_subcommand(1);
    int parent_pid = 0;
    app.add_option("--parent-pid", parent_pid,
           "End when the parent is no longer this process; before the "
           "subcommand")
        ->each([](const std::string& pid)
            { tarragonquay::standins::set_parent_pid(std::stoi(pid)); });
    tarragonquay::standins::add_platform(app);
    tarragonquay::standins::add_engine(app);
    tarragonquay::standins::add_service(app);
    tarragonquay::standins::add_http_platform(app);
    tarragonquay::standins::add_proxy(app);
    tarragonquay::standins::add_exec(app);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure)
    {
        return app.exit(failure);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "tq-standin: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
