#include <utility>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include <CLI/CLI.hpp>

#include "standins/platform_service.hpp"
#include "standins/programs.hpp"

namespace tarragonquay::standins
{
namespace
{

void run_platform(const platform_options& options)
{
    asio::io_context io(1);
    platform_state state(options);
    listen_or_throw(io, "admin", options.admin,
        [&state](const http_request& request, http_connection& peer)
        { return state.handle(request, peer); });

    const auto server = platform_server::open(io, state, options.listen);
    if (!server)
        throw std::runtime_error(server.error().message());
    print_listening("platform", (*server)->address());
    run_until_signal(io);
    // Calls that wait on the stopped io_context are never finished, and the
    // server would wait for them; all state is in memory, so just end.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

void add_platform(CLI::App& app)
{
    auto* command = app.add_subcommand("platform",
        "Table service, object store and instance list over gRPC; the admin "
        "address also serves the weight store.");
    auto options = std::make_shared<platform_options>();
    command->add_option("--listen", options->listen, "gRPC address, ip:port")
        ->capture_default_str();
    command
        ->add_option(
            "--admin", options->admin, "HTTP address of /admin/ and /weights/")
        ->capture_default_str();
    command
        ->add_option(
            "--list-lag-ms", options->list_lag_ms, "Age of the instance list")
        ->capture_default_str();
    command
        ->add_option("--writes-per-second", options->writes_per_second,
            "Each written row and each object counts as one write")
        ->capture_default_str();
    command
        ->add_option("--reads-per-second", options->reads_per_second,
            "Each key read, each scan and each list counts as one read")
        ->capture_default_str();
    command
        ->add_option("--queue-ms", options->queue_ms,
            "Longest wait before RESOURCE_EXHAUSTED")
        ->capture_default_str();
    command
        ->add_option("--loads-per-second", options->loads_per_second,
            "Weight loads that start per second")
        ->capture_default_str();
    command
        ->add_option("--loads-at-once", options->loads_at_once,
            "Weight loads that run concurrently")
        ->capture_default_str();
    command
        ->add_option("--weight-bytes-per-second",
            options->weight_bytes_per_second, "Speed of one weight load")
        ->capture_default_str();
    command->footer(
        "Admin: POST /admin/mode {mode: up|down|hang|slow|answer_lost, ms, "
        "count}; POST /admin/instances {id, address, leaving} or {id, erase: "
        "true}; GET /admin/rows?prefix=P; GET /admin/counts. Weight store: GET "
        "/weights/{model}/{version}?bytes=N.");
    command->callback([options] { run_platform(*options); });
}

} // namespace tarragonquay::standins
