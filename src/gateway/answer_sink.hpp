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

/// A whole answer to a caller.
struct whole_answer
{
    int status = 200;
    std::vector<endpoints::header> headers;
    std::string body;
};

/// Where the answer of one request goes: respond(), or begin_stream(),
/// write_stream() and end_stream(). Failures mean that the caller has gone.
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

    /// Whether the caller has closed its connection.
    virtual bool caller_gone() const = 0;
    /// Calls the handler once when the caller goes; replaces an earlier one.
    /// An empty handler ends that.
    virtual void on_caller_gone(std::function<void()> handler) = 0;
};

} // namespace tarragonquay::gateway
