#include <utility>

#include <sys/prctl.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "standins/http.hpp"
#include "standins/programs.hpp"

namespace tarragonquay::standins
{
namespace
{

void become(std::vector<std::string>& command)
{
    // The setting outlasts execv. It refers to the thread that started this
    // process.
    if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0)
        throw std::runtime_error(std::strerror(errno));
    // A parent that ended before the call above sends no signal.
    const int parent = expected_parent_pid();
    if (parent != 0 && getppid() != parent)
        throw std::runtime_error("the parent has ended");
    std::vector<char*> raw;
    raw.reserve(command.size() + 1);
    for (auto& argument : command)
        raw.push_back(argument.data());
    raw.push_back(nullptr);
    execv(raw.front(), raw.data());
    throw std::runtime_error(
        "cannot run " + command.front() + ": " + std::strerror(errno));
}

} // namespace

void add_exec(CLI::App& app)
{
    auto* command = app.add_subcommand("exec",
        "Replaces this process by another program, which the kernel kills "
        "when the thread that started this process ends. For programs "
        "without --parent-pid.");
    auto words = std::make_shared<std::vector<std::string>>();
    command->add_option("command", *words, "-- PROGRAM ARGUMENT...")
        ->required();
    command->callback([words] { become(*words); });
}

} // namespace tarragonquay::standins
