#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::platform
{

/// A row must have this version; 0 means that it must not exist.
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
    /// When the list was true, by the platform's clock.
    std::int64_t as_of_unix_ms = 0;

    auto operator<=>(const instance_list&) const = default;
};

template <class T>
using handler = std::function<void(result<T>)>;

/// What the slices need from the platform's table service. Handlers may run
/// on any thread. A failed write has the code `store_unavailable` when it
/// certainly had no effect, else `store_outcome_unknown`.
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

/// gRPC client of the platform's table service, object store and instance
/// list. Safe to use from several threads.
class client
{
public:
    /// `address` is "ip:port".
    static result<std::unique_ptr<client>> create(const std::string& address);

    /// Cancels the calls in flight and waits until their handlers have run,
    /// so it must not run inside a handler.
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void transact(std::vector<condition> conditions, std::vector<write> writes,
        time_point deadline, handler<transact_outcome> on_done);
    void read(std::vector<std::string> keys, time_point deadline,
        handler<std::vector<row>> on_done);
    void scan(std::string prefix, std::string after, std::int32_t limit,
        time_point deadline, handler<scan_page> on_done);
    void put_object(std::string name, std::string content, time_point deadline,
        handler<bool> on_done);
    /// No value when there is no object of this name.
    void fetch_object(std::string name, time_point deadline,
        handler<std::optional<std::string>> on_done);
    void list_instances(time_point deadline, handler<instance_list> on_done);

private:
    class implementation;
    explicit client(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::platform
