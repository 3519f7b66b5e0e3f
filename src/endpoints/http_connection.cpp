#include "endpoints/http_connection.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "common/read_head.hpp"
#include "common/socket_address.hpp"
#include "common/socket_state.hpp"

namespace tarragonquay::endpoints
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t header_limit_bytes = 16UL << 10U;
constexpr std::size_t read_size_bytes = 16UL << 10U;
/// Chunk extensions and trailers are buffered as a whole.
constexpr std::size_t buffer_limit_bytes = 64UL << 10U;
/// A server sends one 100 and one 103 as a rule. Without a bound, interim
/// answers would keep the request until its deadline.
constexpr int max_interim_answers = 16;

constexpr int status_switching_protocols = 101;
constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

tl::unexpected<error> to_error(const boost::system::error_code& ec)
{
    if (ec == beast::error::timeout)
        return fail(error_code::deadline_exceeded,
            "the endpoint did not answer in time", execution_state::unknown);
    if (ec == http::error::body_limit || ec == http::error::header_limit)
        // Not payload_too_large, which means that the request is too large.
        return fail(error_code::incomplete_answer,
            "the answer of the endpoint is too large",
            execution_state::unknown);
    return fail(
        error_code::connection_broken, ec.message(), execution_state::unknown);
}

tl::unexpected<error> invalid_answer(const std::string& defect)
{
    return fail(error_code::invalid_answer, "the answer is invalid: " + defect,
        execution_state::unknown);
}

// Whether bytes that follow the head of an answer without a body belong to
// another answer. Faulty servers were seen to repeat answers.
bool begins_answer(std::string_view bytes)
{
    constexpr std::string_view begin = "HTTP/1.";
    return bytes.substr(0, begin.size()) == begin.substr(0, bytes.size());
}

bool has_name(const header& candidate, std::string_view name)
{
    return beast::iequals({candidate.name.data(), candidate.name.size()},
        {name.data(), name.size()});
}

} // namespace

std::string answer_head::find(std::string_view name) const
{
    for (const auto& candidate : headers)
        if (has_name(candidate, name))
            return candidate.value;
    return {};
}

std::size_t answer_head::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
            [&](const header& each) { return has_name(each, name); }));
}

struct http_connection::implementation
{
    explicit implementation(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{buffer_limit_bytes};
    std::optional<http::response_parser<http::buffer_body>> parser;
    bool answer_started = false;
    bool failed = false;
    /// The server has sent an answer that belongs to no pending request.
    bool sent_unsolicited = false;
};

http_connection::http_connection(std::unique_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

http_connection::http_connection(http_connection&&) noexcept = default;
http_connection& http_connection::operator=(
    http_connection&&) noexcept = default;
http_connection::~http_connection() = default;

asio::awaitable<result<http_connection>> http_connection::open(
    std::string address, time_point deadline)
{
    const auto target = parse_socket_address(address);
    if (!target)
        co_return fail(error_code::connect_failed, target.error().message());
    const auto executor = co_await asio::this_coro::executor;
    auto impl = std::make_unique<implementation>(executor);
    impl->stream.expires_at(deadline);
    boost::system::error_code ec;
    co_await impl->stream.async_connect(
        *target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == beast::error::timeout)
        co_return fail(
            error_code::connect_failed, "connecting to the endpoint timed out");
    if (ec)
        co_return fail(error_code::connect_failed, ec.message());
    impl->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return http_connection(std::move(impl));
}

asio::awaitable<bool> http_connection::is_refused(
    std::string address, time_point deadline)
{
    const auto target = parse_socket_address(address);
    if (!target)
        co_return false;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_at(deadline);
    boost::system::error_code ec;
    co_await stream.async_connect(
        *target, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec == asio::error::connection_refused;
}

namespace
{

http::request<http::string_body> make_message(const exchange_request& request)
{
    http::request<http::string_body> message;
    message.method_string({request.method.data(), request.method.size()});
    message.target({request.target.data(), request.target.size()});
    message.version(11);
    for (const auto& [name, value] : request.headers)
        message.insert(name, value);
    message.set(http::field::host,
        request.host.empty() ? request.address : request.host);
    if (!request.request_id.empty())
        message.set(request.id_header, request.request_id);
    message.body() = request.body;
    if (!request.body.empty() || request.method != "GET")
        message.content_length(request.body.size());
    return message;
}

std::string_view bytes_in(const beast::flat_buffer& buffer)
{
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// Fails when an answer that must have no body (RFC 9112, section 6.3) has one.
// A length beside 304 or in the answer to HEAD is that of another answer.
result<void> check_absent_body(const http::response_header<>& head,
    std::string_view method, std::string_view following)
{
    const auto status = static_cast<int>(head.result_int());
    if (status == status_no_content)
    {
        const auto length = head[http::field::content_length];
        const bool empty = length.find_first_not_of('0') == length.npos;
        if (!empty || head.count(http::field::transfer_encoding) != 0)
            return invalid_answer("status 204 with a length or a coding");
    }
    const bool bodiless = status == status_no_content ||
                          status == status_not_modified || method == "HEAD";
    if (bodiless && !begins_answer(following))
        return invalid_answer(
            "a body follows the head with status " + std::to_string(status));
    return {};
}

} // namespace

asio::awaitable<result<answer_head>> http_connection::send(
    const exchange_request& request)
{
    auto& impl = *implementation_;
    const auto message = make_message(request);
    impl.answer_started = false;
    impl.failed = true;
    boost::system::error_code ec;
    impl.stream.expires_at(request.deadline);
    co_await http::async_write(
        impl.stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return to_error(ec);
    for (int skipped = 0;; ++skipped)
    {
        auto head = co_await read_head(request);
        if (head || head.error().code() != error_code::wrong_answer)
            co_return head;
        if (skipped >= request.max_skipped_answers)
        {
            close();
            co_return head;
        }
        impl.sent_unsolicited = true;
        const auto rest = co_await skip_body(request.deadline);
        if (!rest)
            co_return tl::unexpected<error>(rest.error());
    }
}

// Reads heads until one is not interim. Its status line and the framing of its
// body are valid.
asio::awaitable<result<void>> http_connection::read_final_head(
    const exchange_request& request)
{
    auto& impl = *implementation_;
    for (int interim = 0;; ++interim)
    {
        impl.parser.emplace();
        impl.parser->header_limit(header_limit_bytes);
        impl.parser->body_limit(request.body_limit);
        if (request.method == "HEAD")
            impl.parser->skip(true);
        boost::system::error_code ec;
        const auto framed = co_await tarragonquay::read_head(
            impl.stream, impl.buffer, header_limit_bytes, ec);
        impl.answer_started = impl.buffer.size() != 0;
        if (!framed)
            co_return invalid_answer(framed.error().message());
        if (ec)
            co_return to_error(ec);
        const auto status = parse_status_line(bytes_in(impl.buffer));
        if (!status)
            co_return invalid_answer(status.error().message());
        co_await http::async_read_header(impl.stream, impl.buffer, *impl.parser,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::header_limit || ec == http::error::body_limit)
            co_return to_error(ec);
        // The whole head is in the buffer, so nothing was read.
        if (ec)
            co_return invalid_answer(ec.message());
        if (*status >= status_ok)
            co_return check_absent_body(
                impl.parser->get(), request.method, bytes_in(impl.buffer));
        if (*status == status_switching_protocols)
            co_return invalid_answer("status 101 was not requested");
        if (interim >= max_interim_answers)
            co_return invalid_answer("too many interim answers");
    }
}

asio::awaitable<result<answer_head>> http_connection::read_head(
    const exchange_request& request)
{
    auto& impl = *implementation_;
    const auto read = co_await read_final_head(request);
    if (!read)
        co_return tl::unexpected<error>(read.error());

    const auto& answer = impl.parser->get();
    const auto echoed_id = answer[request.id_header];
    if (!request.request_id.empty() &&
        std::string_view(echoed_id.data(), echoed_id.size()) !=
            request.request_id)
        co_return fail(error_code::wrong_answer,
            "the answer belongs to another request", execution_state::unknown);
    // Without a length, a truncated body can't be distinguished from a complete
    // one.
    if (request.method != "HEAD" && impl.parser->need_eof() &&
        !impl.parser->is_done() && !request.allow_close_delimited)
    {
        close();
        co_return fail(error_code::incomplete_answer,
            "the answer has no length", execution_state::unknown);
    }
    answer_head head;
    head.status = static_cast<int>(answer.result_int());
    for (const auto& field : answer)
        head.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    impl.failed = false;
    co_return head;
}

asio::awaitable<result<void>> http_connection::skip_body(time_point deadline)
{
    while (true)
    {
        const auto part = co_await read_some(deadline);
        if (!part)
            co_return tl::unexpected<error>(part.error());
        if (part->empty())
            co_return result<void>();
    }
}

asio::awaitable<result<std::string>> http_connection::read_some(
    time_point deadline)
{
    auto& impl = *implementation_;
    while (!impl.parser->is_done())
    {
        // The stream's timer alone does not end an answer whose bytes are
        // always there at once.
        if (std::chrono::steady_clock::now() >= deadline)
        {
            impl.failed = true;
            co_return to_error(beast::error::timeout);
        }
        std::array<char, read_size_bytes> chunk;
        auto& body = impl.parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        boost::system::error_code ec;
        impl.stream.expires_at(deadline);
        co_await http::async_read_some(impl.stream, impl.buffer, *impl.parser,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
        {
            impl.failed = true;
            if (ec == beast::error::timeout || ec == http::error::body_limit)
                co_return to_error(ec);
            co_return fail(error_code::incomplete_answer,
                "the answer ended early: " + ec.message(),
                execution_state::unknown);
        }
        // The end of the connection has ended the body.
        if (impl.parser->is_done() && impl.parser->need_eof() &&
            !is_closed_in_order(impl.stream.socket().native_handle()))
        {
            impl.failed = true;
            co_return fail(error_code::incomplete_answer,
                "the answer has no length and its connection was reset",
                execution_state::unknown);
        }
        const auto count = chunk.size() - body.size;
        if (count != 0)
            co_return std::string(chunk.data(), count);
    }
    co_return std::string();
}

bool http_connection::is_idle()
{
    auto& impl = *implementation_;
    if (impl.failed || impl.buffer.size() != 0)
        return false;
    return peek_socket(impl.stream.socket().native_handle()) ==
           socket_state::idle;
}

std::optional<std::chrono::seconds> http_connection::idle_timeout() const
{
    const auto& impl = *implementation_;
    if (!impl.parser)
        return std::nullopt;
    const auto field = impl.parser->get()[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(at + name.size());
    int seconds = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

bool http_connection::answer_started() const
{
    return implementation_->answer_started;
}

bool http_connection::reusable() const
{
    const auto& impl = *implementation_;
    // Bytes after the answer mean that client and server disagree about its
    // length.
    return !impl.failed && !impl.sent_unsolicited && impl.parser &&
           impl.parser->is_done() && impl.parser->get().keep_alive() &&
           impl.buffer.size() == 0;
}

asio::any_io_executor http_connection::executor() const
{
    return implementation_->stream.get_executor();
}

void http_connection::close()
{
    implementation_->failed = true;
    implementation_->stream.close();
}

} // namespace tarragonquay::endpoints
