#pragma once

#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Measures how fast instances agree on crash evidence and how many bytes they
/// exchange, by the size of the fleet and the number of records.
result<table> run_evidence(const options& settings);

} // namespace tarragonquay::experiment
