#include "common/base64.hpp"

#include <algorithm>

#include <openssl/evp.h>

namespace tarragonquay
{

namespace
{

constexpr std::size_t group_chars = 4;
constexpr std::size_t group_bytes = 3;
constexpr std::size_t max_padding = 2;

bool is_base64_char(char each)
{
    return (each >= 'A' && each <= 'Z') || (each >= 'a' && each <= 'z') ||
           (each >= '0' && each <= '9') || each == '+' || each == '/';
}

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
    // OpenSSL skips white space at both ends and takes padding anywhere.
    const auto last = text.find_last_not_of('=');
    const auto chars = last == std::string_view::npos ? 0 : last + 1;
    const auto padding = text.size() - chars;
    if (text.size() % group_chars != 0 || padding > max_padding ||
        !std::all_of(text.begin(),
            text.begin() + static_cast<std::ptrdiff_t>(chars), is_base64_char))
        return fail(error_code::malformed_message, "invalid base64");
    std::string out(text.size() / group_chars * group_bytes, '\0');
    const auto size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
            reinterpret_cast<const unsigned char*>(text.data()),
            static_cast<int>(text.size()));
    if (size != static_cast<int>(out.size()))
        return fail(error_code::malformed_message, "invalid base64");
    // OpenSSL counts the padding as zero bytes.
    out.resize(out.size() - padding);
    return out;
}

} // namespace tarragonquay
