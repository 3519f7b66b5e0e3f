#pragma once

#include <iosfwd>

#include "ctl/options.hpp"

namespace tarragonquay::ctl
{

/// Parses the command line, runs the command and prints results to `out` and
/// errors to `err`.
exit_code run(
    int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace tarragonquay::ctl
