#include <utility>

#include "endpoints/state_poller.hpp"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/random.hpp"
#include "endpoints/endpoint_state.hpp"
#include "endpoints/http_exchange.hpp"

namespace tarragonquay::endpoints
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t state_limit_bytes = 4UL << 20U;
constexpr int status_ok = 200;

} // namespace

struct state_poller::implementation
    : std::enable_shared_from_this<state_poller::implementation>
{
    implementation(asio::any_io_executor executor, report_handler on_report)
        : executor(executor), timer(executor), handler(std::move(on_report))
    {
    }

    void poll_all()
    {
        timer.expires_after(interval);
        timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& ec)
            {
                if (!ec && !self->stopped)
                    self->poll_all();
            });
        for (const auto& target : endpoints)
        {
            // Rare, because the answer timeout is shorter than the interval.
            if (!in_progress.insert(target.id).second)
                continue;
            asio::co_spawn(executor,
                poll(
                    shared_from_this(), target.id, target.address, target.kind),
                asio::detached);
        }
    }

    static asio::awaitable<void> poll(std::shared_ptr<implementation> self,
        endpoint_id id, std::string address, catalog::endpoint_kind kind)
    {
        exchange_request request;
        request.address = address;
        request.target = "/control/state";
        request.request_id = unique_id();
        request.deadline = std::chrono::steady_clock::now() + answer_timeout;
        request.idempotent = true;
        request.body_limit = state_limit_bytes;
        auto answer = co_await exchange(self->pool, std::move(request));
        self->in_progress.erase(id);
        if (self->stopped)
            co_return;
        if (!answer)
            self->handler(id, tl::unexpected<error>(answer.error()));
        else if (kind == catalog::endpoint_kind::service)
            self->handler(
                id, decode_service_state(id, answer->head.status, answer->body,
                        std::chrono::steady_clock::now()));
        else if (answer->head.status != status_ok)
            self->handler(
                id, fail(error_code::endpoint_rejected,
                        "the endpoint answered the state poll with status " +
                            std::to_string(answer->head.status)));
        else
            self->handler(id, decode_endpoint_state(id, answer->body,
                                  std::chrono::steady_clock::now()));
    }

    asio::any_io_executor executor;
    asio::steady_timer timer;
    report_handler handler;
    connection_pool pool;
    std::vector<catalog::endpoint> endpoints;
    std::set<endpoint_id> in_progress;
    bool stopped = false;
};

state_poller::state_poller(
    asio::any_io_executor executor, report_handler handler)
    : implementation_(std::make_shared<implementation>(
          std::move(executor), std::move(handler)))
{
}

state_poller::~state_poller()
{
    stop();
}

void state_poller::set_endpoints(std::vector<catalog::endpoint> endpoints)
{
    implementation_->endpoints = std::move(endpoints);
}

void state_poller::start()
{
    implementation_->poll_all();
}

void state_poller::stop()
{
    implementation_->stopped = true;
    implementation_->timer.cancel();
}

} // namespace tarragonquay::endpoints
