#include "endpoints/request_limit.hpp"

#include <charconv>
#include <string>

namespace tarragonquay::endpoints
{

result<double> parse_request_limit(std::string_view value)
{
    constexpr std::size_t quoted_bytes = 40;
    double out = 0;
    const auto* end = value.data() + value.size();
    // The fixed format excludes exponents; a sign, "inf" and "nan" are excluded
    // by the first character.
    const auto parsed =
        std::from_chars(value.data(), end, out, std::chars_format::fixed);
    const bool begins_with_digit =
        !value.empty() && value.front() >= '0' && value.front() <= '9';
    if (!begins_with_digit || parsed.ec != std::errc() || parsed.ptr != end)
        return fail(error_code::malformed_message,
            "not a number of requests per second: " +
                std::string(value.substr(0, quoted_bytes)));
    return out;
}

} // namespace tarragonquay::endpoints
