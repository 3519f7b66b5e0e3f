#include "load/report.hpp"

namespace tarragonquay::load
{
namespace
{

using json = nlohmann::json;

double ms_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Outcome of everything that is not a whole answer with status 200.
outcome failed(const incoming& answer)
{
    outcome one;
    if (!answer.connected)
        one.code = "connect_failed";
    else if (answer.status == 0)
        one.code = "no_answer";
    else if (!answer.complete)
        one.code = "incomplete_answer";
    else
        one.code = "status_" + std::to_string(answer.status);
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.complete && body.is_object() && body.contains("error") &&
        body["error"].is_object())
    {
        one.code = body["error"].value("code", one.code);
        one.not_run = body["error"].value("execution", "") == "not_run";
    }
    return one;
}

/// What the events of a stream add up to.
struct stream_check
{
    int tokens = 0;
    int completion_tokens = -1;
    bool ended = false;
    bool in_order = true;
    std::string error_code;
    std::vector<time_point> arrivals;
};

void check_event(
    const timed_event& event, std::size_t position, stream_check& check)
{
    if (event.data == "[DONE]")
    {
        check.ended = true;
        return;
    }
    check.in_order = check.in_order && !check.ended &&
                     (event.id.empty() || event.id == std::to_string(position));
    const json data = json::parse(event.data, nullptr, false);
    if (!data.is_object() || event.name == "error")
    {
        check.error_code = "stream_error";
        if (data.is_object() && data.contains("error") &&
            data["error"].is_object())
            check.error_code = data["error"].value("code", check.error_code);
        return;
    }
    if (data.contains("usage") && data["usage"].is_object())
        check.completion_tokens = data["usage"].value("completion_tokens", -1);
    const json content =
        data.value(json::json_pointer("/choices/0/delta/content"), json());
    if (!content.is_string() || content.get_ref<const std::string&>().empty())
        return;
    ++check.tokens;
    check.arrivals.push_back(event.arrived);
}

outcome judge_stream(const incoming& answer, time_point scheduled)
{
    stream_check check;
    for (std::size_t i = 0; i < answer.events.size(); ++i)
        check_event(answer.events[i], i, check);
    outcome one;
    one.tokens = check.tokens;
    if (!check.arrivals.empty())
        one.first_token_ms = ms_between(scheduled, check.arrivals.front());
    for (std::size_t i = 1; i < check.arrivals.size(); ++i)
        one.gaps_ms.push_back(
            ms_between(check.arrivals[i - 1], check.arrivals[i]));
    if (!check.error_code.empty())
        one.code = check.error_code;
    else if (!answer.complete || !check.ended)
        one.code = "incomplete_answer";
    else if (!check.in_order || check.completion_tokens != check.tokens)
        one.code = "wrong_answer";
    else
        one.complete = true;
    return one;
}

outcome judge_whole(const incoming& answer, time_point scheduled)
{
    outcome one;
    const json body = json::parse(answer.body, nullptr, false);
    const json content =
        body.is_object()
            ? body.value(
                  json::json_pointer("/choices/0/message/content"), json())
            : json();
    one.complete = content.is_string();
    if (!one.complete)
    {
        one.code = "wrong_answer";
        return one;
    }
    one.tokens = body.value(json::json_pointer("/usage/completion_tokens"), 0);
    one.first_token_ms = ms_between(scheduled, answer.first_byte);
    return one;
}

} // namespace

outcome judge_completion(
    const incoming& answer, bool stream, time_point scheduled)
{
    constexpr int ok = 200;
    outcome one;
    if (answer.status != ok || (!answer.complete && !stream))
        one = failed(answer);
    else
        one = stream ? judge_stream(answer, scheduled)
                     : judge_whole(answer, scheduled);
    one.total_ms = ms_between(scheduled, answer.finished);
    return one;
}

outcome judge_order(
    const incoming& answer, const std::string& order, time_point scheduled)
{
    constexpr int ok = 200;
    outcome one;
    if (answer.status != ok || !answer.complete)
        one = failed(answer);
    else
    {
        const json body = json::parse(answer.body, nullptr, false);
        if (!body.is_object() || body.value("order", "") != order)
            one.code = "wrong_answer";
        else if (body.value("run", 0) != 1)
            one.code = "duplicate_run";
        else
            one.complete = true;
    }
    one.order = true;
    one.total_ms = ms_between(scheduled, answer.finished);
    return one;
}

} // namespace tarragonquay::load
