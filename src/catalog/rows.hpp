#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "common/error.hpp"
#include "store/client.hpp"

// Names and values of the configuration's rows; internal to the slice.
namespace tarragonquay::catalog::rows
{

inline const std::string head = "config/head";
inline const std::string snapshot_pointer = "config/snapshot";
inline const std::string log_prefix = "config/log/";

/// Revisions and epochs beyond this are damaged. The next one must never
/// overflow; 37,000 changes a day reach it in 74 million years.
inline constexpr std::int64_t max_revision = 1'000'000'000'000'000;

/// Twenty digits make the order of the keys that of the revisions.
inline std::string log(std::int64_t revision)
{
    return fmt::format("{}{:020}", log_prefix, revision);
}

inline std::string operation(const std::string& operation_id)
{
    return "config/op/" + operation_id;
}

inline std::string snapshot_object(std::int64_t revision)
{
    return fmt::format("config/snapshot/{}", revision);
}

inline result<std::int64_t> parse_revision(
    const std::string& key, const std::string& text)
{
    std::int64_t revision = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, revision);
    if (parsed.ec != std::errc() || parsed.ptr != end || revision < 0 ||
        revision > max_revision)
        return fail(error_code::malformed_message,
            fmt::format("row {} holds no revision", key));
    return revision;
}

struct revision_row
{
    std::int64_t revision = 0;
    std::int64_t version = 0;
};

/// Reads a row that holds a revision; all zero when there is no such row.
inline result<revision_row> parse_revision_row(
    const std::vector<store::row>& found)
{
    if (found.empty())
        return revision_row{};
    const auto revision =
        parse_revision(found.front().key, found.front().value);
    if (!revision)
        return tl::unexpected(revision.error());
    return revision_row{*revision, found.front().version};
}

} // namespace tarragonquay::catalog::rows
