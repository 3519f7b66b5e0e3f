#pragma once

#include <utility>

#include <cstdint>
#include <optional>
#include <set>

#include <boost/asio/awaitable.hpp>

#include "gateway/call.hpp"

namespace tarragonquay::gateway
{

/// State of a stream to a caller, which several endpoints may continue in turn.
struct stream_state
{
    /// Whether the head of the answer has been sent to the caller.
    bool begun = false;
    /// Id of the last event that the caller has got.
    std::optional<std::int64_t> last_event;
    /// Endpoints that broke the stream once and may be tried once more.
    std::set<endpoint_id> retryable_endpoints;
};

/// Outcome of relaying a stream from one endpoint.
enum class relay_outcome
{
    complete,
    /// The endpoint returned a complete answer instead of a stream; it is in
    /// `answer`.
    answered,
    rejected,
    not_connected,
    /// The stream was interrupted, stalled or invalid; it may be resumed.
    broken,
    caller_gone
};

struct relay_end
{
    relay_outcome outcome = relay_outcome::broken;
    whole_answer answer;
    /// Whether the endpoint broke the connection before the first event.
    bool lost_before_event = false;
};

/// When the caller stops waiting for the first event of the stream.
time_point first_event_deadline(const call& call);
/// When waiting for an endpoint's head or first event ends. A begun stream has
/// no limit but the deadline of the call: its caller waits anew after each
/// event.
time_point next_endpoint_deadline(const call& call, const stream_state& state);
/// Whether another endpoint may continue the stream.
bool may_resume_elsewhere(const call& call);

/// Sends the request to one endpoint and forwards its events to the caller.
boost::asio::awaitable<relay_end> relay_stream(
    call& call, stream_state& state, dispatch::endpoint_choice to);

} // namespace tarragonquay::gateway
