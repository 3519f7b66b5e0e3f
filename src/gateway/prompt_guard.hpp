#pragma once

#include <utility>

#include <chrono>

#include <boost/asio/awaitable.hpp>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

/// A request is established when its endpoint still answers this long after it
/// has begun, or has answered completely. An engine that crashes on a prompt
/// ends sooner.
inline constexpr std::chrono::milliseconds establishing_time{500};

/// What a request may do next, judged by the parts of its prompt.
enum class send_permission
{
    granted,
    /// The request must not be sent. The caller has been answered, unless its
    /// stream has begun, which ends here.
    refused,
    /// The request may have caused a crash and was not cleared in time; it is
    /// not sent again.
    not_repeated
};

/// Decides whether the request may be sent, possibly again. One with a suspect
/// part waits until no other request with the part is in flight at this
/// instance, for as long as an answer would still be useful; one that was lost
/// in a crash waits until the part is cleared. Answers the caller when the
/// request is refused. Applies to first sends, repeats and resumed streams.
boost::asio::awaitable<send_permission> permit_prompt(call& call);

/// Whether a silent engine's request may be sent to another one meanwhile. One
/// that may crash engines waits at one engine only.
bool may_send_elsewhere(const call& call, time_point now);

/// Records that the request is established at an engine.
void note_prompt_established(call& call);

/// Whether the endpoint ended the connection before the answer was complete.
bool is_broken_by_endpoint(const error& cause);

/// Finds out whether the engine processes of the lost sends have ended, and
/// records the crashes.
boost::asio::awaitable<void> record_lost_sends(call& call);

} // namespace tarragonquay::gateway
