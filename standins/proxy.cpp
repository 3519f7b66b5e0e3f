#include <utility>

#include <algorithm>
#include <array>
#include <stdexcept>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "common/socket_address.hpp"
#include "standins/http.hpp"
#include "standins/programs.hpp"

namespace tarragonquay::standins
{
namespace
{

using tcp = asio::ip::tcp;
using boost::system::error_code;

struct proxy_options
{
    std::vector<std::string> listen;
    std::vector<std::string> target;
    std::string admin = "127.0.0.1:0";
};

/// Both sides of one proxied connection.
struct link
{
    explicit link(tcp::socket client_socket)
        : client(std::move(client_socket)), server(client.get_executor())
    {
    }

    tcp::socket client;
    tcp::socket server;
    bool frozen_up = false;
    bool frozen_down = false;
    /// Directions in which the end of the connection was passed on.
    int ended_directions = 0;
};

/// One listening address, its target and its present faults.
struct route
{
    std::string target;
    double delay_ms = 0;
    double bytes_per_second = 0;
    bool drop_new = false;
    bool freeze_new = false;
    int accepted = 0;
    std::vector<std::shared_ptr<link>> links;
};

void close(link& connection)
{
    error_code ignored;
    connection.client.close(ignored);
    connection.server.close(ignored);
}

/// Waits for good; the link stays open and carries nothing more.
asio::awaitable<void> stay_frozen()
{
    constexpr double day_ms = 86'400'000;
    co_await sleep_ms(day_ms);
}

asio::awaitable<void> pump(
    std::shared_ptr<link> connection, const route& faults, bool up)
{
    tcp::socket& from = up ? connection->client : connection->server;
    tcp::socket& to = up ? connection->server : connection->client;
    const bool& frozen = up ? connection->frozen_up : connection->frozen_down;
    std::array<char, 16384> bytes{};
    error_code failure;
    while (!failure)
    {
        const std::size_t count =
            co_await from.async_read_some(asio::buffer(bytes),
                asio::redirect_error(asio::use_awaitable, failure));
        if (!frozen && faults.delay_ms > 0)
            co_await sleep_ms(faults.delay_ms);
        if (!frozen && faults.bytes_per_second > 0)
            co_await sleep_ms(
                static_cast<double>(count) * 1000 / faults.bytes_per_second);
        // A frozen link passes neither bytes nor the end of the connection.
        if (frozen)
            co_await stay_frozen();
        if (failure)
            break;
        co_await asio::async_write(to, asio::buffer(bytes.data(), count),
            asio::redirect_error(asio::use_awaitable, failure));
    }
    const bool half_closed =
        failure == asio::error::eof && ++connection->ended_directions < 2;
    if (half_closed)
        to.shutdown(tcp::socket::shutdown_send, failure);
    else
        close(*connection);
}

class proxy
{
public:
    void add(asio::io_context& io, const std::string& listen,
        const std::string& target)
    {
        auto acceptor = open_acceptor(io.get_executor(), listen);
        if (!acceptor)
            throw std::runtime_error(acceptor.error().message());
        print_listening("proxy-" + std::to_string(routes_.size()),
            to_text(acceptor->local_endpoint()));
        routes_.push_back(std::make_unique<route>());
        routes_.back()->target = target;
        asio::co_spawn(
            io, accept(std::move(*acceptor), *routes_.back()), asio::detached);
    }

    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer)
    {
        co_await peer.answer(admin(request));
    }

private:
    static asio::awaitable<void> accept(tcp::acceptor acceptor, route& faults)
    {
        for (;;)
        {
            error_code failure;
            tcp::socket socket = co_await acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
            {
                co_await sleep_ms(10);
                continue;
            }
            ++faults.accepted;
            if (faults.drop_new)
                continue;
            auto connection = std::make_shared<link>(std::move(socket));
            connection->frozen_up = connection->frozen_down = faults.freeze_new;
            auto& links = faults.links;
            links.erase(
                std::remove_if(links.begin(), links.end(),
                    [](const auto& one) { return !one->client.is_open(); }),
                links.end());
            links.push_back(connection);
            asio::co_spawn(acceptor.get_executor(), serve(connection, faults),
                asio::detached);
        }
    }

    static asio::awaitable<void> serve(
        std::shared_ptr<link> connection, const route& faults)
    {
        const auto target = parse_socket_address(faults.target);
        error_code failure = asio::error::invalid_argument;
        if (target)
            co_await connection->server.async_connect(
                *target, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            close(*connection);
            co_return;
        }
        error_code ignored;
        connection->client.set_option(tcp::no_delay(true), ignored);
        connection->server.set_option(tcp::no_delay(true), ignored);
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(
            executor, pump(connection, faults, true), asio::detached);
        asio::co_spawn(
            executor, pump(connection, faults, false), asio::detached);
    }

    http_answer admin(const http_request& request)
    {
        if (request.path == "/admin/routes" && request.method == "GET")
            return json_answer(describe());
        if (request.path != "/admin/routes")
            return error_answer(404, "not_found", "no such admin path");
        const json change = request.body_json();
        if (!change.contains("route"))
            for (auto& one : routes_)
                apply(*one, change);
        else
            apply(*routes_.at(change.at("route").get<std::size_t>()), change);
        return json_answer({{"ok", true}});
    }

    json describe() const
    {
        json list = json::array();
        for (const auto& one : routes_)
            list.push_back({{"target", one->target},
                {"accepted", one->accepted}, {"drop_new", one->drop_new},
                {"freeze_new", one->freeze_new}, {"delay_ms", one->delay_ms},
                {"bytes_per_second", one->bytes_per_second}});
        return {{"routes", list}};
    }

    static void freeze_open(route& faults, const std::string& direction)
    {
        for (auto& connection : faults.links)
        {
            connection->frozen_up |= direction != "down";
            connection->frozen_down |= direction != "up";
        }
    }

    static void apply(route& faults, const json& change)
    {
        if (change.value("heal", false))
        {
            faults.delay_ms = faults.bytes_per_second = 0;
            faults.drop_new = faults.freeze_new = false;
        }
        faults.delay_ms = change.value("delay_ms", faults.delay_ms);
        faults.bytes_per_second =
            change.value("bytes_per_second", faults.bytes_per_second);
        faults.drop_new = change.value("drop_new", faults.drop_new);
        faults.freeze_new = change.value("freeze_new", faults.freeze_new);
        if (change.contains("freeze_open"))
            freeze_open(faults, change.at("freeze_open").get<std::string>());
        if (change.value("freeze_new", false))
            freeze_open(faults, "both");
        if (change.value("cut_all", false))
            for (auto& connection : faults.links)
                close(*connection);
    }

    std::vector<std::unique_ptr<route>> routes_;
};

void run_proxy(const proxy_options& options)
{
    if (options.listen.size() != options.target.size())
        throw std::runtime_error("each --listen needs one --target");
    asio::io_context io(1);
    proxy routes;
    for (std::size_t i = 0; i < options.listen.size(); ++i)
        routes.add(io, options.listen[i], options.target[i]);
    listen_or_throw(io, "admin", options.admin,
        [&routes](const http_request& request, http_connection& peer)
        { return routes.handle(request, peer); });
    run_until_signal(io);
}

} // namespace

void add_proxy(CLI::App& app)
{
    auto* command = app.add_subcommand("proxy",
        "TCP proxy with faults; repeat --listen and --target for "
        "several routes, which are printed as proxy-0, proxy-1, ...");
    auto options = std::make_shared<proxy_options>();
    command->add_option("--listen", options->listen, "Address, ip:port")
        ->required();
    command->add_option("--target", options->target, "Target, ip:port")
        ->required();
    command
        ->add_option(
            "--admin", options->admin, "Address of the admin interface")
        ->capture_default_str();
    command->footer(
        "Admin: GET /admin/routes; POST /admin/routes with {route: index "
        "(default all), delay_ms, bytes_per_second, drop_new, cut_all, "
        "freeze_open: up|down|both (open connections, for good), freeze_new "
        "(open and new connections), heal (all but what is frozen)}.");
    command->callback([options] { run_proxy(*options); });
}

} // namespace tarragonquay::standins
