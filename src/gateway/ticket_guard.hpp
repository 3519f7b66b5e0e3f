#pragma once

#include <utility>

#include "dispatch/endpoint_pool.hpp"

namespace tarragonquay::gateway
{

/// Ends a request's place at an endpoint at the end of a scope.
class ticket_guard
{
public:
    ticket_guard(
        dispatch::endpoint_pool& pool, dispatch::in_flight_request held)
        : pool_(pool), held_(std::move(held))
    {
    }
    ~ticket_guard() { pool_.finish(held_); }
    ticket_guard(const ticket_guard&) = delete;
    ticket_guard& operator=(const ticket_guard&) = delete;

    dispatch::in_flight_request& held() { return held_; }

private:
    dispatch::endpoint_pool& pool_;
    dispatch::in_flight_request held_;
};

} // namespace tarragonquay::gateway
