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

// The leading part of a prompt decides where its cached prefix is.
constexpr std::size_t prefix_bytes = 1024;

// One completion on its way through the engines.
struct completion
{
    worker& on;
    const caller_request& request;
    responder& out;
    completion_request body;
    caller who;
    /// Text of an answer that is delivered as a whole.
    std::string content;
    bool first_seen = false;
};

routing::request_spec make_spec(const completion& call)
{
    routing::request_spec spec;
    spec.workspace = call.who.workspace;
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

result<void> check_model(const worker& on, const completion_request& body)
{
    const auto view = on.services().state->current();
    if (view->find_model(body.model) == nullptr)
        return fail(error_code::unknown_model, "there is no such model");
    if (body.adapter.empty())
        return {};
    const auto* adapter = view->find_adapter(body.adapter);
    if (adapter == nullptr || adapter->model != body.model)
        return fail(error_code::unknown_model, "the model has no such adapter");
    return {};
}

std::string text_of(const std::string& data)
{
    const auto event = json::parse(data, nullptr, false);
    const json::json_pointer path("/choices/0/delta/content");
    if (!event.is_object() || !event.contains(path) ||
        !event.at(path).is_string())
        return {};
    return event.at(path).get<std::string>();
}

std::string sse_text(const endpoints::stream_event& event)
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

void note_first_token(completion& call)
{
    if (std::exchange(call.first_seen, true))
        return;
    const std::chrono::duration<double> waited =
        std::chrono::steady_clock::now() - call.request.received_at;
    call.on.services().metrics->observe("tq_first_token_seconds",
        {{"workspace", call.who.workspace.str()}}, waited.count());
}

asio::awaitable<result<void>> deliver_event(
    completion& call, const endpoints::stream_event& event)
{
    note_first_token(call);
    if (!call.body.stream)
    {
        call.content += text_of(event.data);
        co_return result<void>();
    }
    if (!call.out.stream_started())
    {
        auto begun = co_await call.out.begin_stream();
        if (!begun)
            co_return begun;
    }
    co_return co_await call.out.write_stream(sse_text(event));
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

// Tokens to charge: as reported, else a bound for what may have run.
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

asio::awaitable<result<void>> pump(completion& call,
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
    call.on.services().events->record(events::kind::stream_cancelled,
        call.request.request_id, std::string(to_string(cause.code())));
}

// Distinct per attempt, so that a late answer of another engine does not
// match.
std::string upstream_id(
    const completion& call, const assignment_guard& assignment)
{
    return call.request.request_id + "-" + std::to_string(assignment.held().id);
}

// The process may have been paused since the last check.
result<void> check_again(const completion& call)
{
    const auto still =
        authorize_digest(*call.on.services().state, call.who.secret_sha256);
    if (!still)
        return tl::unexpected<error>(still.error());
    if (call.out.caller_gone())
        return fail(error_code::cancelled, "the caller has gone");
    return {};
}

// Runs the completion on one engine. `charged` collects the tokens of all
// engines that were tried.
asio::awaitable<result<void>> run_at(
    completion& call, assignment_guard& assignment, std::int64_t& charged)
{
    // An earlier attempt may have left a part of its answer.
    call.content.clear();
    endpoints::stream_request request;
    request.address = assignment.held().address;
    request.body = engine_body(call.body, call.request.priority);
    request.request_id = upstream_id(call, assignment);
    request.before_send = [&call] { return check_again(call); };
    request.deadline = call.request.deadline;
    endpoints::completion_stream stream(std::move(request));
    stream_authorization authorization(
        *call.on.services().state, call.who.secret_sha256);
    result<void> outcome;
    {
        const stream_watch watch(
            call.on.executor,
            [&]() -> std::optional<error>
            {
                if (call.out.caller_gone())
                    return error(error_code::cancelled, "the caller has gone",
                        execution_state::unknown);
                return authorization.check(std::chrono::steady_clock::now());
            },
            [&](error cause) { stream.abort(std::move(cause)); });
        outcome = co_await pump(call, stream, authorization);
    }
    charged += used_tokens(call, stream, outcome);
    if (outcome)
    {
        assignment.note(routing::outcome::completed);
        if (const auto& usage = stream.usage())
            assignment.note_output(usage->completion_tokens);
        co_return co_await deliver_end(call, stream);
    }
    assignment.note(outcome_of(outcome.error()));
    if (outcome.error().execution() == execution_state::not_run)
        co_return outcome;
    record_cancellation(call, outcome.error());
    // An explicit error reaches the caller before the engine is told.
    if (call.out.stream_started() &&
        outcome.error().code() != error_code::cancelled)
        co_await answer_error(call.on, call.request, call.out, outcome.error());
    // Not awaited: another engine may take over while this one is silent.
    asio::co_spawn(call.on.executor,
        endpoints::cancel_stream(
            assignment.held().address, upstream_id(call, assignment)),
        asio::detached);
    co_return outcome;
}

// A completion has no effect but its answer, so another engine may run it
// as long as the caller has received nothing. A whole answer is sent at its
// end, and a failure to send it counts as `cancelled`.
bool may_retry(const completion& call, const error& cause)
{
    return !call.out.stream_started() &&
           (!call.body.stream || !call.first_seen) &&
           cause.code() != error_code::cancelled &&
           cause.code() != error_code::withdrawn_key &&
           cause.code() != error_code::no_view_lease &&
           cause.code() != error_code::stopping &&
           (cause.code() != error_code::endpoint_rejected ||
               cause.execution() != execution_state::not_run) &&
           std::chrono::steady_clock::now() < call.request.deadline;
}

asio::awaitable<result<void>> run(completion& call, std::int64_t& charged)
{
    auto spec = make_spec(call);
    // A failure that may have run stays visible in later refusals.
    bool may_have_run = false;
    for (int attempt = 1;; ++attempt)
    {
        auto assigned = co_await acquire(call.on, spec);
        result<void> outcome;
        if (assigned)
        {
            assignment_guard assignment(
                call.on.services().control, std::move(*assigned));
            outcome = co_await run_at(call, assignment, charged);
            // An engine that lacks the model may be the only one that will
            // have it again; the scheduler waits for its next report.
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
    worker& on, const caller_request& request, responder& out)
{
    auto who = authorize(*on.services().state, request.key);
    if (!who)
    {
        co_await answer_error(on, request, out, who.error());
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
        usable = check_model(on, *body);
    if (!usable)
    {
        co_await answer_error(on, request, out, usable.error());
        co_return;
    }
    const auto tokens = body->prompt_tokens + body->max_tokens;
    auto reserved =
        co_await admit(on, who->workspace, tokens, request.deadline);
    if (!reserved)
    {
        co_await answer_error(on, request, out, reserved.error());
        co_return;
    }
    reservation_guard reservation(on.services().control, std::move(*reserved));
    completion call{on, request, out, std::move(*body), std::move(*who)};
    std::int64_t charged = 0;
    const auto outcome = co_await run(call, charged);
    reservation.note_used(charged);
    on.services().metrics->add(
        "tq_completions_total", {{"workspace", call.who.workspace.str()}});
    if (!outcome && !out.stream_started())
        co_await answer_error(on, request, out, outcome.error());
}

} // namespace tarragonquay::ingress
