#include <utility>

#include "standins/engine_server.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "common/clock.hpp"

namespace tarragonquay::standins
{
namespace
{

const std::string streams_prefix = "/v1/streams/";

std::string event_text(int offset, const json& data)
{
    return fmt::format("id: {}\ndata: {}\n\n", offset, data.dump());
}

json delta(const std::string& content)
{
    json choice = {{"index", 0}, {"delta", {{"content", content}}}};
    return {{"choices", json::array({choice})}};
}

/// Event at the offset; the one after the last token carries the usage.
std::string event_at(const engine_stream& stream, int offset)
{
    if (offset < stream.produced)
        return event_text(offset, delta(stream.text_at(offset)));
    json last = delta("");
    last["choices"][0]["finish_reason"] = "length";
    last["usage"] = stream.usage();
    return event_text(offset, last);
}

http_answer with_echo(http_answer answer, const std::string& echo)
{
    if (!echo.empty())
        answer.headers.emplace_back("X-Request-Id", echo);
    return answer;
}

template <class T>
void set(const json& change, const char* key, T& value)
{
    if (change.contains(key))
        value = change.at(key).get<T>();
}

} // namespace

engine_server::engine_server(
    asio::io_context& io, const engine_options& options)
    : options_(options),
      memory_(io, options_, faults_),
      streams_(io, options_, faults_, memory_)
{
    take_sample();
}

asio::awaitable<void> engine_server::handle(
    const http_request& request, http_connection& peer)
{
    if (request.path.rfind("/admin/", 0) == 0)
    {
        co_await peer.answer(admin(request));
        co_return;
    }
    seen_.add(request);
    if (faults_.silent)
        co_await peer.stay_silent();
    else if (request.path == "/v1/chat/completions")
        co_await complete(request, peer);
    else if (request.path.rfind(streams_prefix, 0) == 0)
        co_await resume_or_cancel(request, peer);
    else if (request.path == "/control/commands")
        co_await command(request, peer);
    else if (request.path == "/control/state")
        co_await peer.answer(
            with_echo(state(), request.header("X-Request-Id")));
    else
        co_await peer.answer(error_answer(404, "not_found", "no such path"));
}

http_answer engine_server::refusal(
    const http_request& request, const json& body) const
{
    const auto id = request.header("X-Request-Id");
    if (id.empty())
        return error_answer(
            400, "invalid_argument", "the header X-Request-Id is missing");
    if (streams_.find(id))
        return error_answer(
            409, "already_exists", "a stream with this request id exists");
    const auto model = body.at("model").get<std::string>();
    if (!memory_.serves(model, body.value("adapter", std::string())))
        return error_answer(
            409, "model_not_ready", "the model or the adapter is not resident");
    http_answer may_run;
    may_run.status = 0;
    return may_run;
}

std::string engine_server::echo_of(const http_request& request)
{
    const auto id = request.header("X-Request-Id");
    std::string echo = id;
    if (consume(faults_.crossed_answers))
        echo = previous_request_id_.empty() || previous_request_id_ == id
                   ? "crossed-" + id
                   : previous_request_id_;
    previous_request_id_ = id;
    return echo;
}

asio::awaitable<void> engine_server::complete(
    const http_request& request, http_connection& peer)
{
    ++requests_;
    requests_while_leaving_ += leaving_ ? 1 : 0;
    const json body = request.body_json();
    http_answer refused = refusal(request, body);
    if (refused.status != 0)
    {
        co_await peer.answer(
            with_echo(std::move(refused), request.header("X-Request-Id")));
        co_return;
    }
    auto stream = streams_.start(request.header("X-Request-Id"), body);
    const std::string echo = echo_of(request);
    if (body.value("stream", false))
        co_await send_events(stream, echo, 0, peer);
    else
        co_await send_whole(stream, echo, peer);
}

asio::awaitable<void> engine_server::resume_or_cancel(
    const http_request& request, http_connection& peer)
{
    const std::string id = request.path.substr(streams_prefix.size());
    const auto stream = streams_.find(id);
    const std::string header = request.header("X-Request-Id");
    const std::string echo = header.empty() ? id : header;
    if (!stream)
    {
        http_answer unknown = error_answer(404, "not_found", "no such stream");
        co_await peer.answer(with_echo(std::move(unknown), echo));
        co_return;
    }
    if (request.method == "DELETE")
    {
        streams_.cancel(id);
        const json body = {{"cancelled", stream->cancelled}};
        co_await peer.answer(with_echo(json_answer(body), echo));
        co_return;
    }
    const auto offset = request.number("offset", 0);
    if (offset < 0 || offset > stream->max_tokens + 1)
    {
        http_answer wrong = error_answer(
            400, "invalid_argument", "the offset is beyond the stream");
        co_await peer.answer(with_echo(std::move(wrong), echo));
        co_return;
    }
    co_await send_events(stream, echo, static_cast<int>(offset), peer);
}

asio::awaitable<void> engine_server::send_events(
    std::shared_ptr<engine_stream> stream, std::string echo, int offset,
    http_connection& peer)
{
    const bool cut = consume(faults_.cut_streams);
    const bool stall = !cut && consume(faults_.stall_streams);
    const bool duplicate = consume(faults_.duplicate_events);
    const bool skip = consume(faults_.skip_events);
    const int at_event = faults_.at_event;
    header_list headers;
    headers.emplace_back("X-Request-Id", echo);
    if (!co_await peer.begin_stream(headers))
        co_return;
    for (int next = offset;; ++next)
    {
        while (next >= stream->produced && !stream->finished())
            co_await wait_for_change(stream);
        if (stream->lost || (cut && next >= at_event))
        {
            peer.abort();
            co_return;
        }
        if (faults_.silent || (stall && next >= at_event))
        {
            co_await peer.stay_silent();
            co_return;
        }
        if (next >= stream->produced)
            break;
        const std::string event = event_at(*stream, next);
        if (skip && next == at_event)
            continue;
        if (duplicate && next == at_event)
            co_await peer.send_chunk(event);
        if (!co_await peer.send_chunk(event))
            co_return;
    }
    if (stream->cancelled)
        co_await peer.send_chunk(
            "event: error\ndata: {\"error\":{\"code\":\"cancelled\"}}\n\n");
    else
    {
        if (offset <= stream->produced)
            co_await peer.send_chunk(event_at(*stream, stream->produced));
        co_await peer.send_chunk("data: [DONE]\n\n");
    }
    co_await peer.finish_stream();
}

asio::awaitable<void> engine_server::send_whole(
    std::shared_ptr<engine_stream> stream, std::string echo,
    http_connection& peer)
{
    while (!stream->finished())
        co_await wait_for_change(stream);
    if (stream->lost)
    {
        peer.abort();
        co_return;
    }
    if (faults_.silent)
    {
        co_await peer.stay_silent();
        co_return;
    }
    if (stream->cancelled)
    {
        http_answer gone =
            error_answer(409, "cancelled", "the request was cancelled");
        co_await peer.answer(with_echo(std::move(gone), echo));
        co_return;
    }
    std::string text;
    for (int i = 0; i < stream->produced; ++i)
        text += stream->text_at(i);
    json choice = {{"index", 0}, {"finish_reason", "length"},
        {"message", {{"role", "assistant"}, {"content", text}}}};
    const json body = {{"id", stream->request_id}, {"model", stream->model},
        {"choices", json::array({choice})}, {"usage", stream->usage()}};
    http_answer answer = with_echo(json_answer(body), echo);
    if (consume(faults_.close_mid_body))
        co_await peer.answer_partly(answer, answer.body.size() / 2);
    else
        co_await peer.answer(answer);
}

asio::awaitable<void> engine_server::command(
    const http_request& request, http_connection& peer)
{
    http_answer answer =
        memory_.submit(engine_command::from_json(request.body_json()));
    if (consume(faults_.lose_command_answers))
    {
        peer.abort();
        co_return;
    }
    if (consume(faults_.delay_command_answers))
        co_await sleep_ms(faults_.command_answer_delay_ms);
    co_await peer.answer(
        with_echo(std::move(answer), request.header("X-Request-Id")));
}

void engine_server::take_sample()
{
    sample_ = {streams_.running(), streams_.waiting(), unix_ms()};
}

asio::awaitable<void> engine_server::sample_load()
{
    constexpr double shortest_ms = 1;
    for (;;)
    {
        co_await sleep_ms(std::max(shortest_ms, options_.report_lag_ms));
        take_sample();
    }
}

http_answer engine_server::state() const
{
    json body = memory_.describe();
    body["running"] = sample_.running;
    body["waiting"] = sample_.waiting;
    body["reported_unix_ms"] = sample_.unix_ms;
    body["leaving"] = leaving_;
    return json_answer(body);
}

http_answer engine_server::admin(const http_request& request)
{
    if (request.path == "/admin/seen")
        return json_answer(seen_.to_json());
    if (request.path == "/admin/counts")
    {
        json counts = streams_.counts();
        counts.update(memory_.counts());
        counts["requests"] = requests_;
        counts["requests_while_leaving"] = requests_while_leaving_;
        return json_answer(counts);
    }
    if (request.path == "/admin/restart")
    {
        memory_.restart();
        streams_.restart();
        take_sample();
    }
    else if (request.path == "/admin/faults")
        set_faults(request.body_json());
    else
        return error_answer(404, "not_found", "no such admin path");
    return json_answer({{"ok", true}, {"incarnation", memory_.incarnation()}});
}

void engine_server::set_faults(const json& change)
{
    set(change, "leaving", leaving_);
    set(change, "slow_factor", faults_.slow_factor);
    set(change, "silent", faults_.silent);
    set(change, "lose_command_answers", faults_.lose_command_answers);
    set(change, "delay_command_answers", faults_.delay_command_answers);
    set(change, "command_answer_delay_ms", faults_.command_answer_delay_ms);
    set(change, "execution_delay_ms", faults_.execution_delay_ms);
    set(change, "crossed_answers", faults_.crossed_answers);
    set(change, "cut_streams", faults_.cut_streams);
    set(change, "stall_streams", faults_.stall_streams);
    set(change, "duplicate_events", faults_.duplicate_events);
    set(change, "skip_events", faults_.skip_events);
    set(change, "at_event", faults_.at_event);
    set(change, "close_mid_body", faults_.close_mid_body);
}

} // namespace tarragonquay::standins
