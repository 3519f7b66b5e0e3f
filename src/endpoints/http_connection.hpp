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
    /// answers in order and does not support request ids.
    std::string request_id;
    std::string id_header = "X-Request-Id";
    /// Value of the Host header; the address is used when empty.
    std::string host;
    /// Accepts an answer without a length, whose body ends when the connection
    /// is closed. It is complete only when the server has closed the connection
    /// in order; a reset or a failed write of the request is an error.
    bool allow_close_delimited = false;
    /// Largest number of preceding answers to other requests to skip, such as
    /// a second answer to an earlier request.
    int max_skipped_answers = 0;
    time_point deadline;
    /// Idempotent requests may use a pooled connection and are sent again when
    /// it turns out to be closed or unresponsive.
    bool idempotent = false;
    /// Longest wait for the first byte of an idempotent request's answer on a
    /// new connection before the request is sent again over another one.
    /// Without a value, the request waits until its deadline.
    std::optional<duration> resend_after = std::nullopt;
    /// Called when a connection is open, immediately before the first byte is
    /// written. An error ends the exchange with execution not_run, unless the
    /// request was sent before.
    std::function<result<void>()> before_send;
    /// Largest accepted body of the answer, in bytes.
    std::size_t body_limit = 64UL << 20U;
};

struct answer_head
{
    int status = 0;
    std::vector<header> headers;

    /// Value of the first header with this name, which is compared without
    /// regard to case; empty when there is none.
    std::string find(std::string_view name) const;
    /// Number of headers with this name.
    std::size_t count(std::string_view name) const;
};

/// HTTP/1.1 client connection. Only one coroutine may use it at a time.
class http_connection
{
public:
    /// Fails with connect_failed or deadline_exceeded, always not_run.
    static boost::asio::awaitable<result<http_connection>> open(
        std::string address, time_point deadline);

    /// Whether the address refuses a new connection: no process listens there.
    /// False when it accepts, does not answer in time, or can't be reached.
    static boost::asio::awaitable<bool> is_refused(
        std::string address, time_point deadline);

    http_connection(http_connection&&) noexcept;
    http_connection& operator=(http_connection&&) noexcept;
    ~http_connection();

    /// Sends the request and reads the head of the answer. Any failure has
    /// execution `unknown`, because a part of the request may have arrived.
    /// An answer without the request's id fails with wrong_answer, and one that
    /// violates the protocol with invalid_answer. Interim answers (1xx) are
    /// skipped up to a limit.
    boost::asio::awaitable<result<answer_head>> send(
        const exchange_request& request);

    /// Reads the next part of the body; empty once the body is complete. A body
    /// that ends early fails with incomplete_answer.
    boost::asio::awaitable<result<std::string>> read_some(time_point deadline);

    /// Whether any byte of the current answer has arrived.
    bool answer_started() const;
    /// Whether the server has neither closed the idle connection nor sent
    /// unsolicited bytes.
    bool is_idle();
    /// Idle timeout of the server, from the Keep-Alive header of its latest
    /// answer.
    std::optional<std::chrono::seconds> idle_timeout() const;
    /// Whether the answer was read completely and the connection can be used
    /// for another request. A server that sent an answer to another request may
    /// do so again, so its connection can't.
    bool reusable() const;
    boost::asio::any_io_executor executor() const;
    void close();

private:
    struct implementation;
    explicit http_connection(std::unique_ptr<implementation> impl);
    boost::asio::awaitable<result<answer_head>> read_head(
        const exchange_request& request);
    boost::asio::awaitable<result<void>> read_final_head(
        const exchange_request& request);
    boost::asio::awaitable<result<void>> skip_body(time_point deadline);

    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::endpoints
