#include "common/plain_name.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace tarragonquay
{

namespace
{

constexpr std::uint32_t invalid_code_point = 0xffffffff;

/// Bytes of a code point in UTF-8, told by the upper bits of the first one.
struct sequence
{
    std::uint32_t mask;
    std::uint32_t prefix;
    std::size_t size;
    std::uint32_t lowest;
};

constexpr std::array<sequence, 4> sequences{{{0x80, 0x00, 1, 0},
    {0xe0, 0xc0, 2, 0x80}, {0xf0, 0xe0, 3, 0x800}, {0xf8, 0xf0, 4, 0x10000}}};

bool is_control(std::uint32_t code)
{
    return code < 0x20 || (code >= 0x7f && code < 0xa0);
}

// Removes the first code point; returns invalid_code_point when the bytes are
// not valid UTF-8.
std::uint32_t take_code_point(std::string_view& text)
{
    const auto first = static_cast<unsigned char>(text.front());
    const auto found = std::find_if(sequences.begin(), sequences.end(),
        [first](const sequence& each)
        { return (first & each.mask) == each.prefix; });
    if (found == sequences.end() || text.size() < found->size)
        return invalid_code_point;
    std::uint32_t code = first & ~found->mask & 0xffU;
    for (std::size_t i = 1; i < found->size; ++i)
    {
        const auto next = static_cast<unsigned char>(text[i]);
        if ((next & 0xc0U) != 0x80)
            return invalid_code_point;
        code = code << 6U | (next & 0x3fU);
    }
    text.remove_prefix(found->size);
    const bool surrogate = code >= 0xd800 && code < 0xe000;
    if (code < found->lowest || code > 0x10ffff || surrogate)
        return invalid_code_point;
    return code;
}

} // namespace

bool is_plain_text(std::string_view text)
{
    if (text.size() > max_name_bytes)
        return false;
    while (!text.empty())
    {
        const auto code = take_code_point(text);
        if (code == invalid_code_point || is_control(code))
            return false;
    }
    return true;
}

bool is_plain_name(std::string_view text)
{
    return !text.empty() && is_plain_text(text);
}

} // namespace tarragonquay
