#include "ingress/connection.hpp"

#include <exception>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "common/random.hpp"
#include "common/read_head.hpp"
#include "common/socket_state.hpp"
#include "ingress/http_status.hpp"
#include "ingress/routes.hpp"

namespace tarragonquay::ingress
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint32_t header_limit_bytes = 16U << 10U;
constexpr std::uint64_t body_limit_bytes = 8ULL << 20U;

std::string to_text(const boost::string_view& text)
{
    return {text.data(), text.size()};
}

// Ends an activity that was begun in the counter when the scope is left.
class activity_scope
{
public:
    explicit activity_scope(activity_counter& counter) : counter_(counter) {}
    ~activity_scope() { counter_.end(); }
    activity_scope(const activity_scope&) = delete;
    activity_scope& operator=(const activity_scope&) = delete;

private:
    activity_counter& counter_;
};

// Reserves memory for the body of one request within the limit for all
// requests together.
class body_reservation
{
public:
    explicit body_reservation(server_shared& shared) : shared_(shared) {}
    ~body_reservation() { shared_.body_bytes -= bytes_; }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;

    result<void> reserve(std::size_t bytes)
    {
        if (shared_.body_bytes.fetch_add(bytes) + bytes >
            shared_.settings.max_body_bytes)
        {
            shared_.body_bytes -= bytes;
            return fail(error_code::overloaded,
                "the bodies of the requests in "
                "progress exceed the memory limit");
        }
        bytes_ += bytes;
        return {};
    }

private:
    server_shared& shared_;
    std::size_t bytes_ = 0;
};

// A connection from a caller, which serves its requests in sequence.
class connection : public responder
{
public:
    connection(std::shared_ptr<worker> io_worker, asio::ip::tcp::socket socket)
        : worker_(std::move(io_worker)),
          stream_(std::move(socket)),
          idle_timer_(worker_->executor),
          stop_answer_written_(worker_->executor)
    {
    }

    ~connection() override { *alive_ = false; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    asio::awaitable<void> run()
    {
        co_await serve_requests();
        // Without an answer that announced the close, the caller's next request
        // may arrive, which must not be read and discarded.
        if (close_announced_)
            co_await linger();
    }

    asio::awaitable<void> run_refusal()
    {
        keep_alive_ = false;
        request_id_ = unique_id();
        error cause(
            error_code::overloaded, "the instance has too many connections");
        co_await refuse(std::move(cause));
        co_await linger();
    }

    asio::awaitable<result<void>> respond(caller_answer answer) override
    {
        if (ended_by_stop_)
            co_return answered_already();
        co_return co_await write_answer(std::move(answer));
    }

    asio::awaitable<result<void>> begin_stream() override
    {
        if (ended_by_stop_)
            co_return answered_already();
        stream_started_ = true;
        answer_begun_ = true;
        http::response<http::empty_body> message;
        set_common_fields(message);
        message.set(http::field::content_type, "text/event-stream");
        message.set(http::field::cache_control, "no-cache");
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        boost::system::error_code ec;
        stream_.expires_after(worker_->shared->settings.write_limit);
        co_await http::async_write_header(
            stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
        co_return write_result(ec);
    }

    asio::awaitable<result<void>> write_stream(std::string part) override
    {
        // An empty chunk would end the stream.
        if (part.empty())
            co_return result<void>();
        const auto chunk = http::make_chunk(asio::buffer(part));
        co_return co_await write_buffers(chunk);
    }

    asio::awaitable<result<void>> end_stream() override
    {
        stream_ended_ = true;
        const auto last = http::make_chunk_last();
        co_return co_await write_buffers(last);
    }

    bool stream_started() const override { return stream_started_; }

    bool caller_gone() override
    {
        if (write_failed_ || ended_by_stop_)
            return true;
        return peek_socket(stream_.socket().native_handle()) ==
               socket_state::closed;
    }

private:
    // True from the start of the shutdown, so that callers leave busy
    // connections before idle ones are closed.
    bool stopping() const
    {
        return worker_->shared->stopping ||
               worker_->services().state->stopping();
    }

    template <typename Body>
    void set_common_fields(http::response<Body>& message)
    {
        if (stopping())
            keep_alive_ = false;
        message.version(11);
        message.set("X-Request-Id", request_id_);
        // Set explicitly, because connections are not persistent by default in
        // HTTP/1.0.
        message.set(
            http::field::connection, keep_alive_ ? "keep-alive" : "close");
        close_announced_ = !keep_alive_;
    }

    asio::awaitable<result<void>> write_answer(caller_answer answer)
    {
        http::response<http::string_body> message;
        message.result(static_cast<unsigned>(answer.status));
        set_common_fields(message);
        if (!answer.content_type.empty())
            message.set(http::field::content_type, answer.content_type);
        for (const auto& [name, value] : answer.headers)
            message.insert(name, value);
        // Answers with status 204 or 304 have no body and no Content-Length.
        const bool bodiless = answer.status == 204 || answer.status == 304;
        if (!bodiless)
            message.content_length(answer.body.size());
        if (!bodiless && !head_only_)
            message.body() = std::move(answer.body);
        answer_begun_ = true;
        co_return co_await write(message);
    }

    template <typename Body>
    asio::awaitable<result<void>> write(http::response<Body>& message)
    {
        boost::system::error_code ec;
        stream_.expires_after(worker_->shared->settings.write_limit);
        co_await http::async_write(
            stream_, message, asio::redirect_error(asio::use_awaitable, ec));
        co_return write_result(ec);
    }

    template <typename Buffers>
    asio::awaitable<result<void>> write_buffers(const Buffers& buffers)
    {
        boost::system::error_code ec;
        stream_.expires_after(worker_->shared->settings.write_limit);
        co_await asio::async_write(
            stream_, buffers, asio::redirect_error(asio::use_awaitable, ec));
        co_return write_result(ec);
    }

    result<void> write_result(const boost::system::error_code& ec)
    {
        // Beast reports end_of_stream after writing a message that closes the
        // connection.
        if (!ec || ec == http::error::end_of_stream)
            return {};
        write_failed_ = true;
        keep_alive_ = false;
        return fail(error_code::cancelled, "the caller has gone",
            execution_state::unknown);
    }

    asio::awaitable<void> serve_requests()
    {
        const activity_scope scope(worker_->shared->activities);
        while (keep_alive_)
        {
            // A separate statement, because g++ 12 evaluates a co_await to
            // the right of && in a loop condition even when the left operand
            // is false.
            const bool arrived = co_await wait_for_request();
            if (!arrived)
                break;
            co_await serve_next();
        }
    }

    // Reads and discards input for a while before the socket is closed, after
    // an answer that announced the close. Closing it with unread input resets
    // the connection, which can discard the last answer before the caller has
    // read it.
    asio::awaitable<void> linger()
    {
        constexpr std::chrono::seconds limit{1};
        constexpr std::size_t read_size = 64UL << 10U;
        boost::system::error_code ec;
        stream_.socket().shutdown(asio::socket_base::shutdown_send, ec);
        stream_.expires_after(limit);
        while (!ec)
        {
            buffer_.clear();
            co_await stream_.async_read_some(buffer_.prepare(read_size),
                asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    // Waits until the first byte of a request has arrived, without reading it;
    // returns false when the connection is to be closed. A socket that is
    // closed unread resets the connection, which tells the caller that its
    // request may be sent again.
    asio::awaitable<bool> wait_for_request()
    {
        if (buffer_.size() != 0)
            co_return true;
        const auto idle_until = std::chrono::steady_clock::now() +
                                worker_->shared->settings.idle_limit;
        while (true)
        {
            // A shutdown closes idle connections, but a request that has
            // already arrived is served.
            const bool last = worker_->closing_idle ||
                              std::chrono::steady_clock::now() >= idle_until;
            const auto state = peek_socket(stream_.socket().native_handle());
            if (state != socket_state::idle || last)
                co_return state == socket_state::has_input;
            co_await wait_for_input(idle_until);
        }
    }

    // Returns when the socket is readable, at the deadline, or when idle
    // connections are to be closed.
    asio::awaitable<void> wait_for_input(time_point deadline)
    {
        auto& socket = stream_.socket();
        boost::system::error_code ignored;
        idle_timer_.expires_at(deadline);
        idle_timer_.async_wait(
            [this, alive = alive_](const boost::system::error_code& failed)
            {
                boost::system::error_code none;
                if (!failed && *alive && idle_)
                    stream_.socket().cancel(none);
            });
        idle_ = true;
        worker_->idle.insert(&socket);
        co_await socket.async_wait(asio::ip::tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, ignored));
        worker_->idle.erase(&socket);
        idle_ = false;
        idle_timer_.cancel();
    }

    asio::awaitable<void> serve_next()
    {
        request_id_ = unique_id();
        stream_started_ = false;
        stream_ended_ = false;
        answer_begun_ = false;
        head_only_ = false;
        http::request_parser<http::string_body> parser;
        parser.header_limit(header_limit_bytes);
        parser.body_limit(body_limit_bytes);
        body_reservation body_memory(*worker_->shared);
        const auto read = co_await read_request(parser, body_memory);
        if (!read)
        {
            keep_alive_ = false;
            if (read.error().code() != error_code::connection_broken)
                co_await refuse(read.error());
            co_return;
        }
        auto message = parser.release();
        std::string exception;
        try
        {
            co_await handle_request(std::move(message));
        }
        catch (const std::exception& failure)
        {
            exception = failure.what();
            if (exception.empty())
                exception = "unknown";
        }
        co_await wait_for_stop_answer();
        if (!exception.empty())
            co_await handle_exception(exception);
        if (stream_started_ && !stream_ended_)
            keep_alive_ = false;
    }

    asio::awaitable<void> handle_request(
        http::request<http::string_body> message)
    {
        keep_alive_ = message.keep_alive();
        head_only_ = message.method() == http::verb::head;
        raw_request raw;
        raw.method = to_text(message.method_string());
        raw.target = to_text(message.target());
        for (const auto& field : message)
            raw.headers.push_back(
                {to_text(field.name_string()), to_text(field.value())});
        raw.body = std::move(message.body());
        auto request = parse_request(std::move(raw), request_id_,
            std::chrono::steady_clock::now(),
            worker_->shared->settings.default_deadline);
        if (!request)
        {
            co_await refuse(request.error());
            co_return;
        }
        if (worker_->serving.notified())
        {
            error cause(error_code::stopping, "the instance has stopped");
            co_await refuse(std::move(cause));
            co_return;
        }
        const stop_listeners::subscription subscribed(
            worker_->serving, [this] { end_by_stop(); });
        co_await serve(*worker_, std::move(*request), *this);
    }

    // Answers a request that still runs when the time of a stop is over, while
    // its handling goes on.
    void end_by_stop()
    {
        if (answer_begun_ || write_failed_)
            return;
        const error cause(error_code::stopping,
            "the instance stops before the request can complete",
            execution_state::unknown);
        TQ_LOG(worker_->shared->logger, warning)
            << "The request " << request_id_
            << " was answered at the end of the stop.";
        ended_by_stop_ = true;
        keep_alive_ = false;
        writes_stop_answer_ = true;
        asio::co_spawn(worker_->executor, write_answer(make_refusal(cause)),
            [this](const std::exception_ptr&, const result<void>&)
            {
                writes_stop_answer_ = false;
                // The handling may go on for long.
                boost::system::error_code ignored;
                stream_.socket().shutdown(
                    asio::socket_base::shutdown_send, ignored);
                stop_answer_written_.cancel();
            });
    }

    // The connection must not end while the stop writes its answer.
    asio::awaitable<void> wait_for_stop_answer()
    {
        boost::system::error_code cancelled;
        while (writes_stop_answer_)
        {
            stop_answer_written_.expires_at(time_point::max());
            co_await stop_answer_written_.async_wait(
                asio::redirect_error(asio::use_awaitable, cancelled));
        }
    }

    static tl::unexpected<error> answered_already()
    {
        return fail(error_code::cancelled, "the stop has ended the request",
            execution_state::unknown);
    }

    // Answers with 500, unless an answer has been sent or begun. A part of an
    // answer may have been written, so the connection is not used again.
    asio::awaitable<void> handle_exception(const std::string& reason)
    {
        TQ_LOG(worker_->shared->logger, error)
            << "The request " << request_id_
            << " ended with an exception: " << reason
            << (answer_begun_ ? " (its answer had begun)" : "");
        worker_->services().metrics->add("tq_request_exceptions_total", {});
        keep_alive_ = false;
        if (answer_begun_ || write_failed_)
            co_return;
        error cause(error_code::internal,
            "an unexpected failure ended the request",
            execution_state::unknown);
        co_await refuse(std::move(cause));
    }

    asio::awaitable<result<void>> read_request(
        http::request_parser<http::string_body>& parser,
        body_reservation& body_memory)
    {
        boost::system::error_code ec;
        stream_.expires_after(worker_->shared->settings.header_limit);
        auto framed =
            co_await read_head(stream_, buffer_, header_limit_bytes, ec);
        if (!framed)
            co_return framed;
        if (ec)
            co_return read_error(ec);
        co_await http::async_read_header(stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return read_error(ec);
        // The length of a chunked body is not known in advance, so the
        // maximum is reserved.
        const auto length = parser.content_length();
        const std::size_t reserved = parser.chunked() ? body_limit_bytes
                                     : length         ? *length
                                                      : 0;
        if (auto memory_reserved = body_memory.reserve(reserved);
            !memory_reserved)
            co_return memory_reserved;
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        {
            http::response<http::empty_body> message;
            message.result(http::status::continue_);
            auto continue_sent = co_await write(message);
            if (!continue_sent)
                co_return continue_sent;
        }
        stream_.expires_after(worker_->shared->settings.body_limit);
        co_await http::async_read(stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return read_error(ec);
        co_return result<void>();
    }

    static tl::unexpected<error> read_error(const boost::system::error_code& ec)
    {
        if (ec == http::error::body_limit || ec == http::error::header_limit)
            return fail(error_code::payload_too_large,
                "the request is larger than 16 KiB of header fields or 8 MiB "
                "of body");
        // After a timeout, Beast has closed the socket already.
        if (ec == beast::error::timeout || ec == http::error::end_of_stream ||
            ec == http::error::partial_message ||
            ec.category() == asio::error::get_system_category() ||
            ec == asio::error::eof)
            return fail(error_code::connection_broken, ec.message());
        return fail(error_code::invalid_argument,
            "the request is not valid HTTP: " + ec.message());
    }

    asio::awaitable<void> refuse(error cause)
    {
        auto answer = make_refusal(cause);
        co_await respond(std::move(answer));
    }

    caller_answer make_refusal(const error& cause) const
    {
        caller_answer answer;
        answer.status = http_status(cause.code());
        answer.body = error_body(cause, request_id_);
        worker_->services().metrics->add("tq_request_errors_total",
            {{"code", std::string(to_string(cause.code()))}});
        return answer;
    }

    std::shared_ptr<worker> worker_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::string request_id_;
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool stream_started_ = false;
    bool stream_ended_ = false;
    bool answer_begun_ = false;
    bool write_failed_ = false;
    bool close_announced_ = false;
    // The stop has answered the request, or is doing so.
    bool ended_by_stop_ = false;
    bool writes_stop_answer_ = false;
    asio::steady_timer idle_timer_;
    // Cancelled when the answer of the stop has been written.
    asio::steady_timer stop_answer_written_;
    bool idle_ = false;
    // Shared with the timer's handler, which can run after the connection is
    // destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

asio::awaitable<void> serve_connection(
    std::shared_ptr<worker> io_worker, asio::ip::tcp::socket socket)
{
    connection caller(std::move(io_worker), std::move(socket));
    co_await caller.run();
}

asio::awaitable<void> refuse_connection(
    std::shared_ptr<worker> io_worker, asio::ip::tcp::socket socket)
{
    connection caller(std::move(io_worker), std::move(socket));
    co_await caller.run_refusal();
}

} // namespace tarragonquay::ingress
