#include "endpoints/cold_time.hpp"

#include <charconv>
#include <cmath>
#include <string>

namespace tarragonquay::endpoints
{

result<std::chrono::milliseconds> parse_cold_time(std::string_view value)
{
    constexpr std::size_t quoted_bytes = 40;
    double out = 0;
    const auto* end = value.data() + value.size();
    const auto parsed =
        std::from_chars(value.data(), end, out, std::chars_format::fixed);
    // A sign, "inf" and "nan" are excluded by the first character.
    const bool begins_with_digit =
        !value.empty() && value.front() >= '0' && value.front() <= '9';
    if (!begins_with_digit || parsed.ec != std::errc() || parsed.ptr != end ||
        out > max_cold_ms)
        return fail(error_code::malformed_message,
            "not a number of milliseconds: " +
                std::string(value.substr(0, quoted_bytes)));
    return std::chrono::milliseconds(std::llround(std::ceil(out)));
}

} // namespace tarragonquay::endpoints
