#pragma once

#include <utility>

#include <cstdint>

#include <boost/asio/awaitable.hpp>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

/// What a request may do next, judged by the parts of its prompt.
enum class send_permission
{
    granted,
    /// The request must not be sent; the caller has been answered.
    refused,
    /// The request was lost in a crash and may be its cause; it is not sent
    /// again.
    not_repeated
};

/// Decides whether the request may be sent, possibly again. One with a suspect
/// part waits until no other request with the part is in flight at this
/// instance, for as long as an answer would still be useful. Answers the caller
/// when the request is refused.
boost::asio::awaitable<send_permission> permit_prompt(call& call);

/// Records that an engine has begun to answer the request.
void note_prompt_answered(call& call);

/// Called when the connection to an engine broke before the first event of the
/// answer. Finds out whether the engine process, identified by its start in
/// milliseconds of Unix time, has ended, and records the crash.
boost::asio::awaitable<void> note_prompt_lost(call& call,
    const dispatch::endpoint_choice& at, std::int64_t started_unix_ms);

} // namespace tarragonquay::gateway
