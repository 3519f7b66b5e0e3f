#include "common/digest.hpp"

#include <array>

#include <openssl/evp.h>
#include <xxhash.h>

namespace tarragonquay
{

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
        nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2UL * size);
    for (unsigned int i = 0; i < size; ++i)
    {
        hex.push_back(digits[digest[i] >> 4]);
        hex.push_back(digits[digest[i] & 0x0F]);
    }
    return hex;
}

std::uint64_t fast_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace tarragonquay
