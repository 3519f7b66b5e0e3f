#include <utility>

#include "common/socket_address.hpp"

#include <charconv>

namespace tarragonquay
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

result<tcp::endpoint> parse_socket_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code failure;
    if (colon != std::string::npos)
    {
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        const auto ip = asio::ip::make_address(text.substr(0, colon), failure);
        if (!failure && parsed.ec == std::errc() && parsed.ptr == end)
            return tcp::endpoint(ip, port);
    }
    return fail(error_code::invalid_argument,
        "\"" + text + "\" is not an address of the form ip:port");
}

std::string to_text(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
}

result<tcp::acceptor> open_acceptor(
    const asio::any_io_executor& executor, const std::string& address)
{
    const auto endpoint = parse_socket_address(address);
    if (!endpoint)
        return tl::unexpected<error>(endpoint.error());
    tcp::acceptor acceptor(executor);
    boost::system::error_code failure;
    acceptor.open(endpoint->protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(*endpoint, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return fail(error_code::invalid_argument,
            "cannot listen on " + address + ": " + failure.message());
    return acceptor;
}

} // namespace tarragonquay
