#pragma once

#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Compares the queue disciplines while one workspace sends five times its
/// rate and four stay within theirs.
result<table> run_fairness(const options& settings);

} // namespace tarragonquay::experiment
