#include "common/socket_state.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace tarragonquay
{

socket_state peek_socket(int descriptor)
{
    char byte = 0;
    const auto count =
        ::recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return socket_state::has_input;
    const bool nothing_yet =
        count < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothing_yet ? socket_state::idle : socket_state::closed;
}

bool is_closed_in_order(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return true;
    return info.tcpi_state != TCP_CLOSE;
}

} // namespace tarragonquay
