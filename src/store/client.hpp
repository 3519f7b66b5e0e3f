#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "store/types.hpp"

namespace tarragonquay::store
{

/// gRPC client of the platform's table service, object store and instance
/// list. Safe to use from several threads.
class client
{
public:
    /// `address` is "ip:port"; others fail with invalid_argument.
    static result<std::unique_ptr<client>> create(const std::string& address);

    /// Cancels the calls in flight and waits until their handlers have run.
    /// Must not be called from a handler.
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
    /// The result has no value when no object has this name.
    void fetch_object(std::string name, time_point deadline,
        handler<std::optional<std::string>> on_done);
    void list_instances(time_point deadline, handler<instance_list> on_done);

private:
    class implementation;
    explicit client(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::store
