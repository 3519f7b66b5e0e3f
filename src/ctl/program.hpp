#pragma once

#include <iosfwd>

#include "ctl/options.hpp"

namespace tarragonquay::ctl
{

/// The whole tool: parses the command line, runs the command and prints to
/// the two streams.
exit_code run(int argc, const char* const* argv, std::ostream& out,
    std::ostream& problems);

} // namespace tarragonquay::ctl
