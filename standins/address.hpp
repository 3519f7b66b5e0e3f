#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "common/error.hpp"

namespace tarragonquay::standins
{

/// Reads "ip:port".
result<boost::asio::ip::tcp::endpoint> parse_address(const std::string& text);

/// Writes "ip:port".
std::string address_text(const boost::asio::ip::tcp::endpoint& endpoint);

/// A listening acceptor on "ip:port"; port 0 picks a free one.
result<boost::asio::ip::tcp::acceptor> open_acceptor(
    boost::asio::io_context& io, const std::string& address);

} // namespace tarragonquay::standins
