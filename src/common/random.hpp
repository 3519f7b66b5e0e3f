#pragma once

#include <string>

namespace tarragonquay
{

/// A new random id of 32 hex digits, unique over all processes.
std::string unique_id();

} // namespace tarragonquay
