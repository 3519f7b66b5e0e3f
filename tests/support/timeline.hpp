#pragma once

#include <functional>
#include <iostream>

#include "support/deployment.hpp"

namespace tarragonquay::test_support
{

/// Runs a test; when it fails, prints the merged events of a deployment, as
/// seen by one of its running daemons.
inline void with_timeline(
    const deployment& system, std::size_t i, const std::function<void()>& test)
{
    try
    {
        test();
    }
    catch (...)
    {
        const auto events =
            process::run("tqctl", {"--address", system.operator_address(i),
                                      "timeline", "--all", "--limit", "400"});
        std::cerr << "--- time line\n" << events.output << events.errors;
        throw;
    }
}

} // namespace tarragonquay::test_support
