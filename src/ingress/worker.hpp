#pragma once

#include <utility>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "common/log.hpp"
#include "endpoints/http_exchange.hpp"
#include "ingress/server.hpp"

namespace tarragonquay::ingress
{

/// Counts running activities and calls handlers when none is left. Thread-safe.
class activity_counter
{
public:
    void begin();
    void end();
    /// Calls the handler once no activity is running, possibly at once.
    void when_idle(std::function<void()> handler);

private:
    std::mutex mutex_;
    std::size_t running_ = 0;
    std::vector<std::function<void()>> waiting_;
};

/// State that is shared by all threads of the server.
struct server_shared
{
    server_settings settings;
    server_services services;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> connections{0};
    /// Connections above the limit that are being answered with an error.
    std::atomic<std::size_t> refusals{0};
    /// Bytes reserved for bodies that are being read or processed.
    std::atomic<std::size_t> body_bytes{0};
    /// Connections on which a request is being served or may still arrive, and
    /// the accept loop.
    activity_counter activities;
    log::logger logger = log::make_logger("ingress");
};

/// Requests of one thread that end when the time of a stop is over. Used on
/// that thread only.
class stop_listeners
{
public:
    using handler = std::function<void()>;

    /// Calls the handler, at most once, on the thread of the listeners. Must
    /// not be made after the notification.
    class subscription
    {
    public:
        subscription(stop_listeners& all, handler on_stop);
        ~subscription();
        subscription(const subscription&) = delete;
        subscription& operator=(const subscription&) = delete;

    private:
        friend class stop_listeners;
        stop_listeners& all_;
        handler on_stop_;
    };

    /// Calls all handlers.
    void notify();
    bool notified() const { return notified_; }

private:
    std::set<subscription*> listeners_;
    bool notified_ = false;
};

/// State of one thread that serves connections.
struct worker
{
    std::shared_ptr<server_shared> shared;
    boost::asio::any_io_executor executor;
    endpoints::connection_pool pool;
    /// Sockets of connections that wait for the first byte of a request.
    std::set<boost::asio::ip::tcp::socket*> idle;
    /// Set by close_idle(): connections no longer wait for further requests.
    bool closing_idle = false;
    /// Requests that wait inside the daemon. They are refused when the time of
    /// a stop is over.
    stop_listeners waiting;
    /// Requests that are being served. Those without an answer get one shortly
    /// after `waiting` was notified, which leaves time for a more precise one.
    stop_listeners serving;

    /// Makes idle connections stop waiting and close; a connection on which a
    /// request has arrived serves it first. Must run on the worker's thread.
    void close_idle();

    const server_services& services() const { return shared->services; }
};

} // namespace tarragonquay::ingress
