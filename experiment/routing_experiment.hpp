#pragma once

#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Compares the choices of an endpoint under lagged reports, with one engine
/// that is slow and one that goes silent.
result<table> run_routing(const options& settings);

} // namespace tarragonquay::experiment
