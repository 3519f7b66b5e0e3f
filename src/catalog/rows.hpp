#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "common/error.hpp"
#include "store/client.hpp"

// Keys and values of the configuration rows in the store; internal to the
// catalog.
namespace tarragonquay::catalog::rows
{

inline const std::string head_key = "config/head";
inline const std::string snapshot_pointer_key = "config/snapshot";
inline const std::string log_key_prefix = "config/log/";

/// A larger revision or epoch is rejected as corrupt, so that incrementing one
/// never overflows. At 37,000 changes a day, it is reached after 74 million
/// years.
inline constexpr std::int64_t max_revision = 1'000'000'000'000'000;

/// Zero-padded to 20 digits, so that keys sort by revision.
inline std::string log_key(std::int64_t revision)
{
    return fmt::format("{}{:020}", log_key_prefix, revision);
}

inline std::string operation_key(const std::string& operation_id)
{
    return "config/op/" + operation_id;
}

inline std::string snapshot_object_name(std::int64_t revision)
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
            fmt::format("row {} does not contain a valid revision", key));
    return revision;
}

struct revision_row
{
    std::int64_t revision = 0;
    std::int64_t version = 0;
};

/// Parses a row that contains a revision; returns zeros when there is no row.
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
