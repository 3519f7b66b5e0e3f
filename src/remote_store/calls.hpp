#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "store/types.hpp"

namespace tarragonquay::remote_store
{

/// One HTTP call of the store.
struct http_request
{
    std::string method = "GET";
    std::string target;
    std::string body;

    auto operator<=>(const http_request&) const = default;
};

/// A row that has changed; no value when it was erased.
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
    /// Version to continue from.
    std::int64_t version = 0;
    /// More rows follow the last one.
    bool more = false;

    auto operator<=>(const table_changes&) const = default;
};

/// Answer of the store, as read from its connection.
struct http_answer
{
    int status = 0;
    std::string body;

    auto operator<=>(const http_answer&) const = default;
};

/// How calls and answers of a store are written. A decoder fails with
/// store_unavailable when the call certainly had no effect, with not_in_force
/// when the requested history is gone, and with malformed_message.
template <class Codec>
concept store_codec = requires(const std::vector<store::condition>& conditions,
    const std::vector<store::write>& writes, const std::string& text,
    std::int64_t number, const http_answer& reply)
{
    {
        Codec::transact(conditions, writes)
        } -> std::same_as<http_request>;
    {
        Codec::decode_transact(reply)
        } -> std::same_as<result<store::transact_outcome>>;
    // First key, key after the last one, limit.
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
