#pragma once

#include <utility>

#include <cstdint>
#include <optional>
#include <set>

#include <boost/asio/awaitable.hpp>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

/// A stream on its way, over several endpoints if need be.
struct stream_state
{
    /// The head of the first endpoint has been sent to the caller.
    bool begun = false;
    /// Last event that the caller has.
    std::optional<std::int64_t> last_event;
    /// Endpoints that broke the stream off once, so may be tried again.
    std::set<endpoint_id> retryable_endpoints;
};

/// How one endpoint's part of the stream ended.
enum class relay_outcome
{
    complete,
    /// A whole answer that is no stream; it is in `answer`.
    answered,
    rejected,
    not_connected,
    /// Broken, silent or wrong; may be resumed.
    broken,
    caller_gone
};

struct relay_end
{
    relay_outcome outcome = relay_outcome::broken;
    whole_answer answer;
};

/// When the caller gives up unless the stream has begun.
time_point first_event_deadline(const call& call);
/// Whether another endpoint may go on with the stream.
bool may_resume_elsewhere(const call& call);

/// Sends a stream's request to one endpoint and passes its events on.
boost::asio::awaitable<relay_end> relay_stream(
    call& call, stream_state& state, dispatch::endpoint_choice to);

} // namespace tarragonquay::gateway
