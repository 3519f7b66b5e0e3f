#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "store/store_version.hpp"
#include "store/types.hpp"

namespace tarragonquay::remote_store
{

/// HTTP request to the store.
struct http_request
{
    std::string method = "GET";
    std::string target;
    std::string body;

    auto operator<=>(const http_request&) const = default;
};

/// Changed row; it has no value when it was erased. Its version is one of the
/// era of the changes that it is part of.
struct changed_row
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t version = 0;

    auto operator<=>(const changed_row&) const = default;
};

/// All rows of a table, or its changes after a version.
struct table_changes
{
    std::vector<changed_row> rows;
    /// Version from which to request further changes.
    std::int64_t version = 0;
    /// Whether rows follow after the last one of this page.
    bool more = false;
    /// Era of the store in which they were read.
    std::int64_t era = 0;

    store::store_version at() const { return {era, version}; }

    auto operator<=>(const table_changes&) const = default;
};

/// HTTP answer of the store.
struct http_answer
{
    int status = 0;
    std::string body;
    /// Value of the header field that tells the era; empty when there is none.
    std::string era;

    auto operator<=>(const http_answer&) const = default;
};

/// Encodes requests to a store and decodes its answers. A decoder fails with
/// store_unavailable when the request certainly had no effect, with
/// not_in_force when the store no longer has the requested history, and with
/// malformed_message when it can't read the answer.
template <class Codec>
concept store_codec = requires(const std::vector<store::condition>& conditions,
    const std::vector<store::write>& writes, const std::string& text,
    std::int64_t number, const http_answer& reply)
{
    // Name of the header field that tells the era of the store.
    {
        Codec::era_header
        } -> std::convertible_to<std::string_view>;
    // Value of that field; an empty one is era 0.
    {
        Codec::decode_era(text)
        } -> std::same_as<result<std::int64_t>>;
    {
        Codec::transact(conditions, writes)
        } -> std::same_as<http_request>;
    {
        Codec::decode_transact(reply)
        } -> std::same_as<result<store::transact_outcome>>;
    // First key, end of the range (exclusive), limit.
    {
        Codec::scan(text, text, number)
        } -> std::same_as<http_request>;
    {
        Codec::decode_scan(reply)
        } -> std::same_as<result<store::scan_page>>;
    // Table, first key.
    {
        Codec::read_table(text, text)
        } -> std::same_as<http_request>;
    // Table, version, longest wait in milliseconds.
    {
        Codec::follow_table(text, number, number)
        } -> std::same_as<http_request>;
    {
        Codec::decode_table(reply)
        } -> std::same_as<result<table_changes>>;
};

} // namespace tarragonquay::remote_store
