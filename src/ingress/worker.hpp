#pragma once

#include <utility>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "common/log.hpp"
#include "endpoints/http_exchange.hpp"
#include "ingress/server.hpp"

namespace tarragonquay::ingress
{

/// Counts running requests and tells when there are none. Thread-safe.
class request_counter
{
public:
    void begin();
    void end();
    /// Calls the handler once no request is running.
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
    request_counter requests;
    log::logger logger = log::make_logger("ingress");
};

/// Traffic state of one thread.
struct worker
{
    std::shared_ptr<server_shared> shared;
    boost::asio::any_io_executor executor;
    endpoints::connection_pool pool;

    const server_services& services() const { return shared->services; }
};

} // namespace tarragonquay::ingress
