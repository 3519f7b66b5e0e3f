#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

/// Latest time at which a stream may get its first event, or a plain request be
/// sent, so that the answer is expected to end before a planned stop interrupts
/// it. `time_point::max()` while the process is not stopping and for a request
/// whose deadline comes before the interruption.
time_point latest_answer_begin(const call& call);

/// Refuses a request that a planned stop leaves no time for: with 503 when it
/// has not run and never will, with 502 when it may have run.
boost::asio::awaitable<void> refuse_at_stop(call& call);

} // namespace tarragonquay::gateway
