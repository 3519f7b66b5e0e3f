#include "endpoints/completion_stream.hpp"

#include <algorithm>
#include <charconv>

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace tarragonquay::endpoints
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

constexpr std::chrono::seconds cancel_timeout{2};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

std::optional<std::int64_t> parse_offset(const std::optional<std::string>& id)
{
    std::int64_t value = 0;
    if (!id || id->empty())
        return std::nullopt;
    const char* end = id->data() + id->size();
    const auto parsed = std::from_chars(id->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0)
        return std::nullopt;
    return value;
}

tl::unexpected<error> invalid_stream(std::string message)
{
    return fail(
        error_code::wrong_answer, std::move(message), execution_state::unknown);
}

tl::unexpected<error> error_of_status(int status)
{
    if (status == status_unavailable || status == status_too_many_requests)
        return fail(error_code::overloaded, "the engine is overloaded");
    if (status == status_not_found || status == status_conflict)
        return fail(
            error_code::model_not_ready, "the engine does not have the model");
    if (status >= 400 && status < 500)
        return fail(error_code::endpoint_rejected,
            "the engine rejected the request with status " +
                std::to_string(status));
    return fail(error_code::endpoint_rejected,
        "the engine failed with status " + std::to_string(status),
        execution_state::unknown);
}

error error_of_event(const std::string& data)
{
    const auto parsed = json::parse(data, nullptr, false);
    auto code = error_code::endpoint_rejected;
    if (parsed.is_object() && parsed.contains("error") &&
        parsed["error"].is_object() && parsed["error"].contains("code") &&
        parsed["error"]["code"].is_string())
    {
        const auto reported_code = error_code_from_string(
            parsed["error"]["code"].get_ref<const std::string&>());
        if (reported_code != error_code::internal)
            code = reported_code;
    }
    return {code, "the engine ended the stream with an error",
        execution_state::unknown};
}

// Whether resuming the stream over a new connection may succeed.
bool is_transient(const error& cause)
{
    return cause.code() == error_code::connection_broken ||
           cause.code() == error_code::incomplete_answer ||
           cause.code() == error_code::invalid_answer ||
           cause.code() == error_code::deadline_exceeded ||
           cause.code() == error_code::connect_failed ||
           cause.code() == error_code::wrong_answer;
}

} // namespace

result<stream_sequence::step> stream_sequence::accept(const sse_event& event)
{
    if (event.kind == "error")
        return tl::unexpected<error>(error_of_event(event.data));
    if (event.data == "[DONE]")
        return step::done;
    const auto offset = parse_offset(event.id);
    if (!offset)
        return invalid_stream("a stream event has no valid id");
    if (last_seen_ ? *offset != *last_seen_ + 1 : *offset > next_offset_)
        return invalid_stream("the ids of the stream events have a gap");
    last_seen_ = *offset;
    if (*offset < next_offset_)
        return step::duplicate;
    if (auto read = read_usage(event.data); !read)
        return tl::unexpected<error>(read.error());
    next_offset_ = *offset + 1;
    return step::deliver;
}

result<void> stream_sequence::read_usage(const std::string& data)
{
    const auto parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object())
        return invalid_stream("a stream event is not a JSON object");
    const auto usage = parsed.find("usage");
    if (usage == parsed.end() || usage->is_null())
        return {};
    token_usage value;
    for (const auto& [name, field] :
        {std::pair{"prompt_tokens", &token_usage::prompt_tokens},
            std::pair{"completion_tokens", &token_usage::completion_tokens}})
    {
        const auto found =
            usage->is_object() ? usage->find(name) : usage->end();
        if (!usage->is_object() || found == usage->end() ||
            !found->is_number_unsigned())
            return invalid_stream("the usage report is malformed");
        value.*field = found->get<std::int64_t>();
        if (value.*field < 0)
            return invalid_stream("the usage report is malformed");
    }
    usage_ = value;
    return {};
}

completion_stream::completion_stream(stream_request request)
    : request_(std::move(request))
{
}

time_point completion_stream::event_deadline() const
{
    const auto timeout = sequence_.next_offset() == 0
                             ? request_.first_event_timeout
                             : request_.event_timeout;
    return std::min(
        request_.deadline, std::chrono::steady_clock::now() + timeout);
}

asio::awaitable<result<void>> completion_stream::start()
{
    auto opened = co_await http_connection::open(request_.address,
        std::min(request_.deadline,
            std::chrono::steady_clock::now() + request_.event_timeout));
    if (!opened)
        co_return tl::unexpected<error>(opened.error());
    if (abort_reason_)
        co_return tl::unexpected<error>(
            abort_reason_->with_execution(execution_state::not_run));
    if (request_.before_send)
    {
        if (auto checked = request_.before_send(); !checked)
            co_return checked;
    }
    connection_ = std::move(*opened);
    exchange_request post;
    post.address = request_.address;
    post.method = "POST";
    post.target = "/v1/chat/completions";
    post.headers = request_.headers;
    post.headers.push_back({"Content-Type", "application/json"});
    post.headers.push_back({"Accept", "text/event-stream"});
    post.body = request_.body;
    post.request_id = request_.request_id;
    post.deadline = event_deadline();
    auto head = co_await connection_->send(post);
    if (abort_reason_)
        co_return tl::unexpected<error>(*abort_reason_);
    if (!head)
    {
        drop_connection();
        // The engine may be running the request; next() resumes the stream.
        if (head.error().code() == error_code::deadline_exceeded)
            co_return result<void>();
        co_return tl::unexpected<error>(head.error());
    }
    if (head->status != status_ok)
        co_return error_of_status(head->status);
    co_return result<void>();
}

asio::awaitable<result<void>> completion_stream::resume()
{
    parser_ = {};
    sequence_.start_connection();
    auto opened = co_await http_connection::open(request_.address,
        std::min(request_.deadline,
            std::chrono::steady_clock::now() + request_.event_timeout));
    if (!opened)
        co_return tl::unexpected<error>(
            opened.error().with_execution(execution_state::unknown));
    if (abort_reason_)
        co_return tl::unexpected<error>(*abort_reason_);
    connection_ = std::move(*opened);
    exchange_request get;
    get.address = request_.address;
    get.target = "/v1/streams/" + request_.request_id +
                 "?offset=" + std::to_string(sequence_.next_offset());
    get.headers.push_back({"Accept", "text/event-stream"});
    get.request_id = request_.request_id;
    get.deadline = event_deadline();
    auto head = co_await connection_->send(get);
    if (!head)
        co_return tl::unexpected<error>(head.error());
    if (head->status != status_ok)
        co_return fail(error_code::incomplete_answer,
            "the engine could not resume the stream, status " +
                std::to_string(head->status),
            execution_state::unknown);
    co_return result<void>();
}

asio::awaitable<result<std::optional<stream_event>>> completion_stream::next()
{
    while (true)
    {
        if (abort_reason_)
            co_return tl::unexpected<error>(*abort_reason_);
        if (done_)
            co_return std::optional<stream_event>();
        auto event = co_await read_next();
        if (event)
        {
            resumes_ = 0;
            co_return event;
        }
        drop_connection();
        if (abort_reason_)
            co_return tl::unexpected<error>(*abort_reason_);
        if (!is_transient(event.error()))
            co_return event;
        if (std::chrono::steady_clock::now() >= request_.deadline)
            co_return fail(error_code::deadline_exceeded,
                "the stream did not end before the deadline",
                execution_state::unknown);
        if (resumes_++ >= request_.max_resumes)
            co_return event;
    }
}

asio::awaitable<result<std::optional<stream_event>>>
completion_stream::read_next()
{
    if (!connection_)
    {
        auto resumed = co_await resume();
        if (!resumed)
            co_return tl::unexpected<error>(resumed.error());
    }
    // Duplicates do not extend the deadline. Otherwise an engine that repeats
    // old events would keep the stream open forever.
    const auto deadline = event_deadline();
    while (true)
    {
        if (auto parsed = next_parsed_event())
            co_return std::move(*parsed);
        auto part = co_await connection_->read_some(deadline);
        if (!part)
            co_return tl::unexpected<error>(part.error());
        if (part->empty())
            co_return fail(error_code::incomplete_answer,
                "the stream ended without [DONE]", execution_state::unknown);
        if (auto parsed_part = parser_.feed(*part); !parsed_part)
            co_return tl::unexpected<error>(parsed_part.error());
    }
}

std::optional<result<std::optional<stream_event>>>
completion_stream::next_parsed_event()
{
    using outcome = result<std::optional<stream_event>>;
    while (auto event = parser_.pop())
    {
        const auto step = sequence_.accept(*event);
        if (!step)
            return outcome(tl::unexpected<error>(step.error()));
        if (*step == stream_sequence::step::done)
        {
            done_ = true;
            drop_connection();
            return outcome(std::optional<stream_event>());
        }
        if (*step == stream_sequence::step::deliver)
            return outcome(stream_event{
                sequence_.next_offset() - 1, std::move(event->data)});
    }
    return std::nullopt;
}

void completion_stream::drop_connection()
{
    if (connection_)
        connection_->close();
    connection_.reset();
}

void completion_stream::abort(error reason)
{
    abort_reason_ = std::move(reason);
    // The reading coroutine still uses the connection and destroys it.
    if (connection_)
        connection_->close();
}

asio::awaitable<result<void>> cancel_stream(
    std::string address, std::string request_id)
{
    const auto deadline = std::chrono::steady_clock::now() + cancel_timeout;
    auto opened = co_await http_connection::open(address, deadline);
    if (!opened)
        co_return tl::unexpected<error>(opened.error());
    exchange_request cancel_request;
    cancel_request.address = address;
    cancel_request.method = "DELETE";
    cancel_request.target = "/v1/streams/" + request_id;
    cancel_request.request_id = request_id;
    cancel_request.deadline = deadline;
    auto head = co_await opened->send(cancel_request);
    if (!head)
        co_return tl::unexpected<error>(head.error());
    co_return result<void>();
}

} // namespace tarragonquay::endpoints
