#include <utility>

#include "load/exchange.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tarragonquay::load
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 64ull << 20;

http::request<http::string_body> message_of(const outgoing& request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, request.address);
    message.set(http::field::connection, "close");
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

timed_event event_from(std::string_view text)
{
    timed_event event;
    event.arrived = steady_clock_source().now();
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.rfind("data: ", 0) == 0)
            event.data += line.substr(6);
        else if (line.rfind("event: ", 0) == 0)
            event.name = line.substr(7);
        else if (line.rfind("id: ", 0) == 0)
            event.id = line.substr(4);
    }
    return event;
}

/// Moves complete events out of the text that follows the offset.
void take_events(const std::string& body, std::size_t& parsed, incoming& answer)
{
    for (;;)
    {
        const auto end = body.find("\n\n", parsed);
        if (end == std::string::npos)
            return;
        answer.events.push_back(
            event_from(std::string_view(body).substr(parsed, end - parsed)));
        parsed = end + 2;
    }
}

asio::awaitable<void> receive(beast::tcp_stream& stream, incoming& answer)
{
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    std::size_t parsed = 0;
    error_code failure;
    while (!failure && !parser.is_done())
    {
        co_await http::async_read_some(stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (!parser.is_header_done())
            continue;
        const auto& message = parser.get();
        if (answer.status == 0)
        {
            answer.first_byte = steady_clock_source().now();
            answer.status = static_cast<int>(message.result_int());
            answer.request_id = std::string(message["X-Request-Id"]);
        }
        if (message[http::field::content_type].starts_with("text/event-stream"))
            take_events(message.body(), parsed, answer);
    }
    answer.complete = !failure && parser.is_done();
    answer.body = parser.get().body();
}

} // namespace

asio::awaitable<incoming> run_exchange(outgoing request)
{
    incoming answer;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_at(request.deadline);
    const auto colon = request.address.rfind(':');
    error_code failure;
    const tcp::endpoint target(
        asio::ip::make_address(request.address.substr(0, colon), failure),
        static_cast<std::uint16_t>(
            std::atoi(request.address.c_str() + colon + 1)));
    if (!failure)
        co_await stream.async_connect(
            target, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure)
    {
        answer.connected = true;
        const auto message = message_of(request);
        co_await http::async_write(stream, message,
            asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure)
        co_await receive(stream, answer);
    answer.finished = steady_clock_source().now();
    co_return answer;
}

} // namespace tarragonquay::load
