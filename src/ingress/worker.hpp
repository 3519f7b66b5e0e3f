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

/// Counts activities and tells when there are none. Thread-safe.
class activity_counter
{
public:
    void begin();
    void end();
    /// Calls the handler once nothing is running.
    void when_idle(std::function<void()> handler);

private:
    std::mutex mutex_;
    std::size_t running_ = 0;
    std::vector<std::function<void()>> waiting_;
};

/// State that all threads of the server share.
struct server_shared
{
    server_settings settings;
    server_services services;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> connections{0};
    /// Connections beyond the limit that are being answered.
    std::atomic<std::size_t> refusals{0};
    /// Reserved for bodies that are being read or processed.
    std::atomic<std::size_t> body_bytes{0};
    /// Connections that a request is read from or may still arrive on, and
    /// the loop that accepts them.
    activity_counter activities;
    log::logger logger = log::make_logger("ingress");
};

/// Traffic state of one thread.
struct worker
{
    std::shared_ptr<server_shared> shared;
    boost::asio::any_io_executor executor;
    endpoints::connection_pool pool;
    /// Sockets that wait for the first byte of a request.
    std::set<boost::asio::ip::tcp::socket*> idle;
    /// No connection waits for a further request any more.
    bool closing_idle = false;

    /// Ends the waits of idle connections; those with a request that has
    /// arrived serve it. Runs on the worker's thread.
    void close_idle();

    const server_services& services() const { return shared->services; }
};

} // namespace tarragonquay::ingress
