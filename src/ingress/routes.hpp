#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "ingress/authorization.hpp"
#include "ingress/caller_request.hpp"
#include "ingress/responder.hpp"
#include "ingress/worker.hpp"

namespace tarragonquay::ingress
{

/// Serves one request on the route that its path names.
boost::asio::awaitable<void> serve(
    worker& io_worker, caller_request request, responder& out);

/// POST /v1/chat/completions.
boost::asio::awaitable<void> serve_completion(
    worker& io_worker, const caller_request& request, responder& out);

/// /services/{name}/...
boost::asio::awaitable<void> serve_service(
    worker& io_worker, const caller_request& request, responder& out);

/// Refuses a request or ends a started stream with an explicit error.
boost::asio::awaitable<void> answer_error(worker& io_worker,
    const caller_request& request, responder& out, error cause);

/// Attempts on different endpoints for one request.
inline constexpr int max_attempts = 3;

/// Asks the control thread for tokens.
boost::asio::awaitable<result<limits::reservation>> admit(worker& io_worker,
    workspace_id workspace, std::int64_t tokens, time_point deadline);

/// Asks the control thread for an endpoint.
boost::asio::awaitable<result<routing::assignment>> acquire(
    worker& io_worker, routing::request_spec spec);

/// Sorts by rendezvous hash of the workspace, the given zone first.
void order_entries(std::vector<entry_address>& entries,
    const std::string& workspace, const std::string& zone);

/// Effect of an endpoint's failure on its assignment.
routing::outcome assignment_outcome(const error& cause);

} // namespace tarragonquay::ingress
