#include <functional>
#include <iostream>
#include <map>
#include <string>

#include <CLI/CLI.hpp>

#include "experiment/crashing_part_experiment.hpp"
#include "experiment/evidence_experiment.hpp"
#include "experiment/fairness_experiment.hpp"
#include "experiment/limits_experiment.hpp"
#include "experiment/placement_experiment.hpp"
#include "experiment/plan_times.hpp"
#include "experiment/routing_experiment.hpp"

namespace
{

using tarragonquay::result;
using tarragonquay::experiment::options;
using tarragonquay::experiment::table;

struct experiment
{
    std::string name;
    std::string description;
    std::function<result<table>(const options&)> run;
};

const std::vector<experiment>& experiments()
{
    namespace all = tarragonquay::experiment;
    static const std::vector<experiment> list{
        {"limits", "Limiter policies", all::run_limits},
        {"routing", "Choices of an endpoint", all::run_routing},
        {"fairness", "Queue disciplines", all::run_fairness},
        {"placement", "Planners", all::run_placement},
        {"evidence", "Exchange of crash evidence", all::run_evidence},
        {"crashing-part", "Rules for a prompt part that crashes engines",
            all::run_crashing_part},
        {"ordinary-ends", "The same rules when engines end otherwise",
            all::run_ordinary_ends},
        {"plans", "Real time of one plan", all::run_plan_times},
    };
    return list;
}

} // namespace

// Runs one experiment and prints its table.
int main(int argc, char** argv)
{
    CLI::App app{"Compares policies of tarragonquay on a fake clock."};
    app.require_subcommand(1);
    options settings;
    bool json = false;
    std::map<CLI::App*, const experiment*> by_command;
    for (const auto& each : experiments())
    {
        auto* command = app.add_subcommand(each.name, each.description);
        command->add_option("--seeds", settings.seeds, "Seeds of the runs");
        command->add_option(
            "--seconds", settings.seconds, "Simulated seconds of each run");
        command->add_flag("--json", json, "Print JSON instead of text");
        by_command[command] = &each;
    }
    CLI11_PARSE(app, argc, argv);
    const auto* chosen = by_command.at(app.get_subcommands().front());
    const auto outcome = chosen->run(settings);
    if (!outcome)
    {
        std::cerr << "tq-experiment: " << outcome.error().message() << "\n";
        return 1;
    }
    std::cout << (json ? as_json(*outcome) : as_text(*outcome));
    return 0;
}
