#pragma once

#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Compares the planners while demand moves tenfold between models, on fewer
/// accelerators than models.
result<table> run_placement(const options& settings);

} // namespace tarragonquay::experiment
