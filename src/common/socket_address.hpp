#pragma once

#include <utility>

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "common/error.hpp"

namespace tarragonquay
{

/// Parses "ip:port". Fails with invalid_argument.
result<boost::asio::ip::tcp::endpoint> parse_socket_address(
    const std::string& text);

/// Formats an address as "ip:port".
std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

/// Opens a listening acceptor on "ip:port"; port 0 picks a free port. Fails
/// with invalid_argument.
result<boost::asio::ip::tcp::acceptor> open_acceptor(
    const boost::asio::any_io_executor& executor, const std::string& address);

} // namespace tarragonquay
