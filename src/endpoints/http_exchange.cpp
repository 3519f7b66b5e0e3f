#include "endpoints/http_exchange.hpp"

#include <algorithm>

#include <boost/asio/use_awaitable.hpp>

namespace tarragonquay::endpoints
{

namespace asio = boost::asio;

std::optional<http_connection> connection_pool::take(
    const std::string& address, time_point now)
{
    discard_old(now);
    const auto it = idle_.find(address);
    if (it == idle_.end())
        return std::nullopt;
    auto connection = std::move(it->second.back().connection);
    it->second.pop_back();
    if (it->second.empty())
        idle_.erase(it);
    return connection;
}

void connection_pool::put(
    const std::string& address, http_connection connection, time_point now)
{
    discard_old(now);
    auto& connections = idle_[address];
    if (connections.size() < max_idle_per_endpoint)
        connections.push_back({std::move(connection), now});
}

void connection_pool::discard_old(time_point now)
{
    for (auto it = idle_.begin(); it != idle_.end();)
    {
        auto& connections = it->second;
        while (!connections.empty() &&
               connections.front().since + max_idle_age <= now)
            connections.pop_front();
        it = connections.empty() ? idle_.erase(it) : std::next(it);
    }
}

namespace
{

// An endpoint that does not accept within this time is as good as down.
constexpr std::chrono::seconds connect_limit{2};

result<void> check_before_send(const exchange_request& request)
{
    if (!request.before_send)
        return {};
    return request.before_send();
}

} // namespace

asio::awaitable<result<open_answer>> start_exchange(
    connection_pool& pool, const exchange_request& request)
{
    if (request.idempotent)
    {
        auto pooled =
            pool.take(request.address, std::chrono::steady_clock::now());
        if (pooled)
        {
            if (auto checked = check_before_send(request); !checked)
                co_return tl::unexpected<error>(checked.error());
            auto head = co_await pooled->send(request);
            if (head)
                co_return open_answer{std::move(*pooled), std::move(*head)};
            if (pooled->answer_started() ||
                head.error().code() != error_code::connection_broken)
                co_return tl::unexpected<error>(head.error());
        }
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
