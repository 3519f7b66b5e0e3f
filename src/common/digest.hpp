#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragonquay
{

/// Returns the SHA-256 digest in lower-case hex; for secrets and request
/// bodies.
std::string sha256_hex(std::string_view bytes);

/// Fast 64-bit hash (xxHash) for rendezvous hashing; not for secrets.
std::uint64_t fast_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace tarragonquay
