#pragma once

#include <memory>
#include <optional>
#include <string>

#include "endpoints/http_connection.hpp"

namespace tarragonquay::endpoints
{

/// Pool of the idle connections of one thread. Not thread-safe. Must be
/// destroyed before the io_context of its connections. A timer closes
/// connections at their maximum idle age, even when no further request comes.
class connection_pool
{
public:
    /// Connections that are idle for longer may be broken without notice.
    static constexpr std::chrono::seconds max_idle_age{5};
    static constexpr std::size_t max_idle_per_endpoint = 8;

    connection_pool();
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Removes and returns an idle connection to this address, if there is one.
    std::optional<http_connection> take(
        const std::string& address, time_point now);
    /// Keeps a connection whose answer was read completely, for at most the
    /// maximum idle age and half of the server's idle timeout. This avoids
    /// sending a request while the server closes the connection.
    void put(
        const std::string& address, http_connection connection, time_point now);
    /// Closes the idle connections to this address.
    void discard(const std::string& address);

private:
    struct implementation;

    std::shared_ptr<implementation> implementation_;
};

struct exchange_answer
{
    answer_head head;
    std::string body;
};

/// Answer whose body has not been read yet.
struct open_answer
{
    http_connection connection;
    answer_head head;
};

/// Sends a request and reads the head of the answer. Failures before a byte
/// could have been written have execution not_run, all others unknown. For an
/// idempotent request, an unresponsive pooled connection is replaced by a new
/// one, and so is an unresponsive new one after `resend_after`.
boost::asio::awaitable<result<open_answer>> start_exchange(
    connection_pool& pool, const exchange_request& request);

/// Sends a request and reads the complete answer.
boost::asio::awaitable<result<exchange_answer>> exchange(
    connection_pool& pool, exchange_request request);

} // namespace tarragonquay::endpoints
