#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "common/error.hpp"

namespace tarragonquay::ctl
{

/// Exit codes of tqctl.
enum class exit_code
{
    ok = 0,
    failed = 1,
    usage = 2,
    conflict = 3,
    /// The change is committed, but a majority has not yet applied it.
    not_in_force = 4,
    /// No answer, or the instance could not determine the outcome.
    unreachable = 5
};

exit_code exit_code_of(error_code code);

enum class output_format
{
    table,
    json
};

/// Options that all subcommands share.
struct global_options
{
    std::string address;
    std::string settings_file;
    std::string ca_file;
    output_format format = output_format::table;
    /// Revision of the entity that the change is based on; -1 for any.
    std::int64_t expected_revision = -1;
    int timeout_ms = 15'000;
};

/// Fills the address and the CA file, which the command line leaves empty,
/// from the environment variable TQCTL_ADDRESS (`environment`, may be null)
/// and then from the settings file.
result<global_options> resolve(global_options given, const char* environment);

} // namespace tarragonquay::ctl
