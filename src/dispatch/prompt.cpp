#include "dispatch/prompt.hpp"

#include <charconv>

#include <fmt/format.h>

namespace tarragonquay::dispatch
{

namespace
{

// Bounds the work for one request; usual prompts have three parts.
constexpr std::size_t max_parts = 64;
/// Keeps sums over the parts from overflowing.
constexpr std::int64_t max_part_tokens = 1'000'000'000'000;

result<prompt_part> parse_part(std::string_view text)
{
    prompt_part out;
    const auto colon = text.find(':');
    const auto* end = text.data() + text.size();
    if (colon != std::string_view::npos)
    {
        const auto* middle = text.data() + colon;
        const auto id = std::from_chars(text.data(), middle, out.id, 16);
        const auto tokens = std::from_chars(middle + 1, end, out.tokens);
        if (id.ec == std::errc() && id.ptr == middle &&
            tokens.ec == std::errc() && tokens.ptr == end && out.tokens >= 0 &&
            out.tokens <= max_part_tokens)
            return out;
    }
    return fail(error_code::invalid_argument,
        fmt::format("'{}' is not a part of a prompt", text));
}

} // namespace

result<std::vector<prompt_part>> parse_prompt_parts(std::string_view text)
{
    std::vector<prompt_part> out;
    while (!text.empty())
    {
        const auto comma = text.find(',');
        auto part = parse_part(text.substr(0, comma));
        if (!part)
            return tl::unexpected<error>(part.error());
        out.push_back(*part);
        if (out.size() > max_parts)
            return fail(
                error_code::invalid_argument, "the prompt has too many parts");
        text = comma == std::string_view::npos ? std::string_view()
                                               : text.substr(comma + 1);
    }
    return out;
}

} // namespace tarragonquay::dispatch
