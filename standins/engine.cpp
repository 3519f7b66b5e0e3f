#include <utility>

#include <memory>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "standins/engine_server.hpp"
#include "standins/programs.hpp"

namespace tarragonquay::standins
{
namespace
{

void run_engine(const engine_options& options)
{
    asio::io_context io(1);
    engine_server engine(io, options);
    const http_handler handler =
        [&engine](const http_request& request, http_connection& peer)
    { return engine.handle(request, peer); };
    listen_or_throw(io, "engine", options.listen, handler);
    if (!options.admin.empty())
        listen_or_throw(io, "admin", options.admin, handler);
    asio::co_spawn(io, engine.sample_load(), asio::detached);
    run_until_signal(io);
}

void add_speed(CLI::App& command, engine_options& options)
{
    command.add_option("--token-ms", options.token_ms,
        "Time per token of a stream that runs alone");
    command.add_option("--batch-slope", options.batch_slope,
        "Relative growth of the time per token with each further stream");
    command.add_option("--prefill-us-per-token", options.prefill_us_per_token,
        "Time per prompt token that is not cached");
    command.add_option(
        "--max-batch", options.max_batch, "Streams that run concurrently");
    command.add_option("--cache-entries", options.cache_entries,
        "Blocks of 64 prompt bytes in the prefix cache");
    command.add_option(
        "--keep-streams", options.keep_streams, "Streams kept for a resume");
    command.add_option("--report-lag-ms", options.report_lag_ms,
        "Interval at which the reported load is refreshed");
}

void add_memory(CLI::App& command, engine_options& options)
{
    command.add_option("--model", options.models,
        "Model resident from the start, name:version:bytes; repeatable");
    command.add_option(
        "--capacity-bytes", options.capacity_bytes, "Accelerator memory");
    command.add_option("--honours-fencing", options.honours_fencing,
        "Refuse commands with an old fencing number: true or false");
    command.add_flag("--refuse-overcommit", options.refuse_overcommit,
        "Answer 507 instead of counting an overcommit");
    command.add_option("--load-bytes-per-second", options.load_bytes_per_second,
        "Speed of a load without weight store");
    command.add_option("--weight-store", options.weight_store,
        "Address of the weight store, ip:port");
    command.add_option(
        "--unload-ms", options.unload_ms, "Time that an unload takes");
    command.add_option("--adapters-in-flight", options.adapters_in_flight,
        "Adapter loads in flight beyond which they take longer");
}

} // namespace

void add_engine(CLI::App& app)
{
    auto* command = app.add_subcommand("engine",
        "Model engine with continuous batching, a prefix cache, streams that "
        "can be resumed, and commands that change its memory.");
    command->option_defaults()->always_capture_default();
    auto options = std::make_shared<engine_options>();
    command->add_option("--listen", options->listen, "Address, ip:port");
    command->add_option(
        "--admin", options->admin, "Separate address of the admin interface");
    add_speed(*command, *options);
    add_memory(*command, *options);
    command->footer(
        "Admin: GET /admin/seen, GET /admin/counts, POST /admin/restart, POST "
        "/admin/faults with any of {leaving, slow_factor, silent, "
        "lose_command_answers, delay_command_answers, "
        "command_answer_delay_ms, execution_delay_ms, crossed_answers, "
        "cut_streams, stall_streams, duplicate_events, skip_events, at_event, "
        "close_mid_body}. Counters apply to the next N requests; at_event is "
        "the offset at which the stream faults strike.");
    command->callback([options] { run_engine(*options); });
}

} // namespace tarragonquay::standins
