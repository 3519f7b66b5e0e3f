#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "gateway/answer_sink.hpp"
#include "gateway/caller_request.hpp"
#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// Serves one request: finds its route, checks the key and the rate limit,
/// sends it to an endpoint, repeats it at others where the route permits, and
/// answers the caller.
boost::asio::awaitable<void> forward(
    context& ctx, caller_request request, answer_sink& out);

/// Builds a refusal with this status and a Retry-After field in seconds; 0 for
/// none.
whole_answer refusal_answer(int status, double retry_after_s);

} // namespace tarragonquay::gateway
