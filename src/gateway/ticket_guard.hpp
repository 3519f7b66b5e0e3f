#pragma once

#include <utility>

#include "dispatch/endpoint_pool.hpp"

namespace tarragonquay::gateway
{

/// RAII guard that finishes an in-flight request at the endpoint pool.
class ticket_guard
{
public:
    ticket_guard(
        dispatch::endpoint_pool& pool, dispatch::in_flight_request ticket)
        : pool_(pool), ticket_(std::move(ticket))
    {
    }
    ~ticket_guard() { pool_.finish(ticket_); }
    ticket_guard(const ticket_guard&) = delete;
    ticket_guard& operator=(const ticket_guard&) = delete;

    dispatch::in_flight_request& ticket() { return ticket_; }

private:
    dispatch::endpoint_pool& pool_;
    dispatch::in_flight_request ticket_;
};

} // namespace tarragonquay::gateway
