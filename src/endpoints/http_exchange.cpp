#include <utility>

#include "endpoints/http_exchange.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tarragonquay::endpoints
{

namespace asio = boost::asio;

struct connection_pool::implementation
    : std::enable_shared_from_this<connection_pool::implementation>
{
    struct idle_connection
    {
        http_connection connection;
        time_point since;
    };

    void discard_old(time_point now)
    {
        for (auto it = idle.begin(); it != idle.end();)
        {
            auto& connections = it->second;
            while (!connections.empty() &&
                   connections.front().since + max_idle_age <= now)
                connections.pop_front();
            it = connections.empty() ? idle.erase(it) : std::next(it);
        }
    }

    void arm(const asio::any_io_executor& executor)
    {
        if (armed)
            return;
        armed = true;
        if (!timer)
            timer.emplace(executor);
        timer->expires_after(max_idle_age);
        timer->async_wait(
            [weak = weak_from_this()](const boost::system::error_code& ec)
            {
                const auto self = weak.lock();
                if (ec || !self)
                    return;
                self->armed = false;
                self->discard_old(std::chrono::steady_clock::now());
                if (!self->idle.empty())
                    self->arm(self->timer->get_executor());
            });
    }

    std::map<std::string, std::deque<idle_connection>> idle;
    std::optional<asio::steady_timer> timer;
    bool armed = false;
};

connection_pool::connection_pool()
    : implementation_(std::make_shared<implementation>())
{
}

connection_pool::~connection_pool() = default;

std::optional<http_connection> connection_pool::take(
    const std::string& address, time_point now)
{
    auto& idle = implementation_->idle;
    implementation_->discard_old(now);
    const auto it = idle.find(address);
    if (it == idle.end())
        return std::nullopt;
    auto connection = std::move(it->second.back().connection);
    it->second.pop_back();
    if (it->second.empty())
        idle.erase(it);
    return connection;
}

void connection_pool::put(
    const std::string& address, http_connection connection, time_point now)
{
    implementation_->discard_old(now);
    auto& connections = implementation_->idle[address];
    if (connections.size() >= max_idle_per_endpoint)
        return;
    const auto executor = connection.executor();
    connections.push_back({std::move(connection), now});
    implementation_->arm(executor);
}

void connection_pool::discard(const std::string& address)
{
    implementation_->idle.erase(address);
}

namespace
{

// An endpoint that does not accept within this time is as good as down.
constexpr std::chrono::seconds connect_limit{2};
// A pooled connection may have gone silent, which looks like a slow answer.
// A call that takes longer than this is sent a second time.
constexpr std::chrono::seconds pooled_answer_limit{2};

result<void> check_before_send(const exchange_request& request)
{
    if (!request.before_send)
        return {};
    return request.before_send();
}

// Sends the request over an idle connection. Nothing when there is none or
// when it turned out to be closed or silent, so that a new one is needed.
asio::awaitable<std::optional<result<open_answer>>> try_pooled(
    connection_pool& pool, exchange_request request)
{
    using outcome = std::optional<result<open_answer>>;
    const auto now = std::chrono::steady_clock::now();
    auto pooled = pool.take(request.address, now);
    if (!pooled)
        co_return std::nullopt;
    if (auto checked = check_before_send(request); !checked)
        co_return outcome(tl::unexpected<error>(checked.error()));
    const auto deadline = request.deadline;
    request.deadline = std::min(deadline, now + pooled_answer_limit);
    auto head = co_await pooled->send(request);
    if (head)
        co_return outcome(open_answer{std::move(*pooled), std::move(*head)});
    if (pooled->answer_started())
        co_return outcome(tl::unexpected<error>(head.error()));
    if (head.error().code() == error_code::connection_broken)
        co_return std::nullopt;
    if (head.error().code() != error_code::deadline_exceeded)
        co_return outcome(tl::unexpected<error>(head.error()));
    // Whatever silenced this connection has most likely silenced the others.
    pool.discard(request.address);
    if (std::chrono::steady_clock::now() >= deadline)
        co_return outcome(tl::unexpected<error>(head.error()));
    co_return std::nullopt;
}

} // namespace

asio::awaitable<result<open_answer>> start_exchange(
    connection_pool& pool, const exchange_request& request)
{
    if (request.idempotent)
    {
        auto answered = co_await try_pooled(pool, request);
        if (answered)
            co_return std::move(*answered);
    }
    auto opened = co_await http_connection::open(
        request.address, std::min(request.deadline,
                             std::chrono::steady_clock::now() + connect_limit));
    if (!opened)
        co_return tl::unexpected<error>(opened.error());
    if (auto checked = check_before_send(request); !checked)
        co_return tl::unexpected<error>(checked.error());
    auto head = co_await opened->send(request);
    if (!head)
        co_return tl::unexpected<error>(head.error());
    co_return open_answer{std::move(*opened), std::move(*head)};
}

asio::awaitable<result<exchange_answer>> exchange(
    connection_pool& pool, exchange_request request)
{
    auto started = co_await start_exchange(pool, request);
    if (!started)
        co_return tl::unexpected<error>(started.error());
    exchange_answer answer;
    answer.head = std::move(started->head);
    while (true)
    {
        auto part = co_await started->connection.read_some(request.deadline);
        if (!part)
            co_return tl::unexpected<error>(part.error());
        if (part->empty())
            break;
        answer.body += *part;
    }
    if (started->connection.reusable())
        pool.put(request.address, std::move(started->connection),
            std::chrono::steady_clock::now());
    co_return answer;
}

} // namespace tarragonquay::endpoints
