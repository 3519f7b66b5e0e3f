#pragma once

#include <utility>

#include "dispatch/endpoint_board.hpp"

namespace tarragonquay::gateway
{

/// Ends a request's place at an endpoint at the end of a scope.
class ticket_guard
{
public:
    ticket_guard(dispatch::endpoint_board& board, dispatch::ticket held)
        : board_(board), held_(std::move(held))
    {
    }
    ~ticket_guard() { board_.finish(held_); }
    ticket_guard(const ticket_guard&) = delete;
    ticket_guard& operator=(const ticket_guard&) = delete;

    dispatch::ticket& held() { return held_; }

private:
    dispatch::endpoint_board& board_;
    dispatch::ticket held_;
};

} // namespace tarragonquay::gateway
