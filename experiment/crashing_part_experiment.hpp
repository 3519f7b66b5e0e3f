#pragma once

#include "experiment/table.hpp"

namespace tarragonquay::experiment
{

/// Measures how soon gateways refuse a prompt part that crashes engines, for
/// several sizes of the fleet and several rules; one mix for each seed.
result<table> run_crashing_part(const options& settings);

/// Measures how many sound requests the same rules refuse or hold back when
/// engines end for other reasons.
result<table> run_ordinary_ends(const options& settings);

} // namespace tarragonquay::experiment
