#pragma once

#include <utility>

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "common/error.hpp"
#include "endpoints/http_connection.hpp"

namespace tarragonquay::ingress
{

/// A complete HTTP answer to a caller that is not streamed.
struct caller_answer
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<endpoints::header> headers;
    std::string body;
};

/// Sends the answer to one request: either with respond(), or with
/// begin_stream(), write_stream() and end_stream(). The functions fail with
/// cancelled when the caller has closed the connection.
class responder
{
public:
    virtual ~responder() = default;

    virtual boost::asio::awaitable<result<void>> respond(
        caller_answer answer) = 0;
    virtual boost::asio::awaitable<result<void>> begin_stream() = 0;
    virtual boost::asio::awaitable<result<void>> write_stream(
        std::string part) = 0;
    virtual boost::asio::awaitable<result<void>> end_stream() = 0;

    virtual bool stream_started() const = 0;
    /// Whether the caller has closed the connection.
    virtual bool caller_gone() = 0;
};

} // namespace tarragonquay::ingress
