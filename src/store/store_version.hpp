#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace tarragonquay::store
{

/// Version of a row or a table. Versions are comparable only within an era: the
/// era rises each time the store is restored from an older copy, and the
/// versions after the copy are assigned again.
struct store_version
{
    /// 0 for a store that does not tell its era.
    std::int64_t era = 0;
    std::int64_t version = 0;

    auto operator<=>(const store_version&) const = default;
};

inline std::ostream& operator<<(std::ostream& to, const store_version& value)
{
    return to << value.era << ':' << value.version;
}

} // namespace tarragonquay::store
