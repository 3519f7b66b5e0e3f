#pragma once

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::endpoints
{

struct header
{
    std::string name;
    std::string value;

    auto operator<=>(const header&) const = default;
};

/// One request to an endpoint.
struct exchange_request
{
    /// IP address and port, "10.0.0.1:9000".
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<header> headers;
    std::string body;
    /// Sent in `id_header`; the answer must echo it. Empty for a server that
    /// answers in order and knows no ids.
    std::string request_id;
    std::string id_header = "X-Request-Id";
    /// Host header; the address when empty.
    std::string host;
    /// Accepts an answer without a length, which ends with its connection. A
    /// connection that is reset still fails the answer.
    bool allow_close_delimited = false;
    /// Skips this many answers of other requests that come first, such as a
    /// second answer to an earlier request.
    int max_skipped_answers = 0;
    time_point deadline;
    /// Idempotent requests may use a pooled connection and be sent again
    /// when it turns out to be closed or silent.
    bool idempotent = false;
    /// Longest wait for the first byte of an idempotent request's answer on a
    /// new connection before the request is sent again over another one.
    /// Nothing for a request that waits until its deadline.
    std::optional<duration> resend_after = std::nullopt;
    /// Called when a connection is open, immediately before the first byte
    /// is written; a failure ends the exchange as not_run.
    std::function<result<void>()> before_send;
    /// Largest accepted body of the answer.
    std::size_t body_limit = 64UL << 20U;
};

struct answer_head
{
    int status = 0;
    std::vector<header> headers;

    /// Value of the first header of this name (any case); empty for none.
    std::string find(std::string_view name) const;
};

/// HTTP/1.1 client connection. Used by one coroutine at a time.
class http_connection
{
public:
    /// Fails with connect_failed or deadline_exceeded, always not_run.
    static boost::asio::awaitable<result<http_connection>> open(
        std::string address, time_point deadline);

    http_connection(http_connection&&) noexcept;
    http_connection& operator=(http_connection&&) noexcept;
    ~http_connection();

    /// Sends the request and reads the head of the answer. Any failure has
    /// execution `unknown`, because a part of the request may have arrived.
    /// An answer without the request's id fails with wrong_answer.
    boost::asio::awaitable<result<answer_head>> send(
        const exchange_request& request);

    /// Next part of the body; empty once the body is complete. A body that
    /// ends early fails with incomplete_answer.
    boost::asio::awaitable<result<std::string>> read_some(time_point deadline);

    /// Whether any byte of the current answer has arrived.
    bool answer_started() const;
    /// Whether the other end has neither closed the idle connection nor sent
    /// bytes that no request asked for.
    bool is_idle();
    /// How long the other end keeps the connection open while it is idle, as
    /// told with its latest answer.
    std::optional<std::chrono::seconds> idle_timeout() const;
    /// Whether another request may be sent after the complete answer.
    bool reusable() const;
    boost::asio::any_io_executor executor() const;
    void close();

private:
    struct implementation;
    explicit http_connection(std::unique_ptr<implementation> parts);
    boost::asio::awaitable<result<answer_head>> read_head(
        const exchange_request& request);
    boost::asio::awaitable<result<void>> skip_body(time_point deadline);

    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::endpoints
