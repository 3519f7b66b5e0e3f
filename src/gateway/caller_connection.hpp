#pragma once

#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// Serves the requests of one caller's connection until it is closed.
boost::asio::awaitable<void> serve_caller(
    context& ctx, boost::asio::ip::tcp::socket socket);

/// Answers 503 and closes the connection.
boost::asio::awaitable<void> refuse_caller(
    context& ctx, boost::asio::ip::tcp::socket socket);

/// Logs and counts a request that was read whole and ends without a complete
/// answer although its caller is still there. `details` are further fields of
/// the log line.
void log_unanswered(context& ctx, const std::string& request_id,
    const std::string& reason,
    const nlohmann::ordered_json& details = nlohmann::ordered_json::object());

} // namespace tarragonquay::gateway
