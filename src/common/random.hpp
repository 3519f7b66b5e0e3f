#pragma once

#include <string>

namespace tarragonquay
{

/// Returns a new random id (UUID) of 32 hex digits, unique across processes.
std::string unique_id();

} // namespace tarragonquay
