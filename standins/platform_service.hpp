#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "standins/http.hpp"

namespace tarragonquay::platform
{
class Transact_request;
class Transact_reply;
class Scan_request;
class Scan_reply;
class Read_request;
class Read_reply;
class List_instances_reply;
} // namespace tarragonquay::platform

namespace tarragonquay::standins
{

struct platform_options
{
    std::string listen = "127.0.0.1:0";
    std::string admin = "127.0.0.1:0";
    double list_lag_ms = 0;
    double writes_per_second = 400;
    double reads_per_second = 2000;
    double queue_ms = 1000;
    double loads_per_second = 2;
    int loads_at_once = 5;
    double weight_bytes_per_second = 20e9;
};

/// Spreads operations so that no more than a fixed number start per second.
class rate_queue
{
public:
    explicit rate_queue(double per_second) : per_second_(per_second) {}

    /// Milliseconds until the operation may start, or a negative value when
    /// that is later than the longest wait.
    double reserve(double operations, double longest_wait_ms);

private:
    double per_second_;
    std::chrono::steady_clock::time_point next_{};
};

enum class platform_mode
{
    up,
    down,
    /// Calls neither take effect nor are answered.
    hang,
    slow
};

/// All data of the stand-in platform; used by the io_context's thread only.
class platform_state
{
public:
    explicit platform_state(const platform_options& options);

    void transact(const platform::Transact_request& request,
        platform::Transact_reply& reply);
    void read(
        const platform::Read_request& request, platform::Read_reply& reply);
    void scan(
        const platform::Scan_request& request, platform::Scan_reply& reply);
    void list(platform::List_instances_reply& reply);
    std::map<std::string, std::string>& objects() { return objects_; }

    platform_mode mode() const { return mode_; }
    double slow_ms() const { return slow_ms_; }
    double queue_ms() const { return options_.queue_ms; }
    rate_queue& writes() { return writes_; }
    rate_queue& reads() { return reads_; }
    void count(bool write, double operations);
    void count_refusal() { ++refusals_; }
    /// Whether the answer of this write is to be lost.
    bool consume_lost_answer();

    /// Serves /admin/ and /weights/.
    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer);

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };
    struct listed
    {
        std::string address;
        bool leaving = false;
    };
    using listing = std::map<std::string, listed>;

    http_answer admin(const http_request& request);
    void set_mode(const json& change);
    void set_instance(const json& change);
    json rows(const std::string& prefix) const;
    asio::awaitable<void> load_weights(
        const http_request& request, http_connection& peer);

    platform_options options_;
    std::map<std::string, row> rows_;
    std::int64_t revision_ = 0;
    std::map<std::string, std::string> objects_;
    listing instances_;
    /// Earlier lists by the time until which each was the newest.
    std::map<std::int64_t, listing> old_lists_;
    platform_mode mode_ = platform_mode::up;
    double slow_ms_ = 0;
    int lost_answers_ = 0;
    rate_queue writes_;
    rate_queue reads_;
    rate_queue loads_;
    int loads_running_ = 0;
    std::int64_t loads_done_ = 0;
    std::int64_t read_count_ = 0;
    std::int64_t write_count_ = 0;
    std::int64_t refusals_ = 0;
};

/// The gRPC server over the state; runs all work on the io_context.
class platform_server
{
public:
    static result<std::unique_ptr<platform_server>> open(
        asio::io_context& io, platform_state& state, const std::string& listen);
    ~platform_server();

    /// Bound address, which differs when the port is 0.
    const std::string& address() const { return address_; }

private:
    struct parts;
    platform_server(std::unique_ptr<parts> inner, std::string address);

    std::unique_ptr<parts> parts_;
    std::string address_;
};

} // namespace tarragonquay::standins
