#include "gateway/listener.hpp"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "common/socket_address.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// Pause after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds accept_pause{100};
/// Limit for waiting for the next GET request and answering it.
constexpr std::chrono::seconds get_idle_timeout{30};

asio::awaitable<void> run_get_requests(
    tcp::socket socket, std::function<text_answer(std::string)> answer)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool open = true;
    while (open)
    {
        http::request<http::string_body> request;
        boost::system::error_code ec;
        stream.expires_after(get_idle_timeout);
        co_await http::async_read(stream, buffer, request,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        const auto target = request.target();
        auto content = answer({target.data(), target.size()});
        http::response<http::string_body> response;
        response.version(11);
        response.result(static_cast<unsigned>(content.status));
        if (!content.content_type.empty())
            response.set(http::field::content_type, content.content_type);
        response.body() = std::move(content.body);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        open = request.keep_alive();
        co_await http::async_write(
            stream, response, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
    }
}

} // namespace

struct tcp_listener::implementation
    : std::enable_shared_from_this<tcp_listener::implementation>
{
    implementation(tcp::acceptor opened, connection_handler handler)
        : acceptor(std::move(opened)),
          pause(acceptor.get_executor()),
          on_connection(std::move(handler))
    {
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](
                const boost::system::error_code& ec, tcp::socket socket)
            { self->handle_accept(ec, std::move(socket)); });
    }

    void handle_accept(const boost::system::error_code& ec, tcp::socket socket)
    {
        if (!acceptor.is_open())
            return;
        if (ec)
        {
            pause.expires_after(accept_pause);
            pause.async_wait(
                [self = shared_from_this()](
                    const boost::system::error_code& failed)
                {
                    if (!failed && self->acceptor.is_open())
                        self->accept();
                });
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        on_connection(std::move(socket));
        accept();
    }

    tcp::acceptor acceptor;
    asio::steady_timer pause;
    connection_handler on_connection;
};

tcp_listener::tcp_listener(std::shared_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

result<std::unique_ptr<tcp_listener>> tcp_listener::create(asio::io_context& io,
    const std::string& address, connection_handler on_connection)
{
    auto opened = open_acceptor(io.get_executor(), address);
    if (!opened)
        return fail(error_code::invalid_settings, opened.error().message());
    auto impl = std::make_shared<implementation>(
        std::move(*opened), std::move(on_connection));
    impl->accept();
    return std::unique_ptr<tcp_listener>(new tcp_listener(std::move(impl)));
}

tcp_listener::~tcp_listener()
{
    close();
}

void tcp_listener::close()
{
    boost::system::error_code ignored;
    implementation_->acceptor.close(ignored);
    implementation_->pause.cancel();
}

void serve_get_requests(
    tcp::socket socket, std::function<text_answer(std::string)> answer)
{
    const auto executor = socket.get_executor();
    asio::co_spawn(executor,
        run_get_requests(std::move(socket), std::move(answer)), asio::detached);
}

} // namespace tarragonquay::gateway
