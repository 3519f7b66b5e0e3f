#pragma once

#include <utility>

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "common/error.hpp"
#include "endpoints/http_connection.hpp"

namespace tarragonquay::gateway
{

/// A complete answer to a caller.
struct whole_answer
{
    int status = 200;
    std::vector<endpoints::header> headers;
    std::string body;
};

/// Receives the answer to one request: either a single respond(), or
/// begin_stream(), write_stream() calls and end_stream(). A failure means that
/// the caller has closed its connection.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    virtual boost::asio::awaitable<result<void>> respond(
        whole_answer answer) = 0;
    virtual boost::asio::awaitable<result<void>> begin_stream(
        endpoints::answer_head head) = 0;
    virtual boost::asio::awaitable<result<void>> write_stream(
        std::string events) = 0;
    virtual boost::asio::awaitable<result<void>> end_stream() = 0;

    /// Whether a byte of the answer may have been sent.
    virtual bool answer_begun() const = 0;
    /// Whether the caller has closed its connection.
    virtual bool caller_gone() const = 0;
    /// Sets the handler that is called once when the caller closes its
    /// connection. Replaces an earlier handler; an empty one removes it.
    virtual void on_caller_gone(std::function<void()> handler) = 0;
};

} // namespace tarragonquay::gateway
