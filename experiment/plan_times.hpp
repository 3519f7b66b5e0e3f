#pragma once

#include "common/error.hpp"
#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Real time of one plan for regions of several sizes. Unlike the other
/// experiments, the figures depend on the machine.
result<table> run_plan_times(const options& settings);

} // namespace tarragonquay::experiment
