#pragma once

#include <cstddef>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include "common/message_framing.hpp"

namespace tarragonquay
{

/// Reads into `buffer` until it starts with the whole head of a message, which
/// stays there for a parser, and checks how the head delimits its body. Fails
/// as find_head_end and check_framing do. Failures to read set `ec`, with the
/// codes that Beast's readers use: header_limit, end_of_stream before the first
/// byte, partial_message after it.
template <class Stream, class Buffer>
boost::asio::awaitable<result<void>> read_head(Stream& stream, Buffer& buffer,
    std::size_t limit_bytes, boost::system::error_code& ec)
{
    constexpr std::size_t read_size_bytes = 16UL << 10U;
    ec = {};
    std::size_t searched = 0;
    while (true)
    {
        const std::string_view bytes(
            static_cast<const char*>(buffer.data().data()), buffer.size());
        const auto end = find_head_end(bytes, searched);
        if (!end)
            co_return tl::unexpected<error>(end.error());
        const auto size = end->value_or(bytes.size());
        if (size > limit_bytes)
        {
            ec = boost::beast::http::error::header_limit;
            co_return result<void>();
        }
        if (*end)
            co_return check_framing(bytes.substr(0, size));
        searched = bytes.size();
        const auto space = buffer.prepare(read_size_bytes);
        const auto read = co_await stream.async_read_some(
            space, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        buffer.commit(read);
        if (ec == boost::asio::error::eof)
            ec = buffer.size() == 0
                     ? boost::beast::http::error::end_of_stream
                     : boost::beast::http::error::partial_message;
        if (ec)
            co_return result<void>();
    }
}

} // namespace tarragonquay
