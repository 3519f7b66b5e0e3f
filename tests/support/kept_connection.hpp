#pragma once

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "support/http_client.hpp"
#include "support/process.hpp"

namespace tarragonquay::test_support
{

/// What a caller saw of one request.
struct call_outcome
{
    /// 0 without an answer.
    int status = 0;
    bool complete = false;
    /// The connection ended without an answer, but the gateway has received
    /// further bytes, so it may have read and discarded the request.
    bool swallowed = false;
    /// The part of the body that arrived.
    std::string body;
};

/// A connection that is kept between requests. Unlike `http_client`, it tells
/// whether a request without an answer was read.
class kept_connection
{
public:
    explicit kept_connection(const std::string& address) : stream_(io_)
    {
        const auto colon = address.rfind(':');
        boost::beast::error_code ec;
        stream_.socket().connect(
            {boost::asio::ip::make_address(address.substr(0, colon)),
                static_cast<std::uint16_t>(
                    std::stoi(address.substr(colon + 1)))},
            ec);
        open_ = !ec;
    }

    bool open() const { return open_; }

    void write(const std::string& text)
    {
        boost::beast::error_code ignored;
        boost::asio::write(
            stream_.socket(), boost::asio::buffer(text), ignored);
    }

    call_outcome read()
    {
        call_outcome out;
        boost::beast::http::response_parser<boost::beast::http::string_body>
            parser;
        boost::beast::error_code failed;
        stream_.expires_after(answer_time);
        boost::beast::http::async_read(stream_, buffer_, parser,
            [&](boost::beast::error_code ec, std::size_t) { failed = ec; });
        io_.restart();
        io_.run();
        if (parser.is_header_done())
        {
            out.status = static_cast<int>(parser.get().result_int());
            out.body = parser.get().body();
        }
        out.complete = !failed && parser.is_done();
        open_ = out.complete && parser.keep_alive();
        if (failed == boost::beast::http::error::end_of_stream)
            out.swallowed = accepts_more();
        return out;
    }

private:
    static constexpr milliseconds answer_time{10'000};

    // A socket that was closed resets the connection when bytes arrive.
    bool accepts_more()
    {
        constexpr milliseconds reset_time{20};
        write("x");
        std::this_thread::sleep_for(reset_time);
        boost::beast::error_code ec;
        boost::asio::write(stream_.socket(), boost::asio::buffer("x", 1), ec);
        return !ec;
    }

    boost::asio::io_context io_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    bool open_ = false;
};

inline std::string to_text(const http_call& call)
{
    std::string out = call.method + " " + call.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : call.headers)
        out += fmt::format("{}: {}\r\n", name, value);
    return out + fmt::format("Content-Length: {}\r\n\r\n{}", call.body.size(),
                     call.body);
}

} // namespace tarragonquay::test_support
