#pragma once

#include <utility>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/digest.hpp"
#include "common/random.hpp"
#include "config.pb.h"
#include "endpoints/scripted_server.hpp"
#include "ingress/server.hpp"
#include "orders/order_book.hpp"
#include "store/fake_store.hpp"

namespace tarragonquay::ingress::testing
{

namespace asio = boost::asio;
using endpoints::testing::scripted_answer;
using endpoints::testing::scripted_server;

inline catalog::snapshot make_snapshot(bool withdrawn)
{
    config::Snapshot message;
    message.set_revision(withdrawn ? 2 : 1);
    auto* workspace = message.add_workspaces();
    workspace->set_id("acme");
    workspace->set_rate_tokens_per_second(100);
    workspace->set_burst_tokens(100);
    auto* key = message.add_keys();
    key->set_id("k");
    key->set_workspace("acme");
    key->set_secret_sha256(sha256_hex("s3cret"));
    key->set_withdrawn(withdrawn);
    auto* model = message.add_models();
    model->set_id("m");
    model->set_version("1");
    model->set_bytes(1);
    auto* service = message.add_services();
    service->set_name("florist");
    auto made = catalog::snapshot::from_proto(message);
    if (!made)
        throw std::logic_error(made.error().message());
    return std::move(*made);
}

/// Runs a server with a fake control thread and store in front of one scripted
/// endpoint.
class server_fixture
{
public:
    explicit server_fixture(
        std::vector<scripted_answer> script, server_settings settings = {})
        : endpoint(std::move(script)), book(store, environment())
    {
        address = endpoint.address();
        state.publish(make_snapshot(false));
        state.publish_lease_deadline(std::numeric_limits<std::int64_t>::max());
        server_services services;
        services.state = &state;
        services.control = make_control();
        services.orders = make_orders();
        services.events = &events;
        services.metrics = &metrics;
        services.waiting_for = [this] { return waiting_for(); };
        settings.listen_address = "127.0.0.1:0";
        settings.availability_zone = "a";
        auto created = server::create(
            {endpoint.context.get_executor()}, settings, services);
        server_under_test = std::move(*created);
        server_under_test->start();
    }

    /// Sends a request on a new connection and returns everything received
    /// until it is closed.
    std::string call(std::string text)
    {
        return endpoint.run(exchange_text(std::move(text)));
    }

    /// Sends `before`, stops the server, sends `after` shortly afterwards, and
    /// returns everything received. Sets `idle` when the server becomes idle.
    std::string call_across_stop(
        std::string before, std::string after, bool& idle)
    {
        return endpoint.run(
            exchange_across_stop(std::move(before), std::move(after), idle));
    }

    static std::string request_text(const std::string& start,
        const std::string& headers, const std::string& body = {})
    {
        return start + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
               headers + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    static std::string completion_text(bool stream)
    {
        return request_text("POST /v1/chat/completions?api_key=s3cret", "",
            std::string(R"({"model":"m","max_tokens":10,"stream":)") +
                (stream ? "true" : "false") +
                R"(,"messages":[{"role":"user","content":"hi"}]})");
    }

    static std::string order_text(const std::string& body = "send")
    {
        return request_text("POST /services/florist/confirm",
            "X-Api-Key: s3cret\r\nCookie: s3cret\r\nIdempotency-Key: o1\r\n",
            body);
    }

    asio::awaitable<std::string> exchange_text(std::string text)
    {
        asio::ip::tcp::socket socket(endpoint.context);
        co_await socket.async_connect(
            {asio::ip::address_v4::loopback(), server_under_test->port()},
            asio::use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer(text), asio::use_awaitable);
        std::string answer;
        boost::system::error_code ec;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer),
            asio::redirect_error(asio::use_awaitable, ec));
        co_return answer;
    }

    asio::awaitable<std::optional<std::string>> exchange_after_idle(
        std::string text, duration idle, bool stopped)
    {
        constexpr std::chrono::milliseconds delivery{50};
        asio::ip::tcp::socket socket(endpoint.context);
        co_await socket.async_connect(
            {asio::ip::address_v4::loopback(), server_under_test->port()},
            asio::use_awaitable);
        asio::steady_timer pause(endpoint.context);
        pause.expires_after(delivery);
        co_await pause.async_wait(asio::use_awaitable);
        if (stopped)
            server_under_test->stop_accepting();
        pause.expires_after(idle);
        co_await pause.async_wait(asio::use_awaitable);
        boost::system::error_code ec;
        co_await asio::async_write(socket, asio::buffer(text),
            asio::redirect_error(asio::use_awaitable, ec));
        pause.expires_after(delivery);
        co_await pause.async_wait(asio::use_awaitable);
        // Fails after a reset, but not when the request was read.
        co_await asio::async_write(socket, asio::buffer(text),
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return std::nullopt;
        std::string answer;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer),
            asio::redirect_error(asio::use_awaitable, ec));
        co_return answer;
    }

    asio::awaitable<std::string> exchange_across_stop(
        std::string before, std::string after, bool& idle)
    {
        asio::ip::tcp::socket socket(endpoint.context);
        co_await socket.async_connect(
            {asio::ip::address_v4::loopback(), server_under_test->port()},
            asio::use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer(before), asio::use_awaitable);
        // Gives the server time to accept the connection and read the text.
        asio::steady_timer pause(endpoint.context);
        constexpr std::chrono::milliseconds delivery{100};
        pause.expires_after(delivery);
        co_await pause.async_wait(asio::use_awaitable);
        server_under_test->stop_accepting();
        server_under_test->wait_until_idle([&idle] { idle = true; });
        pause.expires_after(delivery);
        co_await pause.async_wait(asio::use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer(after), asio::use_awaitable);
        std::string answer;
        boost::system::error_code ec;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer),
            asio::redirect_error(asio::use_awaitable, ec));
        co_return answer;
    }

    /// Sends a request on a connection that has been idle for a while, with
    /// the server stopped at the start of the wait if `stopped`. Returns what
    /// was received, or nothing when the request was reset unread.
    std::optional<std::string> call_after_idle(
        std::string text, duration idle, bool stopped)
    {
        return endpoint.run(
            exchange_after_idle(std::move(text), idle, stopped));
    }

    /// Like call(); the time of a stop is over shortly after the request.
    std::string call_at_stop_end(std::string text)
    {
        constexpr std::chrono::milliseconds delivery{100};
        asio::steady_timer timer(endpoint.context, delivery);
        timer.async_wait(
            [this](const boost::system::error_code&) { end_stop(); });
        return call(std::move(text));
    }

    void end_stop()
    {
        state.publish_stop_deadline_passed();
        server_under_test->end_requests();
    }

    /// Whether as many reservations and assignments were ended as were begun.
    bool all_released_once() const
    {
        return settled.size() == admitted && released.size() == assigned;
    }

    bool endpoint_received(const std::string& text) const
    {
        for (const auto& request : endpoint.requests)
        {
            if (request.find(text) != std::string::npos)
                return true;
        }
        return false;
    }

    std::size_t admitted = 0;
    std::uint64_t assigned = 0;
    std::vector<std::int64_t> settled;
    std::vector<routing::outcome> released;
    struct acquire_call
    {
        time_point at;
        routing::request_spec spec;
    };
    /// Calls of control_port::acquire, in order.
    std::vector<acquire_call> acquired;
    /// Called before each assignment of an endpoint.
    std::function<void()> on_acquire = [] {};

    /// Keeps the answers of control_port::admit or acquire in held_answers.
    bool hold_admissions = false;
    bool hold_endpoints = false;
    std::vector<std::function<void()>> held_answers;

    /// Called for each GET /healthz.
    std::function<std::string()> waiting_for = [] { return std::string(); };

    /// Membership revision that the order book sees; empty when unknown.
    std::optional<std::int64_t> membership = 1;

    scripted_server endpoint;
    std::string address;
    store::fake_store store;
    orders::order_book<store::fake_store> book;
    catalog::published_state state;
    events::recorder events{"i1", 1000};
    metrics::registry metrics;
    std::unique_ptr<server> server_under_test;

private:
    orders::order_environment environment()
    {
        orders::order_environment out;
        out.instance = "i1";
        out.incarnation = "1";
        out.now = [] { return std::chrono::steady_clock::now(); };
        out.unix_ms = [] { return unix_ms(); };
        out.new_id = [] { return unique_id(); };
        out.after = [this](duration, std::function<void()> action)
        { asio::post(endpoint.context, std::move(action)); };
        out.membership = [this] { return membership; };
        out.is_fenced = [](const std::string&, const std::string&, std::int64_t)
        { return false; };
        return out;
    }

    void answer_or_hold(std::function<void()> answer, bool hold)
    {
        if (hold)
            held_answers.push_back(std::move(answer));
        else
            answer();
    }

    control_port make_control()
    {
        control_port out;
        out.admit = [this](workspace_id workspace, std::int64_t tokens,
                        time_point, auto handler)
        {
            const limits::reservation made{++admitted, workspace, tokens, 1};
            answer_or_hold([handler, made] { handler(made); }, hold_admissions);
        };
        out.settle = [this](limits::reservation, std::int64_t used)
        { settled.push_back(used); };
        out.acquire = [this](routing::request_spec spec, auto handler)
        {
            on_acquire();
            acquired.push_back({std::chrono::steady_clock::now(), spec});
            routing::assignment held;
            held.id = ++assigned;
            held.endpoint = endpoint_id("e" + std::to_string(held.id));
            held.address = address;
            answer_or_hold([handler, held] { handler(held); }, hold_endpoints);
        };
        out.release = [this](std::uint64_t, routing::outcome outcome,
                          std::int64_t) { released.push_back(outcome); };
        out.entries = [](auto handler) {
            handler(std::vector<entry_address>{{"10.0.0.1:1", "a"}});
        };
        return out;
    }

    order_port make_orders()
    {
        order_port out;
        out.begin = [this](auto call, auto handler)
        { book.begin(std::move(call), std::move(handler)); };
        out.check = [this](const auto& permit) { return book.check(permit); };
        out.complete = [this](auto permit, auto answer, auto handler) {
            book.complete(
                std::move(permit), std::move(answer), std::move(handler));
        };
        out.mark_unknown = [this](auto permit, auto handler)
        { book.mark_unknown(std::move(permit), std::move(handler)); };
        out.mark_not_run = [this](auto permit, auto handler)
        { book.mark_not_run(std::move(permit), std::move(handler)); };
        return out;
    }
};

} // namespace tarragonquay::ingress::testing
