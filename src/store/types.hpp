#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::store
{

/// Requires that a row has this version; 0 requires that it does not exist.
struct condition
{
    std::string key;
    std::int64_t version = 0;

    auto operator<=>(const condition&) const = default;
};

/// Writes a row, or erases it when there is no value.
struct write
{
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const write&) const = default;
};

struct row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;

    auto operator<=>(const row&) const = default;
};

struct transact_outcome
{
    bool applied = false;
    std::int64_t revision = 0;
    std::string failed_key;
    std::int64_t failed_version = 0;

    auto operator<=>(const transact_outcome&) const = default;
};

struct scan_page
{
    std::vector<row> rows;
    bool more = false;

    auto operator<=>(const scan_page&) const = default;
};

struct listed_instance
{
    std::string id;
    std::string address;
    bool leaving = false;

    auto operator<=>(const listed_instance&) const = default;
};

struct instance_list
{
    std::vector<listed_instance> instances;
    /// Time at which the list was current, by the platform's clock.
    std::int64_t as_of_unix_ms = 0;

    auto operator<=>(const instance_list&) const = default;
};

template <class T>
using handler = std::function<void(result<T>)>;

/// Operations of the platform's table service. Handlers may run on any thread.
/// A failed write has the code `store_unavailable` when it certainly had no
/// effect, else `store_outcome_unknown`.
template <class Store>
concept table_store = requires(Store& store, std::vector<condition> conditions,
    std::vector<write> writes, std::vector<std::string> keys, std::string text,
    time_point deadline, handler<transact_outcome> on_transact,
    handler<std::vector<row>> on_rows, handler<scan_page> on_page)
{
    store.transact(conditions, writes, deadline, on_transact);
    store.read(keys, deadline, on_rows);
    // prefix, after, limit
    store.scan(text, text, 100, deadline, on_page);
};

} // namespace tarragonquay::store
