#pragma once

#include <utility>

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "common/error.hpp"

namespace tarragonquay
{

/// Reads "ip:port". Fails with invalid_argument.
result<boost::asio::ip::tcp::endpoint> parse_socket_address(
    const std::string& text);

/// Writes "ip:port".
std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

/// A listening acceptor on "ip:port"; port 0 picks a free one. Fails with
/// invalid_argument.
result<boost::asio::ip::tcp::acceptor> open_acceptor(
    const boost::asio::any_io_executor& executor, const std::string& address);

} // namespace tarragonquay
