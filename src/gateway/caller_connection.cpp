#include "gateway/caller_connection.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "common/read_head.hpp"
#include "common/socket_state.hpp"
#include "gateway/answer_sink.hpp"
#include "gateway/caller_request.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/interval.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace
{

/// Limit for writing one part of an answer to a caller.
constexpr std::chrono::seconds write_timeout{10};
/// Limit for reading a body. Callers send it together with the header.
constexpr std::chrono::seconds body_timeout{10};
/// How long input is read and discarded before a socket is closed. Closing a
/// socket with unread input resets the connection, and the caller can lose the
/// last answer.
constexpr milliseconds linger_timeout{500};
/// Beast stores the size of a header field in 16 bits and throws an exception
/// from the event loop for a larger one.
constexpr std::int64_t max_header_bytes = 65'000;
constexpr std::size_t read_size = 16UL << 10U;

std::string to_text(const boost::string_view& text)
{
    return {text.data(), text.size()};
}

/// Counts a request as running, so that a stop waits for it.
class running_request
{
public:
    explicit running_request(context& ctx) : ctx_(ctx)
    {
        ++ctx_.running_requests;
    }
    ~running_request() { --ctx_.running_requests; }
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

private:
    context& ctx_;
};

class connection : public answer_sink
{
public:
    connection(context& ctx, asio::ip::tcp::socket socket)
        : ctx_(ctx), stream_(std::move(socket)), idle_timer_(ctx.io)
    {
        ++ctx_.caller_connections;
    }

    ~connection() override
    {
        *alive_ = false;
        --ctx_.caller_connections;
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    asio::awaitable<void> run()
    {
        while (keep_alive_)
        {
            // g++ 12 evaluates a co_await on the right side of && in a loop
            // condition even when the left side is false.
            const bool arrived = co_await wait_for_request();
            if (!arrived)
                break;
            const running_request running(ctx_);
            co_await serve_request();
            // The caller was told that the connection closes. Without that,
            // its next request may arrive, which must not be read and
            // discarded.
            if (!keep_alive_)
                co_await linger();
        }
    }

    asio::awaitable<void> refuse()
    {
        const running_request running(ctx_);
        keep_alive_ = false;
        co_await respond(refusal_answer(503, 1.0));
        co_await linger();
    }

    asio::awaitable<result<void>> respond(whole_answer answer) override
    {
        http::response<http::string_body> message;
        message.result(static_cast<unsigned>(answer.status));
        set_fields(message, answer.headers);
        // Answers with these statuses have no body and no length.
        const bool bodiless = answer.status == 204 || answer.status == 304;
        if (!bodiless)
            message.content_length(answer.body.size());
        if (!bodiless && !head_only_)
            message.body() = std::move(answer.body);
        boost::system::error_code ec;
        answer_begun_ = true;
        stream_.expires_after(write_timeout);
        co_await http::async_write(
            stream_, message, asio::redirect_error(asio::use_awaitable, ec));
        auto written = check_write(ec);
        answer_complete_ = written.has_value();
        co_return written;
    }

    asio::awaitable<result<void>> begin_stream(
        endpoints::answer_head head) override
    {
        stream_open_ = true;
        http::response<http::empty_body> message;
        message.result(static_cast<unsigned>(head.status));
        set_fields(message, head.headers);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        boost::system::error_code ec;
        answer_begun_ = true;
        stream_.expires_after(write_timeout);
        co_await http::async_write_header(
            stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
        co_return check_write(ec);
    }

    asio::awaitable<result<void>> write_stream(std::string events) override
    {
        // An empty chunk would end the stream.
        if (events.empty())
            co_return result<void>();
        const auto chunk = http::make_chunk(asio::buffer(events));
        co_return co_await write_buffers(chunk);
    }

    asio::awaitable<result<void>> end_stream() override
    {
        stream_open_ = false;
        const auto last = http::make_chunk_last();
        auto written = co_await write_buffers(last);
        answer_complete_ = written.has_value();
        co_return written;
    }

    bool answer_begun() const override { return answer_begun_; }
    bool caller_gone() const override { return caller_gone_; }

    void on_caller_gone(std::function<void()> handler) override
    {
        caller_gone_handler_ = std::move(handler);
    }

private:
    template <class Body>
    void set_fields(http::response<Body>& message,
        const std::vector<endpoints::header>& headers)
    {
        if (ctx_.stopping)
            keep_alive_ = false;
        message.version(11);
        for (const auto& [name, value] : headers)
            if (!is_hop_by_hop(name) &&
                !equal_ignoring_case(name, "Content-Length"))
                message.insert(name, value);
        if (!keep_alive_)
            message.set(http::field::connection, "close");
    }

    template <class Buffers>
    asio::awaitable<result<void>> write_buffers(const Buffers& buffers)
    {
        boost::system::error_code ec;
        stream_.expires_after(write_timeout);
        co_await asio::async_write(
            stream_, buffers, asio::redirect_error(asio::use_awaitable, ec));
        co_return check_write(ec);
    }

    result<void> check_write(const boost::system::error_code& ec)
    {
        // Beast returns end_of_stream after writing a message that closes the
        // connection.
        if (!ec || ec == http::error::end_of_stream)
            return {};
        handle_caller_gone();
        return fail(error_code::cancelled,
            "the caller has closed its connection", execution_state::unknown);
    }

    void handle_caller_gone()
    {
        keep_alive_ = false;
        if (std::exchange(caller_gone_, true))
            return;
        if (auto handler = std::exchange(caller_gone_handler_, nullptr))
            handler();
    }

    routes::caller_limits limits() const
    {
        return ctx_.routes ? ctx_.routes->document().limits
                           : routes::caller_limits();
    }

    // Waits until the first byte of a request has arrived, without reading it:
    // a socket that is closed with unread input resets the connection, which
    // tells the caller that the request may be sent again.
    asio::awaitable<bool> wait_for_request()
    {
        if (buffer_.size() != 0)
            co_return true;
        const auto idle_since = std::chrono::steady_clock::now();
        while (true)
        {
            // Callers follow the configuration in force, which may have
            // changed since the wait began.
            const auto idle_until =
                end_of_interval(idle_since, limits().idle_timeout_ms);
            const bool last = ctx_.refuses_new_requests ||
                              std::chrono::steady_clock::now() >= idle_until;
            const auto state = peek_socket(stream_.socket().native_handle());
            if (state != socket_state::idle || last)
                co_return state == socket_state::has_input;
            co_await wait_for_input(idle_until);
        }
    }

    // Returns when the socket is readable, at the deadline, or when the idle
    // callers are woken.
    asio::awaitable<void> wait_for_input(time_point deadline)
    {
        boost::system::error_code ignored;
        idle_timer_.expires_at(deadline);
        idle_timer_.async_wait(
            [this, alive = alive_](const boost::system::error_code& failed)
            {
                if (!failed && *alive && idle_)
                    cancel_socket_waits();
            });
        idle_ = true;
        ctx_.idle_callers.insert(&stream_.socket());
        co_await stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, ignored));
        ctx_.idle_callers.erase(&stream_.socket());
        idle_ = false;
        idle_timer_.cancel();
    }

    void cancel_socket_waits()
    {
        boost::system::error_code ignored;
        stream_.socket().cancel(ignored);
    }

    asio::awaitable<void> serve_request()
    {
        head_only_ = false;
        stream_open_ = false;
        answer_begun_ = false;
        answer_complete_ = false;
        http::request_parser<http::string_body> parser;
        const auto bounds = limits();
        parser.header_limit(header_limit(bounds));
        parser.body_limit(static_cast<std::uint64_t>(bounds.max_body_bytes));
        const auto arrived_at = std::chrono::steady_clock::now();
        const int status = co_await read_request(parser, bounds);
        if (status != 0)
        {
            keep_alive_ = false;
            if (status > 0)
                co_await respond(refusal_answer(status, 0));
            co_return;
        }
        auto message = parser.release();
        keep_alive_ = message.keep_alive();
        head_only_ = message.method() == http::verb::head;
        raw_request raw;
        raw.method = to_text(message.method_string());
        raw.target = to_text(message.target());
        for (const auto& field : message)
            raw.headers.push_back(
                {to_text(field.name_string()), to_text(field.value())});
        raw.body = std::move(message.body());
        auto request =
            parse_request(std::move(raw), ctx_.dialect.headers, arrived_at);
        if (!request)
        {
            co_await respond(refusal_answer(400, 0));
            co_return;
        }
        watch_for_close();
        const auto id = request->id;
        std::string exception;
        try
        {
            co_await forward(ctx_, std::move(*request), *this);
        }
        catch (const std::exception& failure)
        {
            exception = failure.what();
            if (exception.empty())
                exception = "unknown";
        }
        stop_watching();
        if (!exception.empty())
            co_await handle_exception(id, exception);
        if (!answer_complete_ && !caller_gone_)
            log_unanswered(ctx_, id,
                !exception.empty() ? "exception"
                : ctx_.interrupted ? "stopping"
                : stream_open_     ? "stream_cut"
                                   : "no_answer");
        // Close without the last chunk, so that the caller does not take an
        // interrupted stream for a complete one.
        if (stream_open_)
        {
            keep_alive_ = false;
            stream_.close();
        }
    }

    // Answers with 500, unless an answer has been sent or begun. A part of an
    // answer may have been written, so the connection is not used again.
    asio::awaitable<void> handle_exception(
        const std::string& id, const std::string& reason)
    {
        ctx_.log.warning(
            "request_exception", {{"request_id", id}, {"reason", reason},
                                     {"answer_begun", answer_begun_}});
        ctx_.metrics.add("tq_gateway_exceptions_total", {});
        keep_alive_ = false;
        if (!answer_begun_ && !caller_gone_)
            co_await respond(refusal_answer(500, 0));
    }

    // Reads a request. Returns 0 on success, the status to refuse it with, or
    // -1 when the connection is no longer usable.
    asio::awaitable<int> read_request(
        http::request_parser<http::string_body>& parser,
        const routes::caller_limits& bounds)
    {
        boost::system::error_code ec;
        stream_.expires_at(end_of_interval(
            std::chrono::steady_clock::now(), bounds.header_timeout_ms));
        const auto framed =
            co_await read_head(stream_, buffer_, header_limit(bounds), ec);
        if (!framed)
            co_return reject_framing(framed.error());
        if (ec)
            co_return read_error_status(ec);
        co_await http::async_read_header(stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return read_error_status(ec);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        {
            http::response<http::empty_body> message;
            message.version(11);
            message.result(http::status::continue_);
            co_await http::async_write(stream_, message,
                asio::redirect_error(asio::use_awaitable, ec));
        }
        stream_.expires_after(body_timeout);
        co_await http::async_read(stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, ec));
        co_return ec ? read_error_status(ec) : 0;
    }

    static std::uint32_t header_limit(const routes::caller_limits& bounds)
    {
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            bounds.max_header_bytes, 0, max_header_bytes));
    }

    // Returns the status to refuse the request with.
    int reject_framing(const error& reason)
    {
        ctx_.log.warning("request_malformed", {{"reason", reason.message()}});
        ctx_.metrics.add("tq_gateway_malformed_requests_total", {});
        return reason.code() == error_code::unsupported ? 501 : 400;
    }

    static int read_error_status(const boost::system::error_code& ec)
    {
        if (ec == http::error::header_limit)
            return 431;
        if (ec == http::error::body_limit)
            return 413;
        // On a timeout, Beast has already closed the socket.
        if (ec == beast::error::timeout || ec == http::error::end_of_stream ||
            ec == http::error::partial_message || ec == asio::error::eof ||
            ec.category() == asio::error::get_system_category())
            return -1;
        return 400;
    }

    // Detects that the caller closes its connection while its request runs.
    void watch_for_close()
    {
        watching_ = true;
        stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
            [this, alive = alive_](const boost::system::error_code& failed)
            {
                if (failed || !*alive || !watching_)
                    return;
                // Readable without a close: the caller's next request has
                // arrived.
                if (peek_socket(stream_.socket().native_handle()) ==
                    socket_state::closed)
                    handle_caller_gone();
            });
    }

    void stop_watching()
    {
        watching_ = false;
        caller_gone_handler_ = nullptr;
        if (!stream_.socket().is_open())
            return;
        cancel_socket_waits();
    }

    // Reads and discards what the caller still sends, so that it receives the
    // last answer.
    asio::awaitable<void> linger()
    {
        boost::system::error_code ec;
        if (caller_gone_ || !stream_.socket().is_open())
            co_return;
        stream_.socket().shutdown(asio::socket_base::shutdown_send, ec);
        stream_.expires_after(linger_timeout);
        while (!ec)
        {
            buffer_.clear();
            co_await stream_.async_read_some(buffer_.prepare(read_size),
                asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    context& ctx_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    asio::steady_timer idle_timer_;
    bool idle_ = false;
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool stream_open_ = false;
    bool answer_begun_ = false;
    bool answer_complete_ = false;
    bool caller_gone_ = false;
    bool watching_ = false;
    std::function<void()> caller_gone_handler_;
    // Shared with the wait handler, which can run after the connection is
    // destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

void log_unanswered(context& ctx, const std::string& request_id,
    const std::string& reason, const nlohmann::ordered_json& details)
{
    nlohmann::ordered_json fields = {
        {"request_id", request_id}, {"reason", reason}};
    fields.update(details);
    ctx.log.warning("request_unanswered", std::move(fields));
    ctx.metrics.add(
        "tq_gateway_unanswered_requests_total", {{"reason", reason}});
}

asio::awaitable<void> serve_caller(context& ctx, asio::ip::tcp::socket socket)
{
    connection caller(ctx, std::move(socket));
    co_await caller.run();
}

asio::awaitable<void> refuse_caller(context& ctx, asio::ip::tcp::socket socket)
{
    connection caller(ctx, std::move(socket));
    co_await caller.refuse();
}

} // namespace tarragonquay::gateway
