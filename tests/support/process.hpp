#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragonquay::test_support
{

using milliseconds = std::chrono::milliseconds;

/// Polls until the condition holds; false when the time is over.
bool eventually(const std::function<bool()>& condition,
    milliseconds time = milliseconds(10'000));

/// A loopback port that no other test and no outgoing connection uses.
int free_port();

/// "127.0.0.1:<port>".
std::string loopback(int port);

/// Path of a program in the folder that TQ_BIN_DIR names.
std::string program_path(const std::string& program);

/// Exit code and output of a program that ran to its end.
struct run_outcome
{
    int exit_code = -1;
    std::string output;
    std::string errors;
};

/// A child process in its own process group.
///
/// The destructor ends the process. It prints the last lines of the output
/// when a test failure is being unwound.
class process
{
public:
    /// Starts a program of TQ_BIN_DIR; throws when that fails.
    static std::unique_ptr<process> start(const std::string& label,
        const std::string& program, std::vector<std::string> arguments);
    /// The same, and the kernel kills the child when the calling thread ends,
    /// so that a killed test program leaves no process behind. Call it on a
    /// thread that outlives the child.
    static std::unique_ptr<process> start_bound(const std::string& label,
        const std::string& program, std::vector<std::string> arguments);
    /// Starts "tq-standin <kind>", which ends with the test program.
    static std::unique_ptr<process> start_standin(
        const std::string& kind, std::vector<std::string> arguments);
    /// Runs a program to its end.
    static run_outcome run(const std::string& program,
        std::vector<std::string> arguments,
        milliseconds time = milliseconds(30'000));

    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Address of the "listening <name> <address>" line; waits for it and
    /// throws when it does not come.
    std::string address(const std::string& name,
        milliseconds time = milliseconds(15'000)) const;
    /// What the process wrote to stdout and stderr so far.
    std::string output() const;
    std::string errors() const;
    bool running();
    /// VmRSS of the process; 0 when it has ended.
    std::int64_t resident_bytes() const;
    /// VmHWM of the process, its largest VmRSS so far; 0 when it has ended.
    std::int64_t peak_resident_bytes() const;
    /// Open file descriptors of the process; 0 when it has ended.
    std::size_t open_descriptors() const;
    /// Exit code after the end, or 128 + signal.
    int exit_code() const { return exit_code_; }

    void send_signal(int signal_number) const;
    /// SIGKILL, and waits for the end.
    void kill();
    /// Waits for the end; false when the time is over.
    bool wait(milliseconds time);
    /// SIGTERM, and waits for the end.
    bool terminate(milliseconds time = milliseconds(10'000));

private:
    process(std::string label, std::string folder);
    std::int64_t status_bytes(const std::string& field) const;
    void spawn(const std::string& program, std::vector<std::string> arguments);

    std::string label_;
    std::string folder_;
    /// More exceptions at the end mean that a test failure is being unwound.
    const int exceptions_at_start_;
    pid_t pid_ = -1;
    bool ended_ = false;
    int exit_code_ = -1;
};

} // namespace tarragonquay::test_support
