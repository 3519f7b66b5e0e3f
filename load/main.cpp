#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>

#include "load/generator.hpp"

namespace
{

using namespace tarragonquay::load;

struct flags
{
    run_options run;
    scenario plan;
    workspace_load single;
    std::string scenario_path;
    std::string json_path;
    std::string output = "text";
    int accelerators = 1;
};

void add_options(CLI::App& app, flags& given)
{
    app.option_defaults()->always_capture_default();
    app.add_option("--entry", given.run.entries,
        "Entry address to ask for /v1/entries, ip:port; repeatable");
    app.add_option("--direct", given.run.direct,
        "Sends straight to this engine or service instead, ip:port");
    app.add_option("--availability-zone", given.run.availability_zone,
        "Zone of the callers");
    app.add_option("--duration", given.run.duration_s, "Seconds of arrivals");
    app.add_option("--max-requests", given.run.max_requests,
        "Stops the arrivals after this many");
    app.add_option("--max-in-flight", given.run.max_in_flight,
        "Arrivals beyond this are counted and not sent");
    app.add_option("--scenario", given.scenario_path,
        "YAML file with seed and workspaces; replaces the flags below");
    app.add_option("--seed", given.plan.seed, "Seed of the arrivals");
    app.add_option("--workspace", given.single.name, "Name of the workspace");
    app.add_option("--key", given.single.key, "Key of the workspace");
    app.add_option(
        "--rate", given.single.requests_per_second, "Arrivals per second");
    app.add_option("--model", given.single.models,
        "Model; repeatable, the first is the most frequent");
    app.add_option("--zipf", given.single.zipf_exponent,
        "Exponent of the models' weights by rank");
    app.add_option("--prompt-bytes", given.single.prompt_bytes.highest,
        "Longest prompt; the shortest is 1 byte");
    app.add_option("--max-tokens", given.single.max_tokens.highest,
        "Longest answer; the shortest is 1 token");
    app.add_option("--stream", given.single.stream, "true or false");
    app.add_option(
        "--priority", given.single.priority, "interactive, normal or batch");
    app.add_option(
        "--deadline-ms", given.single.deadline_ms, "Deadline of each request");
    app.add_option("--order-share", given.single.order_share,
        "Share of the arrivals that are orders");
    app.add_option("--service", given.single.service, "Service of the orders");
    app.add_option("--accelerators", given.accelerators,
        "Accelerators of the deployment, for attainment per accelerator");
    app.add_option("--json", given.json_path, "Also writes the JSON report");
    app.add_option("--output", given.output, "Report on stdout")
        ->check(CLI::IsMember({"text", "json"}));
}

/// The scenario of the file, or the single workspace of the flags.
tarragonquay::result<scenario> chosen_scenario(flags& given)
{
    using tarragonquay::error_code;
    if (given.run.entries.empty() == given.run.direct.empty())
        return tarragonquay::fail(
            error_code::invalid_argument, "give either --entry or --direct");
    if (!given.scenario_path.empty())
        return read_scenario(given.scenario_path);
    auto& single = given.single;
    if (single.models.empty() && single.order_share < 1)
        return tarragonquay::fail(
            error_code::invalid_argument, "give --model or --scenario");
    if (single.requests_per_second <= 0 || single.deadline_ms <= 0 ||
        single.prompt_bytes.highest < 1 || single.max_tokens.highest < 1)
        return tarragonquay::fail(error_code::invalid_argument,
            "rate, deadline and sizes must be positive");
    single.prompt_bytes.lowest = single.max_tokens.lowest = 1;
    given.plan.workspaces = {single};
    return given.plan;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Sends open-loop load and reports latencies, attainment, "
                 "refusals and the completeness of each answer. Exit code 0 "
                 "when the run ended, whatever the answers were."};
    flags given;
    add_options(app, given);
    CLI11_PARSE(app, argc, argv);
    const auto plan = chosen_scenario(given);
    if (!plan)
    {
        std::cerr << "tq-load: " << plan.error().message() << '\n';
        return 2;
    }
    boost::asio::io_context io(1);
    report results;
    generator load(io, *plan, given.run, results);
    load.start();
    io.run();
    const auto json = results.to_json(given.run.duration_s, given.accelerators);
    if (!given.json_path.empty())
        std::ofstream(given.json_path) << json.dump(2) << '\n';
    if (given.output == "json")
        std::cout << json.dump(2) << '\n';
    else
        std::cout << report::to_text(json);
    return 0;
}
