#pragma once

#include <utility>

#include "dispatch/endpoint_board.hpp"

namespace tarragonquay::gateway
{

/// Ends a request's place at an endpoint at the end of a scope.
class ticket_guard
{
public:
    ticket_guard(dispatch::endpoint_board& board, dispatch::ticket ticket)
        : board_(board), ticket_(std::move(ticket))
    {
    }
    ~ticket_guard() { board_.finish(ticket_); }
    ticket_guard(const ticket_guard&) = delete;
    ticket_guard& operator=(const ticket_guard&) = delete;

    dispatch::ticket& ticket() { return ticket_; }

private:
    dispatch::endpoint_board& board_;
    dispatch::ticket ticket_;
};

} // namespace tarragonquay::gateway
