#include "endpoints/retry_after.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

namespace tarragonquay::endpoints
{

result<duration> parse_retry_after(std::string_view value)
{
    constexpr double max_seconds = 86'400;
    double seconds = 0;
    const auto* end = value.data() + value.size();
    // The fixed format excludes exponents; a sign, "inf" and "nan" are excluded
    // by the first character.
    const auto parsed =
        std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    const bool begins_with_digit =
        !value.empty() && value.front() >= '0' && value.front() <= '9';
    if (!begins_with_digit || parsed.ec != std::errc() || parsed.ptr != end)
        return fail(error_code::malformed_message,
            "Retry-After is not a number of seconds: " +
                std::string(value.substr(0, 40)));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

} // namespace tarragonquay::endpoints
