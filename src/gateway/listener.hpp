#pragma once

#include <utility>

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "common/error.hpp"

namespace tarragonquay::gateway
{

/// Accepts connections on one address.
class tcp_listener
{
public:
    using connection_handler =
        std::function<void(boost::asio::ip::tcp::socket)>;

    /// Starts to listen on `address`, "ip:port". Fails with invalid_settings.
    static result<std::unique_ptr<tcp_listener>> create(
        boost::asio::io_context& io, const std::string& address,
        connection_handler on_connection);

    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// Stops accepting connections.
    void close();

private:
    struct implementation;
    explicit tcp_listener(std::shared_ptr<implementation> impl);

    // Shared with the pending accept.
    std::shared_ptr<implementation> implementation_;
};

/// Answer to a GET request.
struct text_answer
{
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Serves GET requests on a connection until it is closed or idle.
void serve_get_requests(boost::asio::ip::tcp::socket socket,
    std::function<text_answer(std::string target)> answer);

} // namespace tarragonquay::gateway
