#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "common/digest.hpp"
#include "endpoints/completion_stream.hpp"
#include "ingress/completion_request.hpp"
#include "ingress/guards.hpp"
#include "ingress/routes.hpp"
#include "ingress/stream_watch.hpp"

namespace tarragonquay::ingress
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

// Length of the leading part of the messages that is hashed to find an engine
// with a cached prefix.
constexpr std::size_t prefix_bytes = 1024;

// State of one completion across its attempts on engines.
struct completion
{
    worker& io_worker;
    const caller_request& request;
    responder& out;
    completion_request body;
    caller identity;
    /// Text collected for an answer that is not streamed.
    std::string content;
    bool first_event_received = false;
};

routing::request_spec make_request_spec(const completion& call)
{
    routing::request_spec spec;
    spec.workspace = call.identity.workspace;
    spec.model = call.body.model;
    spec.adapter = call.body.adapter;
    spec.cost_tokens = call.body.prompt_tokens + call.body.max_tokens;
    spec.output_tokens = call.body.max_tokens;
    spec.prefix_hash = fast_hash(call.body.adapter.str() + "\n" +
                                 call.body.messages.substr(0, prefix_bytes));
    spec.priority = call.request.priority;
    spec.deadline = call.request.deadline;
    return spec;
}

result<void> check_model(
    const worker& io_worker, const completion_request& body)
{
    const auto view = io_worker.services().state->current();
    if (view->find_model(body.model) == nullptr)
        return fail(error_code::unknown_model, "there is no such model");
    if (body.adapter.empty())
        return {};
    const auto* adapter = view->find_adapter(body.adapter);
    if (adapter == nullptr || adapter->model != body.model)
        return fail(error_code::unknown_model, "the model has no such adapter");
    return {};
}

std::string delta_text(const std::string& data)
{
    const auto event = json::parse(data, nullptr, false);
    const json::json_pointer path("/choices/0/delta/content");
    if (!event.is_object() || !event.contains(path) ||
        !event.at(path).is_string())
        return {};
    return event.at(path).get<std::string>();
}

std::string format_sse_event(const endpoints::stream_event& event)
{
    std::string out = "id: " + std::to_string(event.offset) + "\n";
    std::string_view rest = event.data;
    while (true)
    {
        const auto end = rest.find('\n');
        out += "data: " + std::string(rest.substr(0, end)) + "\n";
        if (end == std::string_view::npos)
            return out + "\n";
        rest.remove_prefix(end + 1);
    }
}

void observe_first_token(completion& call)
{
    if (std::exchange(call.first_event_received, true))
        return;
    const std::chrono::duration<double> waited =
        std::chrono::steady_clock::now() - call.request.received_at;
    call.io_worker.services().metrics->observe("tq_first_token_seconds",
        {{"workspace", call.identity.workspace.str()}}, waited.count());
}

asio::awaitable<result<void>> deliver_event(
    completion& call, const endpoints::stream_event& event)
{
    observe_first_token(call);
    if (!call.body.stream)
    {
        call.content += delta_text(event.data);
        co_return result<void>();
    }
    if (!call.out.stream_started())
    {
        auto begun = co_await call.out.begin_stream();
        if (!begun)
            co_return begun;
    }
    co_return co_await call.out.write_stream(format_sse_event(event));
}

asio::awaitable<result<void>> deliver_end(
    completion& call, const endpoints::completion_stream& stream)
{
    if (call.body.stream)
    {
        if (!call.out.stream_started())
            co_await call.out.begin_stream();
        co_await call.out.write_stream("data: [DONE]\n\n");
        co_return co_await call.out.end_stream();
    }
    json body{{"id", call.request.request_id}, {"object", "chat.completion"},
        {"model", call.body.model.str()},
        {"choices",
            json::array({{{"index", 0},
                {"message", {{"role", "assistant"}, {"content", call.content}}},
                {"finish_reason", "stop"}}})}};
    if (const auto& usage = stream.usage())
        body["usage"] = {{"prompt_tokens", usage->prompt_tokens},
            {"completion_tokens", usage->completion_tokens},
            {"total_tokens", usage->prompt_tokens + usage->completion_tokens}};
    caller_answer answer;
    answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    co_return co_await call.out.respond(std::move(answer));
}

// Tokens to charge: the usage that the engine reported, else an upper bound
// for the work that may have run.
std::int64_t used_tokens(const completion& call,
    const endpoints::completion_stream& stream, const result<void>& outcome)
{
    if (const auto& usage = stream.usage())
        return usage->prompt_tokens + usage->completion_tokens;
    if (!outcome && outcome.error().execution() == execution_state::not_run)
        return 0;
    return call.body.prompt_tokens +
           std::min(call.body.max_tokens, stream.delivered_events());
}

asio::awaitable<result<void>> relay_events(completion& call,
    endpoints::completion_stream& stream, stream_authorization& authorization)
{
    auto started = co_await stream.start();
    if (!started)
        co_return started;
    while (true)
    {
        auto event = co_await stream.next();
        if (!event)
            co_return tl::unexpected<error>(event.error());
        if (auto cause = authorization.check(std::chrono::steady_clock::now()))
            co_return tl::unexpected<error>(std::move(*cause));
        if (!*event)
            break;
        auto delivered = co_await deliver_event(call, **event);
        if (!delivered)
            co_return delivered;
    }
    co_return result<void>();
}

void record_cancellation(const completion& call, const error& cause)
{
    call.io_worker.services().events->record(events::kind::stream_cancelled,
        call.request.request_id, std::string(to_string(cause.code())));
}

// Distinct per attempt, so that a late answer to an earlier attempt is not
// taken for one to this attempt.
std::string upstream_request_id(
    const completion& call, const assignment_guard& assignment)
{
    return call.request.request_id + "-" + std::to_string(assignment.held().id);
}

// Repeats the authorization, because the process may have been paused since
// the first check.
result<void> recheck_before_send(const completion& call)
{
    const auto authorized = authorize_digest(
        *call.io_worker.services().state, call.identity.secret_sha256);
    if (!authorized)
        return tl::unexpected<error>(authorized.error());
    if (call.out.caller_gone())
        return fail(error_code::cancelled, "the caller has gone");
    return {};
}

// Runs the completion on one engine. Adds the tokens to charge for this
// attempt to `charged_tokens`, which sums over all engines that were tried.
asio::awaitable<result<void>> run_attempt(completion& call,
    assignment_guard& assignment, std::int64_t& charged_tokens)
{
    // Discards the partial answer of an earlier attempt.
    call.content.clear();
    endpoints::stream_request request;
    request.address = assignment.held().address;
    request.body = engine_body(call.body, call.request.priority);
    request.request_id = upstream_request_id(call, assignment);
    request.before_send = [&call] { return recheck_before_send(call); };
    request.deadline = call.request.deadline;
    endpoints::completion_stream stream(std::move(request));
    stream_authorization authorization(
        *call.io_worker.services().state, call.identity.secret_sha256);
    result<void> outcome;
    {
        const stream_watch watch(
            call.io_worker.executor,
            [&]() -> std::optional<error>
            {
                if (call.out.caller_gone())
                    return error(error_code::cancelled, "the caller has gone",
                        execution_state::unknown);
                return authorization.check(std::chrono::steady_clock::now());
            },
            [&](error cause) { stream.abort(std::move(cause)); });
        outcome = co_await relay_events(call, stream, authorization);
    }
    charged_tokens += used_tokens(call, stream, outcome);
    if (outcome)
    {
        assignment.set_outcome(routing::outcome::completed);
        if (const auto& usage = stream.usage())
            assignment.set_output_tokens(usage->completion_tokens);
        co_return co_await deliver_end(call, stream);
    }
    assignment.set_outcome(assignment_outcome(outcome.error()));
    log_defect(call.io_worker, assignment.held(), call.request.request_id,
        outcome.error());
    if (outcome.error().execution() == execution_state::not_run)
        co_return outcome;
    record_cancellation(call, outcome.error());
    // The error event is sent to the caller before the engine is asked to
    // cancel.
    if (call.out.stream_started() &&
        outcome.error().code() != error_code::cancelled)
        co_await answer_error(
            call.io_worker, call.request, call.out, outcome.error());
    // Not awaited, so that an engine that doesn't respond can't delay the next
    // attempt.
    asio::co_spawn(call.io_worker.executor,
        endpoints::cancel_stream(
            assignment.held().address, upstream_request_id(call, assignment)),
        asio::detached);
    co_return outcome;
}

// A completion has no side effects, so another engine may run it as long as
// the caller has received nothing. An answer that is not streamed is sent only
// once it is complete; a failure to send it is `cancelled`, which is not
// retried.
bool may_retry(const completion& call, const error& cause)
{
    return !call.out.stream_started() &&
           (!call.body.stream || !call.first_event_received) &&
           cause.code() != error_code::cancelled &&
           cause.code() != error_code::withdrawn_key &&
           cause.code() != error_code::no_view_lease &&
           cause.code() != error_code::stopping &&
           (cause.code() != error_code::endpoint_rejected ||
               cause.execution() != execution_state::not_run) &&
           std::chrono::steady_clock::now() < call.request.deadline;
}

asio::awaitable<result<void>> run_with_retries(
    completion& call, std::int64_t& charged_tokens)
{
    auto spec = make_request_spec(call);
    // Once an attempt may have run, errors of later attempts report that too.
    bool may_have_run = false;
    for (int attempt = 1;; ++attempt)
    {
        auto assigned = co_await acquire(call.io_worker, spec);
        result<void> outcome;
        if (assigned)
        {
            assignment_guard assignment(
                call.io_worker.services().control, std::move(*assigned));
            outcome = co_await run_attempt(call, assignment, charged_tokens);
            // An engine without the model is not excluded: it may be the
            // only one that will load it again, and the scheduler waits for
            // its next report.
            if (outcome ||
                outcome.error().code() != error_code::model_not_ready)
                spec.excluded.push_back(assignment.held().endpoint);
        }
        else
            outcome = tl::unexpected<error>(assigned.error());
        if (outcome)
            co_return outcome;
        may_have_run = may_have_run ||
                       outcome.error().execution() != execution_state::not_run;
        if (assigned && attempt < max_attempts &&
            may_retry(call, outcome.error()))
            continue;
        if (may_have_run)
            co_return tl::unexpected<error>(
                outcome.error().with_execution(execution_state::unknown));
        co_return outcome;
    }
}

} // namespace

asio::awaitable<void> serve_completion(
    worker& io_worker, const caller_request& request, responder& out)
{
    auto identity = authorize(*io_worker.services().state, request.key);
    if (!identity)
    {
        co_await answer_error(io_worker, request, out, identity.error());
        co_return;
    }
    auto body = parse_completion(request.body);
    result<void> usable;
    if (!body)
        usable = tl::unexpected<error>(body.error());
    else if (engine_body(*body, request.priority).find(request.key) !=
             std::string::npos)
        usable = fail(error_code::invalid_argument,
            "the key must not appear in the body");
    else
        usable = check_model(io_worker, *body);
    if (!usable)
    {
        co_await answer_error(io_worker, request, out, usable.error());
        co_return;
    }
    const auto tokens = body->prompt_tokens + body->max_tokens;
    auto reserved = co_await admit(
        io_worker, identity->workspace, tokens, request.deadline);
    if (!reserved)
    {
        co_await answer_error(io_worker, request, out, reserved.error());
        co_return;
    }
    reservation_guard reservation(
        io_worker.services().control, std::move(*reserved));
    completion call{
        io_worker, request, out, std::move(*body), std::move(*identity)};
    std::int64_t charged_tokens = 0;
    const auto outcome = co_await run_with_retries(call, charged_tokens);
    reservation.set_used_tokens(charged_tokens);
    io_worker.services().metrics->add(
        "tq_completions_total", {{"workspace", call.identity.workspace.str()}});
    if (!outcome && !out.stream_started())
        co_await answer_error(io_worker, request, out, outcome.error());
}

} // namespace tarragonquay::ingress
