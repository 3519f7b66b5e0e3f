#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "common/digest.hpp"
#include "ingress/await_callback.hpp"
#include "ingress/guards.hpp"
#include "ingress/routes.hpp"

namespace tarragonquay::ingress
{

namespace asio = boost::asio;

namespace
{

// Services report no token usage. Each call is charged one token, so that the
// workspace's rate limit applies to service calls as well.
constexpr std::int64_t tokens_per_call = 1;

constexpr std::array forwarded_answer_headers{"cache-control",
    "content-language", "etag", "last-modified", "retry-after"};

// State of one call to a service across its attempts.
struct service_call
{
    worker& io_worker;
    const caller_request& request;
    responder& out;
    service_id service;
    /// Path and query for the endpoint.
    std::string target;
    /// When to stop waiting for endpoints; see answer_deadline_of().
    time_point answer_deadline;
    bool idempotent = false;
    /// Empty for a call without a valid key on a route that is open to all.
    std::optional<caller> identity;
    bool dispatched = false;
    /// Permission to dispatch an order; empty for other calls.
    std::optional<orders::dispatch_permit> permit;
};

// The caller gives up at its deadline, so the wait for endpoints ends a margin
// earlier, which lets a typed error reach the caller in time.
time_point answer_deadline_of(const caller_request& request)
{
    constexpr duration max_margin = std::chrono::milliseconds(100);
    constexpr int margin_divisor = 10;
    const auto time_budget = request.deadline - request.received_at;
    return request.deadline -
           std::min(max_margin, time_budget / margin_divisor);
}

result<service_call> resolve_call(
    worker& io_worker, const caller_request& request, responder& out)
{
    constexpr std::string_view prefix = "/services/";
    const auto end = request.path.find('/', prefix.size());
    const auto name = request.path.substr(prefix.size(), end - prefix.size());
    const auto view = io_worker.services().state->current();
    const auto* service = view->find_service(service_id(name));
    // A percent-encoded name would differ in length from the decoded one, so
    // the rest of the raw path could not be cut off at its end.
    if (service == nullptr ||
        !request.raw_path.starts_with(std::string(prefix) + name))
        return fail(error_code::not_found, "there is no such service");
    const auto path =
        end == std::string::npos ? std::string("/") : request.path.substr(end);
    const auto rule = view->match_route(*service, path, request.method);
    service_call call{io_worker, request, out, service->name};
    call.answer_deadline = answer_deadline_of(request);
    call.target = request.raw_path.substr(prefix.size() + name.size());
    if (call.target.empty())
        call.target = "/";
    if (!request.query.empty())
        call.target += "?" + request.query;
    call.idempotent = catalog::is_idempotent(rule, request.method);
    if (rule.open_to_all && request.key.empty())
        return call;
    auto identity = authorize(*io_worker.services().state, request.key);
    if (!identity && !rule.open_to_all)
        return tl::unexpected<error>(identity.error());
    // On a route that is open to all, an invalid key is ignored.
    if (identity)
        call.identity = std::move(*identity);
    return call;
}

// Repeats the authorization, because the process may have been paused since
// the first check.
result<void> recheck_before_send(const service_call& call)
{
    if (!call.identity)
        return {};
    const auto authorized = authorize_digest(
        *call.io_worker.services().state, call.identity->secret_sha256);
    if (!authorized)
        return tl::unexpected<error>(authorized.error());
    // Checked after the lease: a membership view that is published later than
    // this lease contains the removal that the lease was renewed with.
    if (call.permit)
        return call.io_worker.services().orders.check(*call.permit);
    return {};
}

endpoints::exchange_request make_exchange(
    const service_call& call, const routing::assignment& held)
{
    endpoints::exchange_request exchange;
    exchange.address = held.address;
    exchange.method = call.request.method;
    exchange.target = call.target;
    exchange.headers = forwarded_headers(call.request);
    exchange.body = call.request.body;
    exchange.request_id =
        call.request.request_id + "-" + std::to_string(held.id);
    exchange.deadline = call.answer_deadline;
    exchange.idempotent = call.idempotent;
    exchange.resend_after = call.io_worker.shared->settings.resend_after;
    return exchange;
}

// Each attempt of an idempotent call except the last gets half of the
// remaining time, which leaves the rest to later attempts.
time_point attempt_deadline(const service_call& call, int attempt)
{
    if (!call.idempotent || attempt == max_attempts)
        return call.answer_deadline;
    const auto now = std::chrono::steady_clock::now();
    return now + (call.answer_deadline - now) / 2;
}

bool may_retry(const service_call& call, const error& cause)
{
    if (std::chrono::steady_clock::now() >= call.answer_deadline)
        return false;
    if (cause.code() == error_code::connect_failed)
        return true;
    // A call is not retried after the first byte of its answer.
    return call.idempotent &&
           (cause.code() == error_code::connection_broken ||
               cause.code() == error_code::deadline_exceeded ||
               cause.code() == error_code::wrong_answer ||
               cause.code() == error_code::invalid_answer);
}

asio::awaitable<result<endpoints::exchange_answer>> run_attempt(
    service_call& call, assignment_guard& assignment, int attempt)
{
    if (std::chrono::steady_clock::now() >= call.answer_deadline)
        co_return fail(
            error_code::deadline_exceeded, "the deadline has passed");
    auto request = make_exchange(call, assignment.held());
    request.deadline = attempt_deadline(call, attempt);
    request.before_send = [&call] { return recheck_before_send(call); };
    auto answer =
        co_await endpoints::exchange(call.io_worker.pool, std::move(request));
    if (answer)
        assignment.set_outcome(routing::outcome::completed);
    else
    {
        assignment.set_outcome(assignment_outcome(answer.error()));
        log_defect(call.io_worker, assignment.held(), call.request.request_id,
            answer.error());
    }
    co_return answer;
}

// Sends the call to one endpoint after another, as long as it may be retried.
asio::awaitable<result<endpoints::exchange_answer>> dispatch(service_call& call)
{
    routing::request_spec spec;
    if (call.identity)
        spec.workspace = call.identity->workspace;
    spec.service = call.service;
    spec.cost_tokens = tokens_per_call;
    spec.priority = call.request.priority;
    spec.deadline = call.answer_deadline;
    for (int attempt = 1;; ++attempt)
    {
        auto assigned = co_await acquire(call.io_worker, spec);
        if (!assigned)
        {
            const auto execution = call.dispatched
                                       ? execution_state::unknown
                                       : assigned.error().execution();
            co_return tl::unexpected<error>(
                assigned.error().with_execution(execution));
        }
        assignment_guard assignment(
            call.io_worker.services().control, std::move(*assigned));
        auto answer = co_await run_attempt(call, assignment, attempt);
        if (answer || answer.error().execution() != execution_state::not_run)
            call.dispatched = true;
        if (answer)
            co_return answer;
        if (attempt < max_attempts && may_retry(call, answer.error()))
        {
            spec.excluded.push_back(assignment.held().endpoint);
            continue;
        }
        if (call.dispatched)
            co_return tl::unexpected<error>(
                answer.error().with_execution(execution_state::unknown));
        co_return answer;
    }
}

caller_answer make_caller_answer(endpoints::exchange_answer answer)
{
    caller_answer out;
    out.status = answer.head.status;
    out.content_type = answer.head.find("content-type");
    for (const auto* name : forwarded_answer_headers)
    {
        auto value = answer.head.find(name);
        if (!value.empty())
            out.headers.push_back({name, std::move(value)});
    }
    out.body = std::move(answer.body);
    return out;
}

orders::order_call make_order(const service_call& call)
{
    orders::order_call order;
    order.workspace = call.identity->workspace;
    order.idempotency_key = call.request.idempotency_key;
    order.service = call.service.str();
    order.method = call.request.method;
    order.path = call.target;
    order.digest = sha256_hex(order.service + "\n" + order.method + "\n" +
                              order.path + "\n" + call.request.body);
    order.deadline = call.request.deadline;
    return order;
}

using mark_order_function =
    std::function<void(orders::dispatch_permit, order_port::done_handler)>;

asio::awaitable<result<void>> mark_order(
    const mark_order_function& function, orders::dispatch_permit permit)
{
    co_return co_await await_callback<result<void>>(
        [&](auto handler) { function(permit, std::move(handler)); });
}

asio::awaitable<result<caller_answer>> finish_order(service_call& call,
    orders::dispatch_permit permit, result<endpoints::exchange_answer> answer)
{
    const auto& services = call.io_worker.services();
    if (!answer && !call.dispatched)
    {
        services.events->record(events::kind::order_not_run, permit.order_id);
        co_await mark_order(services.orders.mark_not_run, std::move(permit));
        co_return tl::unexpected<error>(answer.error());
    }
    if (!answer)
    {
        services.events->record(events::kind::order_outcome_unknown,
            permit.order_id, std::string(to_string(answer.error().code())));
        const auto message = "the outcome of the order " + permit.order_id +
                             " is unknown: " + answer.error().message();
        co_await mark_order(services.orders.mark_unknown, std::move(permit));
        co_return fail(
            error_code::outcome_unknown, message, execution_state::unknown);
    }
    services.events->record(events::kind::order_completed, permit.order_id);
    auto out = make_caller_answer(std::move(*answer));
    const orders::order_answer stored{out.status, out.content_type, out.body};
    co_await await_callback<result<void>>([&](auto handler)
        { services.orders.complete(permit, stored, std::move(handler)); });
    co_return out;
}

caller_answer make_caller_answer(orders::order_answer stored)
{
    caller_answer replay;
    replay.status = stored.status;
    replay.content_type = std::move(stored.content_type);
    replay.body = std::move(stored.body);
    return replay;
}

// Marks an attempt as not run when its permit became invalid before the
// dispatch, as after a membership change. Returns whether the order can be
// started again.
asio::awaitable<bool> discard_outdated_attempt(service_call& call)
{
    const auto& services = call.io_worker.services();
    if (call.dispatched || services.orders.check(*call.permit) ||
        std::chrono::steady_clock::now() >= call.request.deadline)
        co_return false;
    const auto marked =
        co_await mark_order(services.orders.mark_not_run, *call.permit);
    co_return marked.has_value();
}

asio::awaitable<result<caller_answer>> run_order(service_call& call)
{
    const auto& services = call.io_worker.services();
    const auto order = make_order(call);
    for (;;)
    {
        auto begun = co_await await_callback<result<orders::begin_outcome>>(
            [&](auto handler)
            { services.orders.begin(order, std::move(handler)); });
        if (!begun)
            co_return tl::unexpected<error>(begun.error());
        if (auto* stored = std::get_if<orders::order_answer>(&*begun))
            co_return make_caller_answer(std::move(*stored));
        call.permit = std::get<orders::dispatch_permit>(std::move(*begun));
        services.events->record(
            events::kind::order_recorded, call.permit->order_id);
        auto answer = co_await dispatch(call);
        if (call.dispatched)
            services.events->record(
                events::kind::order_dispatched, call.permit->order_id);
        else if (!answer)
        {
            const bool restart = co_await discard_outdated_attempt(call);
            if (restart)
                continue;
        }
        co_return co_await finish_order(call, *call.permit, std::move(answer));
    }
}

asio::awaitable<result<caller_answer>> run_call(service_call& call)
{
    if (!call.idempotent && !call.request.idempotency_key.empty())
    {
        if (!call.identity)
            co_return fail(error_code::missing_key,
                "a call with an Idempotency-Key needs a key");
        co_return co_await run_order(call);
    }
    auto answer = co_await dispatch(call);
    if (!answer)
        co_return tl::unexpected<error>(answer.error());
    co_return make_caller_answer(std::move(*answer));
}

} // namespace

asio::awaitable<void> serve_service(
    worker& io_worker, const caller_request& request, responder& out)
{
    auto call = resolve_call(io_worker, request, out);
    if (!call)
    {
        co_await answer_error(io_worker, request, out, call.error());
        co_return;
    }
    std::optional<reservation_guard> reservation;
    if (call->identity)
    {
        auto reserved = co_await admit(io_worker, call->identity->workspace,
            tokens_per_call, request.deadline);
        if (!reserved)
        {
            co_await answer_error(io_worker, request, out, reserved.error());
            co_return;
        }
        reservation.emplace(io_worker.services().control, std::move(*reserved));
    }
    auto answer = co_await run_call(*call);
    if (reservation && call->dispatched)
        reservation->set_used_tokens(tokens_per_call);
    io_worker.services().metrics->add("tq_service_calls_total",
        {{"service", call->service.str()},
            {"outcome", answer
                            ? "answered"
                            : std::string(to_string(answer.error().code()))}});
    if (answer)
        co_await out.respond(std::move(*answer));
    else
        co_await answer_error(io_worker, request, out, answer.error());
}

} // namespace tarragonquay::ingress
