#pragma once

#include <memory>
#include <optional>
#include <string>

#include "endpoints/http_connection.hpp"

namespace tarragonquay::endpoints
{

/// Idle connections of one thread. Not thread-safe; it must be destroyed
/// before the io_context of its connections. A timer closes connections at
/// their maximum idle age, also when no further request comes.
class connection_pool
{
public:
    /// Connections that are idle for longer may be silently dead.
    static constexpr std::chrono::seconds max_idle_age{5};
    static constexpr std::size_t max_idle_per_endpoint = 8;

    connection_pool();
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// An idle connection to this address, if there is one.
    std::optional<http_connection> take(
        const std::string& address, time_point now);
    /// Keeps a connection whose answer was read completely, for at most the
    /// maximum idle age and well below the idle timeout that its other end
    /// told, so that a request does not cross the close.
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

/// An answer whose body is still to be read.
struct open_answer
{
    http_connection connection;
    answer_head head;
};

/// Sends a request and reads the head of the answer. Failures before a byte
/// could have been written have execution not_run, all others unknown. For an
/// idempotent request, a pooled connection that stays silent is replaced by a
/// new one, and so is a new one after `resend_after`.
boost::asio::awaitable<result<open_answer>> start_exchange(
    connection_pool& pool, const exchange_request& request);

/// A whole exchange; the body is complete or the result is an error.
boost::asio::awaitable<result<exchange_answer>> exchange(
    connection_pool& pool, exchange_request request);

} // namespace tarragonquay::endpoints
