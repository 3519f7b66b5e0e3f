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

/// Whether a TCP connection whose input has ended was closed by the peer's FIN
/// and not reset since. The system reports a reset to one call only: after a
/// failed write, the next read of a reset connection returns an end like that
/// of an orderly close. True when the state is unknown.
bool is_closed_in_order(int descriptor);

} // namespace tarragonquay
