#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "ingress/authorization.hpp"
#include "ingress/caller_request.hpp"
#include "ingress/responder.hpp"
#include "ingress/worker.hpp"

namespace tarragonquay::ingress
{

/// Dispatches a request to the handler of its path and method.
boost::asio::awaitable<void> serve(
    worker& io_worker, caller_request request, responder& out);

/// Serves POST /v1/chat/completions.
boost::asio::awaitable<void> serve_completion(
    worker& io_worker, const caller_request& request, responder& out);

/// Serves /services/{name}/...
boost::asio::awaitable<void> serve_service(
    worker& io_worker, const caller_request& request, responder& out);

/// Sends an error to the caller: as the answer, or as the last event of a
/// stream that has been started.
boost::asio::awaitable<void> answer_error(worker& io_worker,
    const caller_request& request, responder& out, error cause);

/// Maximum number of attempts for one request, each usually on a different
/// endpoint.
inline constexpr int max_attempts = 3;

/// Reserves tokens through the control thread; see control_port::admit.
boost::asio::awaitable<result<limits::reservation>> admit(worker& io_worker,
    workspace_id workspace, std::int64_t tokens, time_point deadline);

/// Gets an endpoint from the control thread; see control_port::acquire.
boost::asio::awaitable<result<routing::assignment>> acquire(
    worker& io_worker, routing::request_spec spec);

/// Sorts entries by availability zone, the given one first, and then by
/// rendezvous hash of the workspace.
void order_entries(std::vector<entry_address>& entries,
    const std::string& workspace, const std::string& zone);

/// Outcome to report for the assignment of an attempt that failed.
routing::outcome assignment_outcome(const error& cause);

/// Logs the defect of an endpoint's answer that is incomplete or invalid; does
/// nothing for other failures.
void log_defect(worker& io_worker, const routing::assignment& held,
    const std::string& request_id, const error& cause);

} // namespace tarragonquay::ingress
