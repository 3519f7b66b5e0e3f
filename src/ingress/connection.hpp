#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "ingress/worker.hpp"

namespace tarragonquay::ingress
{

/// Serves the requests on a connection from a caller until it is closed.
boost::asio::awaitable<void> serve_connection(
    std::shared_ptr<worker> io_worker, boost::asio::ip::tcp::socket socket);

/// Answers 503 without reading a request, and closes the connection.
boost::asio::awaitable<void> refuse_connection(
    std::shared_ptr<worker> io_worker, boost::asio::ip::tcp::socket socket);

} // namespace tarragonquay::ingress
