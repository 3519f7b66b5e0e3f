#include <utility>

#include "ingress/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/socket_address.hpp"
#include "ingress/connection.hpp"
#include "ingress/worker.hpp"

namespace tarragonquay::ingress
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

// Delay before accepting again after a failure, for example when no file
// descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{100};
// Connections above the connection limit that are answered at the same time.
// Each holds its descriptor for up to about a second. Beyond this number,
// connections are closed without an answer, which bounds the memory.
constexpr std::size_t max_refusals = 256;
// Time between the start of a shutdown and the closing of idle connections, so
// that requests already sent can arrive.
constexpr std::chrono::seconds idle_close_delay{1};
// Time that requests have to end by themselves when the time of a stop is over.
// Completions notice it within stream_watch::interval.
constexpr std::chrono::milliseconds own_end_time{400};

} // namespace

struct server::implementation
    : std::enable_shared_from_this<server::implementation>
{
    explicit implementation(const asio::any_io_executor& executor)
        : acceptor(executor), accept_retry_timer(executor)
    {
    }

    result<void> listen(const std::string& address)
    {
        auto opened = open_acceptor(acceptor.get_executor(), address);
        if (!opened)
            return fail(error_code::invalid_settings, opened.error().message());
        acceptor = std::move(*opened);
        boost::system::error_code ignored;
        port = acceptor.local_endpoint(ignored).port();
        return {};
    }

    void accept()
    {
        if (shared->stopping)
            return shared->activities.end();
        auto next = workers[next_worker++ % workers.size()];
        acceptor.async_accept(next->executor,
            [self = shared_from_this(), next](
                const boost::system::error_code& ec, tcp::socket socket)
            { self->accepted(ec, next, std::move(socket)); });
    }

    void accepted(const boost::system::error_code& ec,
        const std::shared_ptr<worker>& io_worker, tcp::socket socket)
    {
        if (ec == asio::error::operation_aborted)
            return shared->activities.end();
        if (ec)
        {
            TQ_LOG(shared->logger, warning)
                << "Accepting a connection failed: " << ec.message();
            accept_retry_timer.expires_after(accept_retry_delay);
            accept_retry_timer.async_wait(
                [self = shared_from_this()](
                    const boost::system::error_code& failed)
                {
                    if (!failed || self->shared->stopping)
                        self->accept();
                });
            return;
        }
        if (shared->connections.fetch_add(1) >=
            shared->settings.max_connections)
        {
            --shared->connections;
            shared->services.metrics->add("tq_connections_refused_total", {});
            if (shared->refusals.fetch_add(1) >= max_refusals)
                --shared->refusals;
            else
                spawn(io_worker,
                    refuse_connection(io_worker, std::move(socket)),
                    shared->refusals);
        }
        else
        {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            shared->activities.begin();
            spawn(io_worker, serve_connection(io_worker, std::move(socket)),
                shared->connections);
        }
        accept();
    }

    // Runs the task and decrements `count`, which is a member of `shared`, when
    // it has ended.
    void spawn(const std::shared_ptr<worker>& io_worker,
        asio::awaitable<void> task, std::atomic<std::size_t>& count)
    {
        asio::co_spawn(io_worker->executor, std::move(task),
            [all = shared, &count](std::exception_ptr failure)
            {
                --count;
                if (failure)
                    TQ_LOG(all->logger, error)
                        << "A connection ended with an exception.";
            });
    }

    std::shared_ptr<server_shared> shared = std::make_shared<server_shared>();
    tcp::acceptor acceptor;
    asio::steady_timer accept_retry_timer;
    std::vector<std::shared_ptr<worker>> workers;
    std::size_t next_worker = 0;
    unsigned short port = 0;
};

server::server(std::shared_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

server::~server() = default;

result<std::unique_ptr<server>> server::create(
    std::vector<asio::any_io_executor> executors, server_settings settings,
    server_services services)
{
    if (executors.empty())
        return fail(
            error_code::invalid_settings, "the server needs an executor");
    const auto address = settings.listen_address;
    auto impl = std::make_shared<implementation>(executors.front());
    impl->shared->settings = std::move(settings);
    impl->shared->services = std::move(services);
    for (auto& executor : executors)
    {
        auto next = std::make_shared<worker>();
        next->shared = impl->shared;
        next->executor = std::move(executor);
        impl->workers.push_back(std::move(next));
    }
    if (auto listening = impl->listen(address); !listening)
        return tl::unexpected<error>(listening.error());
    return std::unique_ptr<server>(new server(std::move(impl)));
}

unsigned short server::port() const
{
    return implementation_->port;
}

void server::start()
{
    implementation_->shared->activities.begin();
    asio::post(implementation_->acceptor.get_executor(),
        [impl = implementation_] { impl->accept(); });
}

void server::stop_accepting()
{
    implementation_->shared->stopping = true;
    asio::post(implementation_->acceptor.get_executor(),
        [impl = implementation_]
        {
            boost::system::error_code ignored;
            impl->acceptor.close(ignored);
            impl->accept_retry_timer.cancel();
        });
    for (const auto& each : implementation_->workers)
        asio::post(each->executor,
            [each]
            {
                auto timer = std::make_shared<asio::steady_timer>(
                    each->executor, idle_close_delay);
                timer->async_wait(
                    [each, timer](const boost::system::error_code& failed)
                    {
                        if (!failed)
                            each->close_idle();
                    });
            });
}

void server::end_requests()
{
    for (const auto& each : implementation_->workers)
        asio::post(each->executor,
            [each]
            {
                each->waiting.notify();
                auto timer = std::make_shared<asio::steady_timer>(
                    each->executor, own_end_time);
                timer->async_wait(
                    [each, timer](const boost::system::error_code& failed)
                    {
                        if (!failed)
                            each->serving.notify();
                    });
            });
}

void server::wait_until_idle(std::function<void()> handler)
{
    implementation_->shared->activities.when_idle(std::move(handler));
}

} // namespace tarragonquay::ingress
