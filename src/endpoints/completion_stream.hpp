#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "endpoints/http_connection.hpp"
#include "endpoints/sse_parser.hpp"

namespace tarragonquay::endpoints
{

struct token_usage
{
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;

    auto operator<=>(const token_usage&) const = default;
};

struct stream_request
{
    std::string address;
    /// JSON body with "stream": true.
    std::string body;
    std::vector<header> headers;
    std::string request_id;
    time_point deadline;
    /// Longest wait for the next event before the stream is resumed.
    duration event_timeout = std::chrono::seconds(2);
    /// Longest wait for the first event, including the time in the engine's
    /// queue.
    duration first_event_timeout = std::chrono::seconds(10);
    /// Largest number of consecutive resumptions without a new event.
    int max_resumes = 4;
    /// See exchange_request::before_send. Called for the first connection only.
    std::function<result<void>()> before_send;
};

struct stream_event
{
    std::int64_t offset = 0;
    std::string data;

    auto operator<=>(const stream_event&) const = default;
};

/// Checks the order of the events of one stream and drops duplicates, over
/// several connections.
class stream_sequence
{
public:
    enum class step
    {
        deliver,
        /// Was delivered before the stream was resumed.
        duplicate,
        done
    };

    /// Marks the next event as the first one of a connection.
    void start_connection() { last_seen_.reset(); }
    /// Fails with wrong_answer on a gap or a repeated or missing id, and
    /// with the engine's code on an error event.
    result<step> accept(const sse_event& event);

    /// Offset of the next event to deliver.
    std::int64_t next_offset() const { return next_offset_; }
    const std::optional<token_usage>& usage() const { return usage_; }

private:
    result<void> read_usage(const std::string& data);

    std::int64_t next_offset_ = 0;
    std::optional<std::int64_t> last_seen_;
    std::optional<token_usage> usage_;
};

/// Streamed completion of an engine. Unresponsive and broken connections are
/// replaced by new ones, which resume at the next event. Only one coroutine may
/// use it at a time, except for abort().
class completion_stream
{
public:
    explicit completion_stream(stream_request request);

    /// Starts the completion at the engine. Execution is not_run when the
    /// connect failed or the engine refused the request.
    boost::asio::awaitable<result<void>> start();

    /// Reads the next event; nothing after [DONE].
    boost::asio::awaitable<result<std::optional<stream_event>>> next();

    /// Makes a running next() or start() fail with this error. Must be called
    /// on the thread that runs the stream.
    void abort(error reason);

    /// Token counts, which the engine reports before [DONE].
    const std::optional<token_usage>& usage() const
    {
        return sequence_.usage();
    }
    std::int64_t delivered_events() const { return sequence_.next_offset(); }

private:
    boost::asio::awaitable<result<void>> resume();
    boost::asio::awaitable<result<std::optional<stream_event>>> read_next();
    std::optional<result<std::optional<stream_event>>> next_parsed_event();
    time_point event_deadline() const;
    void drop_connection();

    const stream_request request_;
    std::optional<http_connection> connection_;
    sse_parser parser_;
    stream_sequence sequence_;
    std::optional<error> abort_reason_;
    int resumes_ = 0;
    bool done_ = false;
};

/// Cancels a stream at the engine over a new connection.
boost::asio::awaitable<result<void>> cancel_stream(
    std::string address, std::string request_id);

} // namespace tarragonquay::endpoints
