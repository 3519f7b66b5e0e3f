#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "gateway/answer_sink.hpp"
#include "gateway/caller_request.hpp"
#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// Serves one request: finds its route, checks key and limit, sends it to
/// endpoints as far as it may be repeated, and answers.
boost::asio::awaitable<void> forward(
    context& ctx, caller_request request, answer_sink& out);

/// A refusal with this status. `retry_after_s` tells when to come back; 0 for
/// no such advice.
whole_answer refusal_answer(int status, double retry_after_s);

} // namespace tarragonquay::gateway
