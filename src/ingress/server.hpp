#pragma once

#include <utility>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "catalog/snapshot.hpp"
#include "events/recorder.hpp"
#include "ingress/control_port.hpp"
#include "metrics/registry.hpp"
#include "orders/order_types.hpp"

namespace tarragonquay::ingress
{

/// Records of non-idempotent calls; see orders::order_book. Handlers run on
/// any thread and are called exactly once.
struct order_port
{
    using done_handler = std::function<void(result<void>)>;

    std::function<void(
        orders::order_call, std::function<void(result<orders::begin_outcome>)>)>
        begin;
    std::function<result<void>(const orders::dispatch_permit&)> check;
    std::function<void(
        orders::dispatch_permit, orders::order_answer, done_handler)>
        complete;
    std::function<void(orders::dispatch_permit, done_handler)> mark_unknown;
    std::function<void(orders::dispatch_permit, done_handler)> mark_not_run;
};

struct server_settings
{
    /// "ip:port"; port 0 takes a free one.
    std::string listen_address;
    std::string availability_zone;
    std::size_t max_connections = 4096;
    /// Bodies of all requests together. Without it, the connections could
    /// hold 8 MiB each, far more than the 256 MB of an instance.
    std::size_t max_body_bytes = 128UL << 20U;
    duration header_limit = std::chrono::seconds(10);
    duration body_limit = std::chrono::seconds(30);
    duration idle_limit = std::chrono::seconds(60);
    /// Longest time for a caller to take a part of an answer.
    duration write_limit = std::chrono::seconds(30);
    /// Deadline of requests without X-Deadline-Ms.
    duration default_deadline = std::chrono::seconds(60);
    /// Longest wait for the first byte of an idempotent call's answer on a
    /// new connection, as long as the call can be sent again. A service that
    /// takes longer gets the call up to three times, so this is well above
    /// the time of a usual lookup.
    duration resend_after = std::chrono::seconds(4);
    /// How long callers may keep an answer of GET /v1/entries.
    duration entries_keep = std::chrono::seconds(10);
};

/// What the server uses; everything outlives the server.
struct server_services
{
    const catalog::published_state* state = nullptr;
    control_port control;
    order_port orders;
    events::recorder* events = nullptr;
    metrics::registry* metrics = nullptr;
    /// What the instance is waiting for, for /healthz; empty when ready.
    std::function<std::string()> waiting_for;
};

/// HTTP server for callers. Connections are spread over the executors, each
/// of which must be run by one thread.
class server
{
public:
    /// Listens at once; connections are accepted after start().
    static result<std::unique_ptr<server>> create(
        std::vector<boost::asio::any_io_executor> executors,
        server_settings settings, server_services services);
    /// The executors' contexts must not run any more.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Port that the server listens on.
    unsigned short port() const;

    void start();
    /// Takes no new connections. Requests on open connections are served and
    /// answered with `Connection: close`; connections on which none arrives
    /// shortly are closed.
    void stop_accepting();
    /// Calls the handler once no request is running or can arrive. Call it
    /// after stop_accepting().
    void wait_until_idle(std::function<void()> handler);

private:
    struct implementation;
    explicit server(std::shared_ptr<implementation> impl);

    std::shared_ptr<implementation> implementation_;
};

} // namespace tarragonquay::ingress
