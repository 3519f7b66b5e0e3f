#include <utility>

#include "support/http_client.hpp"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tarragonquay::test_support
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 64ull << 20;

sse_event parse_event(const std::string& text)
{
    sse_event event;
    std::size_t at = 0;
    while (at < text.size())
    {
        const auto end = std::min(text.find('\n', at), text.size());
        const std::string line = text.substr(at, end - at);
        at = end + 1;
        const auto colon = line.find(": ");
        if (colon == std::string::npos)
            continue;
        const std::string field = line.substr(0, colon);
        const std::string value = line.substr(colon + 2);
        if (field == "event")
            event.name = value;
        else if (field == "id")
            event.id = value;
        else if (field == "data")
            event.data += value;
    }
    return event;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

struct http_client::connection
{
    explicit connection(std::string where)
        : address(std::move(where)), socket(io)
    {
    }

    /// Runs one started operation until it ends or the deadline expires.
    bool finish(const bool& done)
    {
        io.restart();
        while (!done && io.run_one_until(deadline) > 0)
        {
        }
        if (!done)
            close();
        // The handler of a cancelled operation refers to local variables.
        while (!done && io.run_one() > 0)
        {
        }
        return socket.is_open();
    }

    void close()
    {
        error_code ignored;
        socket.close(ignored);
    }

    bool connect()
    {
        if (socket.is_open())
            return true;
        buffer.clear();
        const auto colon = address.rfind(':');
        const tcp::endpoint target(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        bool done = false;
        error_code failure;
        socket.async_connect(target,
            [&](error_code code)
            {
                failure = code;
                done = true;
            });
        if (finish(done) && !failure)
            return true;
        close();
        return false;
    }

    bool write(const http_call& call)
    {
        http::request<http::string_body> request;
        request.method_string(call.method);
        request.target(call.target);
        request.version(11);
        request.set(http::field::host, address);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.body() = call.body;
        request.prepare_payload();
        bool done = false;
        error_code failure;
        http::async_write(socket, request,
            [&](error_code code, std::size_t)
            {
                failure = code;
                done = true;
            });
        return finish(done) && !failure;
    }

    /// Splits off complete events; false when the caller wants to stop.
    static bool take_events(
        const http_call& call, http_reply& reply, std::size_t& parsed)
    {
        const auto type = reply.headers.find("content-type");
        if (type == reply.headers.end() ||
            type->second.rfind("text/event-stream", 0) != 0)
            return true;
        for (;;)
        {
            const auto end = reply.body.find("\n\n", parsed);
            if (end == std::string::npos)
                return true;
            reply.events.push_back(
                parse_event(reply.body.substr(parsed, end - parsed)));
            parsed = end + 2;
            if (call.on_event && !call.on_event(reply.events.back()))
                return false;
        }
    }

    void read(const http_call& call, http_reply& reply)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        if (call.method == "HEAD")
            parser.skip(true);
        std::size_t parsed = 0;
        bool wanted = true;
        error_code failure;
        while (wanted && !failure && !parser.is_done())
        {
            bool done = false;
            http::async_read_some(socket, buffer, parser,
                [&](error_code code, std::size_t)
                {
                    failure = code;
                    done = true;
                });
            finish(done);
            if (!parser.is_header_done())
                continue;
            reply.status = static_cast<int>(parser.get().result_int());
            for (const auto& field : parser.get())
                reply.headers[lower_case(std::string(field.name_string()))] =
                    std::string(field.value());
            reply.body = parser.get().body();
            wanted = take_events(call, reply, parsed);
        }
        reply.complete = !failure && parser.is_done();
        if (!reply.complete || !parser.keep_alive())
            close();
    }

    std::string address;
    asio::io_context io;
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point deadline;
};

nlohmann::json http_reply::json() const
{
    return nlohmann::json::parse(body);
}

http_client::http_client(std::string address)
    : connection_(std::make_unique<connection>(std::move(address)))
{
}

http_client::~http_client() = default;

http_reply http_client::send(const http_call& call)
{
    http_reply reply;
    connection_->deadline = std::chrono::steady_clock::now() + call.time;
    if (!connection_->connect())
        return reply;
    if (connection_->write(call))
        connection_->read(call, reply);
    else
        connection_->close();
    return reply;
}

bool http_client::connected() const
{
    return connection_->socket.is_open();
}

http_reply send_once(const std::string& address, const http_call& call)
{
    return http_client(address).send(call);
}

http_reply fetch(const std::string& address, const std::string& target)
{
    http_call call;
    call.target = target;
    return send_once(address, call);
}

http_reply post(const std::string& address, const std::string& target,
    const nlohmann::json& body, std::map<std::string, std::string> headers)
{
    http_call call;
    call.method = "POST";
    call.target = target;
    call.headers = std::move(headers);
    call.headers["Content-Type"] = "application/json";
    call.body = body.dump();
    return send_once(address, call);
}

} // namespace tarragonquay::test_support
