#include "common/base64.hpp"

#include <openssl/evp.h>

namespace tarragonquay
{

namespace
{

constexpr std::size_t group_chars = 4;
constexpr std::size_t group_bytes = 3;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    const auto groups = (bytes.size() + group_bytes - 1) / group_bytes;
    // OpenSSL also writes a terminating zero.
    std::string out(groups * group_chars + 1, '\0');
    const auto size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()),
            static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

result<std::string> decode_base64(std::string_view text)
{
    std::string out(text.size() / group_chars * group_bytes, '\0');
    const auto size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
            reinterpret_cast<const unsigned char*>(text.data()),
            static_cast<int>(text.size()));
    if (size < 0 || text.size() % group_chars != 0)
        return fail(error_code::malformed_message, "invalid base64");
    // OpenSSL counts the padding as zero bytes.
    out.resize(static_cast<std::size_t>(size));
    for (auto it = text.rbegin(); it != text.rend() && *it == '='; ++it)
        out.pop_back();
    return out;
}

} // namespace tarragonquay
