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
        time_point use_until;
    };

    void discard_expired(time_point now)
    {
        for (auto it = idle.begin(); it != idle.end();)
        {
            auto& connections = it->second;
            std::erase_if(connections, [now](const idle_connection& each)
                { return each.use_until <= now; });
            it = connections.empty() ? idle.erase(it) : std::next(it);
        }
    }

    void start_timer(const asio::any_io_executor& executor)
    {
        if (timer_started)
            return;
        timer_started = true;
        if (!timer)
            timer.emplace(executor);
        timer->expires_after(max_idle_age);
        timer->async_wait(
            [weak = weak_from_this()](const boost::system::error_code& ec)
            {
                const auto self = weak.lock();
                if (ec || !self)
                    return;
                self->timer_started = false;
                self->discard_expired(std::chrono::steady_clock::now());
                if (!self->idle.empty())
                    self->start_timer(self->timer->get_executor());
            });
    }

    std::map<std::string, std::deque<idle_connection>> idle;
    std::optional<asio::steady_timer> timer;
    bool timer_started = false;
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
    implementation_->discard_expired(now);
    const auto it = idle.find(address);
    if (it == idle.end())
        return std::nullopt;
    auto& connections = it->second;
    std::optional<http_connection> out;
    while (!out && !connections.empty())
    {
        if (connections.back().connection.is_idle())
            out.emplace(std::move(connections.back().connection));
        connections.pop_back();
    }
    if (connections.empty())
        idle.erase(it);
    return out;
}

void connection_pool::put(
    const std::string& address, http_connection connection, time_point now)
{
    implementation_->discard_expired(now);
    auto& connections = implementation_->idle[address];
    if (connections.size() >= max_idle_per_endpoint)
        return;
    const auto executor = connection.executor();
    duration age = max_idle_age;
    if (const auto server_timeout = connection.idle_timeout())
        age = std::min<duration>(age, *server_timeout / 2);
    connections.push_back({std::move(connection), now + age});
    implementation_->start_timer(executor);
}

void connection_pool::discard(const std::string& address)
{
    implementation_->idle.erase(address);
}

namespace
{

// An endpoint that does not accept a connection in this time counts as
// unreachable.
constexpr std::chrono::seconds connect_timeout{2};
// An unresponsive pooled connection can't be distinguished from a slow answer.
// A request without an answer after this time is sent a second time.
constexpr std::chrono::seconds pooled_answer_timeout{2};

result<void> check_before_send(const exchange_request& request)
{
    if (!request.before_send)
        return {};
    return request.before_send();
}

// Sends the request over an idle connection. Returns nothing when a new
// connection is needed: there is no idle one, or it turned out to be closed or
// unresponsive. Sets `may_have_run` when a part of the request may have
// arrived.
asio::awaitable<std::optional<result<open_answer>>> try_pooled(
    connection_pool& pool, exchange_request request, bool& may_have_run)
{
    using outcome = std::optional<result<open_answer>>;
    const auto now = std::chrono::steady_clock::now();
    auto pooled = pool.take(request.address, now);
    if (!pooled)
        co_return std::nullopt;
    if (auto checked = check_before_send(request); !checked)
        co_return outcome(tl::unexpected<error>(checked.error()));
    const auto deadline = request.deadline;
    request.deadline = std::min(deadline, now + pooled_answer_timeout);
    may_have_run = true;
    auto head = co_await pooled->send(request);
    if (head)
        co_return outcome(open_answer{std::move(*pooled), std::move(*head)});
    if (pooled->answer_started())
        co_return outcome(tl::unexpected<error>(head.error()));
    if (head.error().code() == error_code::connection_broken)
        co_return std::nullopt;
    if (head.error().code() != error_code::deadline_exceeded)
        co_return outcome(tl::unexpected<error>(head.error()));
    // The other idle connections are most likely unresponsive too.
    pool.discard(request.address);
    if (std::chrono::steady_clock::now() >= deadline)
        co_return outcome(tl::unexpected<error>(head.error()));
    co_return std::nullopt;
}

// How often an unresponsive new connection is replaced. The last one may use
// all the remaining time, so that slow answers still arrive.
constexpr int max_resends = 2;

struct send_outcome
{
    result<open_answer> answer;
    /// The deadline expired before the first byte of an answer.
    bool unresponsive = false;
};

asio::awaitable<send_outcome> send_over_new(const exchange_request& request)
{
    auto opened = co_await http_connection::open(request.address,
        std::min(request.deadline,
            std::chrono::steady_clock::now() + connect_timeout));
    if (!opened)
        co_return send_outcome{tl::unexpected<error>(opened.error())};
    if (auto checked = check_before_send(request); !checked)
        co_return send_outcome{tl::unexpected<error>(checked.error())};
    auto head = co_await opened->send(request);
    if (head)
        co_return send_outcome{
            open_answer{std::move(*opened), std::move(*head)}};
    const bool unresponsive =
        head.error().code() == error_code::deadline_exceeded &&
        !opened->answer_started();
    co_return send_outcome{tl::unexpected<error>(head.error()), unresponsive};
}

// An error after an earlier send must not have execution not_run.
result<open_answer> include_earlier_sends(
    result<open_answer> answer, bool may_have_run)
{
    if (answer || !may_have_run)
        return answer;
    return tl::unexpected<error>(
        answer.error().with_execution(execution_state::unknown));
}

// When to send the request again unless the answer has started. Nothing when
// the next connection would have less time than this one.
std::optional<time_point> resend_time(const exchange_request& request)
{
    if (!request.idempotent || !request.resend_after)
        return std::nullopt;
    const auto at = std::chrono::steady_clock::now() + *request.resend_after;
    if (at + *request.resend_after > request.deadline)
        return std::nullopt;
    return at;
}

} // namespace

asio::awaitable<result<open_answer>> start_exchange(
    connection_pool& pool, const exchange_request& request)
{
    bool may_have_run = false;
    if (request.idempotent)
    {
        auto answered = co_await try_pooled(pool, request, may_have_run);
        if (answered)
            co_return std::move(*answered);
    }
    for (int resends = 0; resends < max_resends; ++resends)
    {
        const auto resend_at = resend_time(request);
        if (!resend_at)
            break;
        auto timed_request = request;
        timed_request.deadline = *resend_at;
        auto sent = co_await send_over_new(timed_request);
        if (!sent.unresponsive)
            co_return include_earlier_sends(
                std::move(sent.answer), may_have_run);
        may_have_run = true;
    }
    auto sent = co_await send_over_new(request);
    co_return include_earlier_sends(std::move(sent.answer), may_have_run);
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
