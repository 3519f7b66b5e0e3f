#pragma once

#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Compares the limiter policies on the same requests with even, concentrated
/// and moving demand and with failures of instances and of the store.
result<table> run_limits(const options& settings);

} // namespace tarragonquay::experiment
