#pragma once

#include <utility>

#include "dispatch/endpoint_board.hpp"

namespace tarragonquay::gateway
{

/// RAII guard that finishes a request's ticket on the endpoint board.
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
