#pragma once

namespace tarragonquay
{

/// What the other end of a connection has done that was not read yet.
enum class socket_state
{
    /// Nothing: the connection is open and no input waits.
    idle,
    has_input,
    closed
};

/// Looks at a connected socket without reading from it or waiting.
socket_state peek_socket(int descriptor);

} // namespace tarragonquay
