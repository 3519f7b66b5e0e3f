#include "ingress/routes.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>

#include <nlohmann/json.hpp>

#include "common/digest.hpp"
#include "ingress/await_callback.hpp"
#include "ingress/http_status.hpp"

namespace tarragonquay::ingress
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

caller_answer json_answer(const json& body, int status = 200)
{
    caller_answer answer;
    answer.status = status;
    answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return answer;
}

asio::awaitable<void> serve_models(
    worker& io_worker, const caller_request& request, responder& out)
{
    const auto identity = authorize(*io_worker.services().state, request.key);
    if (!identity)
    {
        co_await answer_error(io_worker, request, out, identity.error());
        co_return;
    }
    json data = json::array();
    const auto view = io_worker.services().state->current();
    for (const auto& [id, model] : view->models())
        data.push_back({{"id", id.str()}, {"object", "model"},
            {"version", model.version}});
    auto answer = json_answer({{"object", "list"}, {"data", data}});
    co_await out.respond(std::move(answer));
}

asio::awaitable<void> serve_entries(
    worker& io_worker, const caller_request& request, responder& out)
{
    const auto& control = io_worker.services().control;
    // Computed before the entries are read: a stopping instance counts the time
    // from when a list that includes it was last read.
    const auto keep_until =
        unix_ms() + std::chrono::duration_cast<std::chrono::milliseconds>(
                        io_worker.shared->settings.entries_keep)
                        .count();
    auto entries = co_await await_callback<std::vector<entry_address>>(
        [&control](auto handler) { control.entries(std::move(handler)); });
    auto zone = request.parameter("availability_zone");
    if (zone.empty())
        zone = io_worker.shared->settings.availability_zone;
    order_entries(entries, request.parameter("workspace"), zone);
    json list = json::array();
    for (const auto& entry : entries)
        list.push_back({{"address", entry.address},
            {"availability_zone", entry.availability_zone}});
    auto answer =
        json_answer({{"entries", list}, {"keep_until_unix_ms", keep_until}});
    co_await out.respond(std::move(answer));
}

asio::awaitable<void> serve_health(worker& io_worker, responder& out)
{
    const auto& services = io_worker.services();
    std::string waiting;
    if (services.waiting_for)
        waiting = services.waiting_for();
    const bool has_lease = has_view_lease(*services.state);
    const bool stopping =
        io_worker.shared->stopping || services.state->stopping();
    if (waiting.empty() && !has_lease)
        waiting = "view lease";
    const bool ready = has_lease && !stopping;
    auto answer =
        json_answer({{"status", stopping    ? "stopping"
                                : has_lease ? "ready"
                                            : "not_ready"},
                        {"waiting_for", waiting}, {"view_lease", has_lease},
                        {"revision", services.state->current()->revision()}},
            ready ? 200 : 503);
    co_await out.respond(std::move(answer));
}

asio::awaitable<void> serve_metrics(worker& io_worker, responder& out)
{
    caller_answer answer;
    answer.content_type = "text/plain; version=0.0.4";
    answer.body = io_worker.services().metrics->prometheus_text();
    co_await out.respond(std::move(answer));
}

/// A wait for a result that ends early when the time of a stop is over. The
/// result and the end come from different threads.
template <class T>
class stoppable_wait
{
public:
    using handler = std::function<void(result<T>)>;

    explicit stoppable_wait(handler on_done) : on_done_(std::move(on_done)) {}

    /// Returns false when the wait has already ended.
    bool end(result<T> outcome)
    {
        if (ended_.exchange(true))
            return false;
        on_done_(std::move(outcome));
        return true;
    }

private:
    const handler on_done_;
    std::atomic<bool> ended_{false};
};

// Waits for the result of `start`, or for the end of a stop's time. `discard`
// receives a value that arrives later; it may be called on any thread.
template <class T, class Start, class Discard>
asio::awaitable<result<T>> await_before_stop(
    worker& io_worker, Start start, Discard discard)
{
    const error stopped(error_code::stopping,
        "the instance stops before the request can begin");
    if (io_worker.waiting.notified())
        co_return tl::unexpected<error>(stopped);
    std::optional<stop_listeners::subscription> subscribed;
    auto outcome = co_await await_callback<result<T>>(
        [&](auto handler)
        {
            auto wait = std::make_shared<stoppable_wait<T>>(std::move(handler));
            subscribed.emplace(io_worker.waiting,
                [wait, stopped] { wait->end(tl::unexpected<error>(stopped)); });
            start(
                [wait, discard](result<T> value)
                {
                    // Copied, because end() takes its argument in any case.
                    if (!wait->end(value) && value)
                        discard(std::move(*value));
                });
        });
    co_return outcome;
}

} // namespace

void order_entries(std::vector<entry_address>& entries,
    const std::string& workspace, const std::string& zone)
{
    const auto rank = [&](const entry_address& entry)
    {
        return std::pair(entry.availability_zone != zone,
            ~fast_hash(workspace + "\n" + entry.address));
    };
    std::sort(entries.begin(), entries.end(),
        [&](const auto& left, const auto& right)
        { return rank(left) < rank(right); });
}

asio::awaitable<void> answer_error(worker& io_worker,
    const caller_request& request, responder& out, error cause)
{
    const std::string code(to_string(cause.code()));
    io_worker.services().metrics->add(
        "tq_request_errors_total", {{"code", code}});
    io_worker.services().events->record(
        events::kind::request_refused, request.request_id, code);
    auto body = error_body(cause, request.request_id);
    if (out.stream_started())
    {
        co_await out.write_stream("event: error\ndata: " + body + "\n\n");
        co_await out.end_stream();
        co_return;
    }
    caller_answer answer;
    answer.status = http_status(cause.code());
    answer.body = std::move(body);
    co_await out.respond(std::move(answer));
}

asio::awaitable<result<limits::reservation>> admit(worker& io_worker,
    workspace_id workspace, std::int64_t tokens, time_point deadline)
{
    const auto& control = io_worker.services().control;
    co_return co_await await_before_stop<limits::reservation>(
        io_worker,
        [&](auto handler)
        { control.admit(workspace, tokens, deadline, std::move(handler)); },
        [&control](limits::reservation unused)
        { control.settle(std::move(unused), 0); });
}

asio::awaitable<result<routing::assignment>> acquire(
    worker& io_worker, routing::request_spec spec)
{
    const auto& control = io_worker.services().control;
    co_return co_await await_before_stop<routing::assignment>(
        io_worker,
        [&](auto handler) { control.acquire(spec, std::move(handler)); },
        [&control](const routing::assignment& unused)
        { control.release(unused.id, routing::outcome::cancelled, 0); });
}

routing::outcome assignment_outcome(const error& cause)
{
    switch (cause.code())
    {
    case error_code::overloaded:
    case error_code::endpoint_rejected:
        return routing::outcome::rejected;
    case error_code::model_not_ready:
        return routing::outcome::not_resident;
    case error_code::cancelled:
    case error_code::withdrawn_key:
    case error_code::no_view_lease:
    case error_code::stopping:
        return routing::outcome::cancelled;
    default:
        return routing::outcome::failed;
    }
}

void log_defect(worker& io_worker, const routing::assignment& held,
    const std::string& request_id, const error& cause)
{
    if (cause.code() == error_code::incomplete_answer ||
        cause.code() == error_code::invalid_answer)
        TQ_LOG(io_worker.shared->logger, warning)
            << "Endpoint " << held.endpoint.str()
            << " gave no usable answer to request " << request_id << ": "
            << cause.message() << ".";
}

asio::awaitable<void> serve(
    worker& io_worker, caller_request request, responder& out)
{
    const bool is_get = request.method == "GET";
    if (request.path == "/v1/chat/completions" && request.method == "POST")
        co_await serve_completion(io_worker, request, out);
    else if (request.path.starts_with("/services/"))
        co_await serve_service(io_worker, request, out);
    else if (request.path == "/v1/models" && is_get)
        co_await serve_models(io_worker, request, out);
    else if (request.path == "/v1/entries" && is_get)
        co_await serve_entries(io_worker, request, out);
    else if (request.path == "/healthz" && is_get)
        co_await serve_health(io_worker, out);
    else if (request.path == "/metrics" && is_get)
        co_await serve_metrics(io_worker, out);
    else
    {
        error cause(error_code::not_found, "there is no such route");
        co_await answer_error(io_worker, request, out, std::move(cause));
    }
}

} // namespace tarragonquay::ingress
