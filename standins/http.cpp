#include <utility>

#include "standins/http.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <iostream>
#include <set>
#include <stdexcept>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "common/socket_address.hpp"

namespace tarragonquay::standins
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 64ull << 20;

std::string percent_decoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16)
                    .ptr == text.data() + i + 3)
        {
            out.push_back(static_cast<char>(value));
            i += 2;
        }
        else
            out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return out;
}

void split_target(http_request& request)
{
    const auto mark = request.target.find('?');
    request.path = request.target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::string_view rest = std::string_view(request.target).substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        request.query[percent_decoded(pair.substr(0, equals))] =
            equals == std::string_view::npos
                ? ""
                : percent_decoded(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
}

http_request converted(const http::request<http::string_body>& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    split_target(request);
    for (const auto& field : message)
        request.headers.emplace_back(
            std::string(field.name_string()), std::string(field.value()));
    request.body = message.body();
    return request;
}

class connection final : public http_connection
{
public:
    explicit connection(tcp::socket socket) : socket_(std::move(socket)) {}

    bool open() const { return open_; }

    asio::awaitable<bool> receive(http_request& out)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        error_code failure;
        co_await http::async_read(socket_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return false;
        keep_alive_ = parser.get().keep_alive();
        out = converted(parser.get());
        co_return true;
    }

    asio::awaitable<void> answer(http_answer answer) override
    {
        co_await write(head(answer) + answer.body);
        if (!keep_alive_)
            abort();
    }

    asio::awaitable<void> answer_partly(
        http_answer answer, std::size_t bytes) override
    {
        co_await write(head(answer) + answer.body.substr(0, bytes));
        abort();
    }

    asio::awaitable<bool> begin_stream(header_list headers) override
    {
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: "
                           "text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n";
        append(text, headers);
        co_await write(text + "\r\n");
        co_return open_;
    }

    asio::awaitable<bool> send_chunk(std::string text) override
    {
        co_await write(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
        co_return open_;
    }

    asio::awaitable<void> finish_stream() override
    {
        co_await write("0\r\n\r\n");
        if (!keep_alive_)
            abort();
    }

    asio::awaitable<bool> send_bytes(std::string text) override
    {
        co_await write(std::move(text));
        co_return open_;
    }

    void abort() override
    {
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        open_ = false;
    }

    void reset() override
    {
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        open_ = false;
    }

    asio::awaitable<void> stay_silent() override
    {
        // Reads and drops what arrives, so that the end of the peer is seen.
        std::array<char, 4096> bytes{};
        error_code failure;
        while (!failure)
            co_await socket_.async_read_some(asio::buffer(bytes),
                asio::redirect_error(asio::use_awaitable, failure));
        abort();
    }

private:
    static void append(std::string& text, const header_list& headers)
    {
        for (const auto& [name, value] : headers)
            text += fmt::format("{}: {}\r\n", name, value);
    }

    std::string head(const http_answer& answer) const
    {
        std::string text = fmt::format(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            answer.status,
            std::string(http::obsolete_reason(
                static_cast<http::status>(answer.status))),
            answer.content_type, answer.body.size());
        append(text, answer.headers);
        if (!keep_alive_)
            text += "Connection: close\r\n";
        return text + "\r\n";
    }

    asio::awaitable<void> write(std::string text)
    {
        if (!open_)
            co_return;
        error_code failure;
        co_await asio::async_write(socket_, asio::buffer(text),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            abort();
    }

    tcp::socket socket_;
    beast::flat_buffer buffer_;
    bool keep_alive_ = true;
    bool open_ = true;
};

// A test program that is killed can't end the stand-ins that it started.
int parent_pid = 0;

asio::awaitable<void> watch_parent(asio::io_context& io)
{
    constexpr double poll_ms = 500;
    while (getppid() == parent_pid)
        co_await sleep_ms(poll_ms);
    io.stop();
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    for (const auto& [key, value] : headers)
        if (beast::iequals(key, name))
            return value;
    return {};
}

std::int64_t http_request::number(
    const std::string& name, std::int64_t fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::stoll(found->second);
}

json http_request::body_json() const
{
    return body.empty() ? json::object() : json::parse(body);
}

http_answer json_answer(const json& body, int status)
{
    return {status, body.dump() + "\n", "application/json", {}};
}

http_answer error_answer(
    int status, const std::string& code, const std::string& message)
{
    return json_answer(json{{"error", {{"code", code}, {"message", message},
                                          {"execution", "not_run"}}}},
        status);
}

struct http_server_state
{
    tcp::acceptor acceptor;
    http_handler handler;
    std::set<http_connection*> connections;
};

namespace
{

asio::awaitable<void> run_connection(
    tcp::socket socket, std::shared_ptr<http_server_state> server)
{
    connection peer(std::move(socket));
    server->connections.insert(&peer);
    while (peer.open())
    {
        http_request request;
        if (!co_await peer.receive(request))
            break;
        std::string failure;
        try
        {
            co_await server->handler(request, peer);
        }
        catch (const std::exception& caught)
        {
            failure = caught.what();
        }
        if (!failure.empty())
            co_await peer.answer(
                error_answer(400, "invalid_argument", failure));
    }
    server->connections.erase(&peer);
}

asio::awaitable<void> accept_connections(
    std::shared_ptr<http_server_state> server)
{
    auto& acceptor = server->acceptor;
    for (;;)
    {
        error_code failure;
        tcp::socket socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
        {
            co_await sleep_ms(10);
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        asio::co_spawn(acceptor.get_executor(),
            run_connection(std::move(socket), server), asio::detached);
    }
}

void start_accepting(const std::shared_ptr<http_server_state>& server)
{
    asio::co_spawn(server->acceptor.get_executor(), accept_connections(server),
        asio::detached);
}

} // namespace

result<std::unique_ptr<http_server>> http_server::open(
    asio::io_context& io, const std::string& address, http_handler handler)
{
    auto acceptor = open_acceptor(io.get_executor(), address);
    if (!acceptor)
        return tl::unexpected<error>(acceptor.error());
    auto state = std::make_shared<http_server_state>(
        http_server_state{std::move(*acceptor), std::move(handler), {}});
    start_accepting(state);
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::shared_ptr<http_server_state> state)
    : state_(std::move(state)),
      address_(to_text(state_->acceptor.local_endpoint()))
{
}

http_server::~http_server() = default;

void http_server::close()
{
    auto& acceptor = state_->acceptor;
    const auto endpoint = acceptor.local_endpoint();
    acceptor.close();
    for (auto* each : std::set<http_connection*>(state_->connections))
        each->abort();
    // A socket that is bound and does not listen refuses connections, and no
    // other process can take the port.
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
}

void http_server::reopen()
{
    state_->acceptor.listen();
    start_accepting(state_);
}

result<std::string> serve_http(
    asio::io_context& io, const std::string& address, http_handler handler)
{
    const auto server = http_server::open(io, address, std::move(handler));
    if (!server)
        return tl::unexpected<error>(server.error());
    return (*server)->address();
}

asio::awaitable<int> fetch_http(std::string address, std::string target)
{
    const auto endpoint = parse_socket_address(address);
    if (!endpoint)
        co_return 0;
    tcp::socket socket(co_await asio::this_coro::executor);
    error_code failure;
    co_await socket.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return 0;
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address);
    co_await http::async_write(
        socket, request, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return 0;
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(socket, buffer, response,
        asio::redirect_error(asio::use_awaitable, failure));
    co_return failure ? 0 : static_cast<int>(response.result_int());
}

asio::awaitable<void> sleep_ms(double milliseconds)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(milliseconds * 1000)));
    error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void print_listening(const std::string& name, const std::string& address)
{
    std::cout << "listening " << name << ' ' << address << std::endl;
}

void listen_or_throw(asio::io_context& io, const std::string& name,
    const std::string& address, const http_handler& handler)
{
    const auto bound = serve_http(io, address, handler);
    if (!bound)
        throw std::runtime_error(bound.error().message());
    print_listening(name, *bound);
}

void set_parent_pid(int pid)
{
    parent_pid = pid;
}

int expected_parent_pid()
{
    return parent_pid;
}

void run_until_signal(asio::io_context& io)
{
    if (parent_pid != 0)
        asio::co_spawn(io, watch_parent(io), asio::detached);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](error_code, int) { io.stop(); });
    io.run();
}

void seen_list::add(const http_request& request)
{
    json headers = json::array();
    for (const auto& [name, value] : request.headers)
        headers.push_back({name, value});
    requests_.push_back({{"method", request.method}, {"target", request.target},
        {"headers", headers},
        {"body", request.body.substr(0, max_body_bytes)}});
    if (requests_.size() > max_requests)
        requests_.pop_front();
}

json seen_list::to_json() const
{
    return {{"requests", requests_}};
}

} // namespace tarragonquay::standins
