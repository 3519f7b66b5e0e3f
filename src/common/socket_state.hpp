#pragma once

namespace tarragonquay
{

/// State of a connected socket as seen by its next read.
enum class socket_state
{
    /// The connection is open and has no pending input.
    idle,
    has_input,
    closed
};

/// Returns the state of a connected socket without blocking or consuming input.
socket_state peek_socket(int descriptor);

} // namespace tarragonquay
