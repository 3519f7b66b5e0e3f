#pragma once

#include <cstdint>

namespace tarragonquay::placement
{

/// Numbers that the leases of one era of the store may use. A lease changes
/// hands once in some seconds, so an era does not exhaust them.
inline constexpr std::int64_t fencing_numbers_per_era = 1'000'000;

/// All fencing numbers of leases that were acquired in this era are greater, so
/// that none repeats one that a restored store has lost.
constexpr std::int64_t fencing_base(std::int64_t era)
{
    return era * fencing_numbers_per_era;
}

/// Whether a lease with this number was acquired in this era or a later one.
constexpr bool acquired_since(std::int64_t fencing, std::int64_t era)
{
    return fencing > fencing_base(era);
}

} // namespace tarragonquay::placement
