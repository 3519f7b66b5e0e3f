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

/// Functions of orders::order_book, which records non-idempotent calls.
/// Handlers run on any thread and are called exactly once.
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
    /// "ip:port"; port 0 selects a free port.
    std::string listen_address;
    std::string availability_zone;
    std::size_t max_connections = 4096;
    /// Limit for the bodies of all requests in progress together. Without it,
    /// each connection could hold 8 MiB, in total far more than the 256 MB of
    /// an instance.
    std::size_t max_body_bytes = 128UL << 20U;
    duration header_limit = std::chrono::seconds(10);
    duration body_limit = std::chrono::seconds(30);
    duration idle_limit = std::chrono::seconds(60);
    /// Longest time that writing a part of an answer may take.
    duration write_limit = std::chrono::seconds(30);
    /// Deadline of requests without X-Deadline-Ms.
    duration default_deadline = std::chrono::seconds(60);
    /// Longest wait for the first byte of the answer to an idempotent call on a
    /// new connection, while the call can still be sent again. A service that
    /// takes longer receives the call up to three times, so this must be well
    /// above the duration of a usual lookup.
    duration resend_after = std::chrono::seconds(4);
    /// How long callers may keep an answer of GET /v1/entries.
    duration entries_keep = std::chrono::seconds(10);
};

/// Dependencies of the server. Everything must outlive it.
struct server_services
{
    const catalog::published_state* state = nullptr;
    control_port control;
    order_port orders;
    events::recorder* events = nullptr;
    metrics::registry* metrics = nullptr;
    /// Describes what the instance is waiting for, for /healthz; returns an
    /// empty string when it is ready.
    std::function<std::string()> waiting_for;
};

/// HTTP server for callers. Distributes connections over the executors, each of
/// which must be run by exactly one thread.
class server
{
public:
    /// Binds the listening socket; connections are accepted after start().
    /// Fails with invalid_settings.
    static result<std::unique_ptr<server>> create(
        std::vector<boost::asio::any_io_executor> executors,
        server_settings settings, server_services services);
    /// The contexts of the executors must have stopped.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Port that the server listens on.
    unsigned short port() const;

    void start();
    /// Stops accepting connections. Requests on open connections are served and
    /// answered with `Connection: close`; connections that stay idle are closed
    /// after a short delay.
    void stop_accepting();
    /// Refuses waiting requests with `stopping`, and shortly afterwards answers
    /// those that have no answer yet with that error. To be called when the
    /// time of a stop is over, after published_state has said so.
    void end_requests();
    /// Calls the handler once no request is running and none can arrive. To be
    /// called after stop_accepting().
    void wait_until_idle(std::function<void()> handler);

private:
    struct implementation;
    explicit server(std::shared_ptr<implementation> impl);

    std::shared_ptr<implementation> implementation_;
};

} // namespace tarragonquay::ingress
