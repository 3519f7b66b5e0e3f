#include "support/process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace tarragonquay::test_support
{
namespace
{

std::string file_text(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string tail(const std::string& text)
{
    constexpr int most_lines = 40;
    auto start = text.size();
    for (int lines = 0; start > 0 && lines <= most_lines; --start)
        lines += text[start - 1] == '\n' ? 1 : 0;
    return text.substr(start);
}

std::string new_folder()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "tq-test-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary folder");
    return path;
}

} // namespace

bool eventually(const std::function<bool()>& condition, milliseconds time)
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

namespace
{

/// Binds a loopback port; the descriptor, or -1 when the port is in use.
int bind_port(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address),
            sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

constexpr int ports_per_block = 64;

/// First port of a block that belongs to this process until it ends: its
/// first port stays bound. The ports lie below those that the system gives to
/// outgoing connections, so that nothing takes the port of a daemon that is
/// down before its restart.
int claim_block()
{
    constexpr int first_port = 20'000;
    constexpr int end_port = 32'768;
    for (int port = first_port; port + ports_per_block <= end_port;
         port += ports_per_block)
        if (bind_port(port) >= 0)
            return port;
    throw std::runtime_error("no free loopback port");
}

} // namespace

int free_port()
{
    static int block = claim_block();
    static int used = 0;
    for (;;)
    {
        if (++used == ports_per_block)
        {
            block = claim_block();
            used = 1;
        }
        const int descriptor = bind_port(block + used);
        if (descriptor < 0)
            continue;
        close(descriptor);
        return block + used;
    }
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string program_path(const std::string& program)
{
    const char* folder = std::getenv("TQ_BIN_DIR");
    if (folder == nullptr)
        throw std::runtime_error("TQ_BIN_DIR is not set");
    return std::string(folder) + "/" + program;
}

process::process(std::string label, std::string folder)
    : label_(std::move(label)),
      folder_(std::move(folder)),
      exceptions_at_start_(std::uncaught_exceptions())
{
}

std::unique_ptr<process> process::start(const std::string& label,
    const std::string& program, std::vector<std::string> arguments)
{
    std::unique_ptr<process> child(new process(label, new_folder()));
    child->spawn(program, std::move(arguments));
    return child;
}

std::unique_ptr<process> process::start_bound(const std::string& label,
    const std::string& program, std::vector<std::string> arguments)
{
    std::vector<std::string> all = {"--parent-pid", std::to_string(getpid()),
        "exec", "--", program_path(program)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return start(label, "tq-standin", std::move(all));
}

std::unique_ptr<process> process::start_standin(
    const std::string& kind, std::vector<std::string> arguments)
{
    std::vector<std::string> all = {
        "--parent-pid", std::to_string(getpid()), kind};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return start(kind, "tq-standin", std::move(all));
}

run_outcome process::run(const std::string& program,
    std::vector<std::string> arguments, milliseconds time)
{
    const auto child = start(program, program, std::move(arguments));
    if (!child->wait(time))
        child->kill();
    return {child->exit_code(), child->output(), child->errors()};
}

void process::spawn(
    const std::string& program, std::vector<std::string> arguments)
{
    const std::string path = program_path(program);
    arguments.insert(arguments.begin(), path);
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        raw.push_back(argument.data());
    raw.push_back(nullptr);

    const std::string out = folder_ + "/stdout";
    const std::string err = folder_ + "/stderr";
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(
        &files, STDOUT_FILENO, out.c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(
        &files, STDERR_FILENO, err.c_str(), flags, 0600);
    posix_spawnattr_t attributes{};
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    posix_spawnattr_setpgroup(&attributes, 0);
    const int failure = posix_spawn(
        &pid_, path.c_str(), &files, &attributes, raw.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    posix_spawnattr_destroy(&attributes);
    if (failure != 0)
    {
        ended_ = true;
        throw std::runtime_error("cannot start " + path);
    }
}

process::~process()
{
    kill();
    if (std::uncaught_exceptions() > exceptions_at_start_)
        std::cerr << "--- last output of " << label_ << " (exit code "
                  << exit_code_ << ")\n"
                  << tail(output()) << tail(errors()) << "---\n";
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string process::address(const std::string& name, milliseconds time) const
{
    const std::string start_of_line = "listening " + name + " ";
    std::string found;
    const bool printed = eventually(
        [&]
        {
            std::istringstream lines(output());
            for (std::string line; std::getline(lines, line);)
                // A line without its newline may still be incomplete.
                if (line.rfind(start_of_line, 0) == 0 && !lines.eof())
                    found = line.substr(start_of_line.size());
            return !found.empty();
        },
        time);
    if (!printed)
        throw std::runtime_error(label_ + " did not print \"" + start_of_line +
                                 "\"; stderr: " + errors());
    return found;
}

std::string process::output() const
{
    return file_text(folder_ + "/stdout");
}

std::string process::errors() const
{
    return file_text(folder_ + "/stderr");
}

bool process::running()
{
    return !wait(milliseconds(0));
}

std::int64_t process::resident_bytes() const
{
    return status_bytes("VmRSS:");
}

std::int64_t process::peak_resident_bytes() const
{
    return status_bytes("VmHWM:");
}

std::int64_t process::status_bytes(const std::string& field) const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; status >> word;)
    {
        std::int64_t kibibytes = 0;
        if (word == field && status >> kibibytes)
            return kibibytes * 1024;
    }
    return 0;
}

std::size_t process::open_descriptors() const
{
    std::error_code failure;
    std::size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(pid_) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, failure), end;
         !failure && entry != end; entry.increment(failure))
        ++count;
    return count;
}

void process::send_signal(int signal_number) const
{
    if (!ended_)
        ::kill(pid_, signal_number);
}

void process::kill()
{
    if (ended_)
        return;
    // The process group is the child's own, so this ends nothing else.
    ::kill(-pid_, SIGKILL);
    wait(milliseconds(10'000));
}

bool process::wait(milliseconds time)
{
    return eventually(
        [this]
        {
            int status = 0;
            if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_)
            {
                ended_ = true;
                exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                               : 128 + WTERMSIG(status);
            }
            return ended_;
        },
        time);
}

bool process::terminate(milliseconds time)
{
    send_signal(SIGTERM);
    return wait(time);
}

} // namespace tarragonquay::test_support
