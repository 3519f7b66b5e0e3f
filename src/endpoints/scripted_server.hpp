#pragma once

#include <utility>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "common/clock.hpp"
#include "common/socket_state.hpp"

namespace tarragonquay::endpoints::testing
{

namespace asio = boost::asio;

/// A part of an answer that is sent after a pause.
struct delayed_part
{
    std::chrono::milliseconds pause{0};
    std::string text;
};

/// Answer to one request; each "{id}" is replaced by the id of the
/// request.
struct scripted_answer
{
    std::string text;
    enum class then
    {
        keep_open,
        close,
        /// Resets the connection.
        reset,
        /// Closes the sending side and reads on until the client closes.
        end_output,
        /// Keeps the connection open without sending anything more.
        silent,
        /// Sends `endless` again and again until the client closes.
        endless
    } after = then::close;
    /// Sent one after the other when `text` has been sent.
    std::vector<delayed_part> delayed = {};
    /// Sent before `text` on a connection that carried an earlier request.
    std::string before_on_reuse = {};
    std::string endless = {};
    /// Whether the whole body of the request is read before the answer is
    /// sent, which needs a Content-Length.
    bool reads_upload = false;
};

/// Loopback server that answers requests in order with predefined bytes.
class scripted_server
{
public:
    explicit scripted_server(std::vector<scripted_answer> script)
        : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
          script_(script.begin(), script.end())
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Runs a coroutine against the server and returns its value.
    template <class T>
    T run(asio::awaitable<T> call)
    {
        std::optional<T> out;
        asio::co_spawn(context, std::move(call),
            [&](std::exception_ptr failure, T value)
            {
                if (failure)
                    std::rethrow_exception(failure);
                out.emplace(std::move(value));
            });
        while (!out)
            context.run_one();
        return std::move(*out);
    }

    /// Closes the port when the next request has arrived, as a process does
    /// that ends.
    void refuse_new_connections() { closes_port_ = true; }

    asio::io_context context;
    int connections = 0;
    /// Connections that the client closed while a request was unanswered, a
    /// part of its answer was due, or the server was silent.
    int closed_by_client = 0;
    /// Bytes of endless answers that were sent.
    std::size_t endless_bytes = 0;
    /// Heads of the received requests.
    std::vector<std::string> requests;

private:
    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            ++connections;
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string buffer;
        for (bool reused = false; !script_.empty(); reused = true)
        {
            boost::system::error_code ec;
            const auto size = co_await asio::async_read_until(socket,
                asio::dynamic_buffer(buffer), "\r\n\r\n",
                asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            requests.push_back(buffer.substr(0, size));
            auto answer = script_.front();
            script_.pop_front();
            if (answer.reads_upload)
                co_await read_upload(socket, buffer.size() - size);
            // The requests of other tests are so small that their bodies
            // arrive together with the heads.
            buffer.clear();
            if (closes_port_)
                acceptor_.close(ec);
            fill_id(answer.text, requests.back());
            fill_id(answer.before_on_reuse, requests.back());
            if (reused)
                answer.text.insert(0, answer.before_on_reuse);
            co_await asio::async_write(socket, asio::buffer(answer.text),
                asio::redirect_error(asio::use_awaitable, ec));
            for (auto& part : answer.delayed)
            {
                asio::steady_timer pause(context, part.pause);
                co_await pause.async_wait(
                    asio::redirect_error(asio::use_awaitable, ec));
                if (peek_socket(socket.native_handle()) == socket_state::closed)
                {
                    ++closed_by_client;
                    co_return;
                }
                fill_id(part.text, requests.back());
                co_await asio::async_write(socket, asio::buffer(part.text),
                    asio::redirect_error(asio::use_awaitable, ec));
            }
            while (!ec && answer.after == scripted_answer::then::endless)
                endless_bytes += co_await asio::async_write(socket,
                    asio::buffer(answer.endless),
                    asio::redirect_error(asio::use_awaitable, ec));
            if (ec || answer.after == scripted_answer::then::close)
                co_return;
            if (answer.after == scripted_answer::then::reset)
            {
                socket.set_option(asio::socket_base::linger(true, 0), ec);
                // The destructor would close the connection in order.
                socket.close(ec);
                co_return;
            }
            if (answer.after == scripted_answer::then::end_output)
            {
                socket.shutdown(asio::socket_base::shutdown_send, ec);
                co_await discard_input(socket);
                co_return;
            }
            if (answer.after == scripted_answer::then::silent)
            {
                while (!ec)
                    co_await asio::async_read_until(socket,
                        asio::dynamic_buffer(buffer), "\r\n\r\n",
                        asio::redirect_error(asio::use_awaitable, ec));
                ++closed_by_client;
                co_return;
            }
        }
    }

    // Reads the rest of the body of the latest request, of which `arrived`
    // bytes have been read.
    asio::awaitable<void> read_upload(
        asio::ip::tcp::socket& socket, std::size_t arrived)
    {
        const std::string name = "Content-Length: ";
        const auto& head = requests.back();
        const auto length =
            std::stoul(head.substr(head.find(name) + name.size()));
        std::string rest(length - std::min(length, arrived), '\0');
        boost::system::error_code ignored;
        co_await asio::async_read(socket, asio::buffer(rest),
            asio::redirect_error(asio::use_awaitable, ignored));
    }

    static asio::awaitable<void> discard_input(asio::ip::tcp::socket& socket)
    {
        std::array<char, 4096> part;
        boost::system::error_code ec;
        while (!ec)
            co_await socket.async_read_some(asio::buffer(part),
                asio::redirect_error(asio::use_awaitable, ec));
    }

    static void fill_id(std::string& text, const std::string& head)
    {
        const std::string name = "X-Request-Id: ";
        const auto at = head.find(name);
        if (at == std::string::npos)
            return;
        const auto begin = at + name.size();
        const auto id = head.substr(begin, head.find('\r', begin) - begin);
        for (auto place = text.find("{id}"); place != std::string::npos;
             place = text.find("{id}", place))
            text.replace(place, 4, id);
    }

    asio::ip::tcp::acceptor acceptor_;
    bool closes_port_ = false;
    std::deque<scripted_answer> script_;
};

} // namespace tarragonquay::endpoints::testing
