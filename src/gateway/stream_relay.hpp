#pragma once

#include <utility>

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "gateway/stream_state.hpp"
#include "gateway/stream_takeover.hpp"

namespace tarragonquay::gateway
{

struct relay_end
{
    relay_outcome outcome = relay_outcome::broken;
    /// Set when the outcome is `answered`.
    whole_answer answer;
    /// The endpoint of the last attempt.
    endpoint_id endpoint;
    /// Another endpoint has begun to continue the stream.
    std::optional<begun_stream> continuation;
};

/// When the caller stops waiting for the first event of the stream.
time_point first_event_deadline(const call& call);
/// When waiting for an endpoint's head or first event ends. A begun stream has
/// no limit but the deadline of the call: its caller waits anew after each
/// event.
time_point next_endpoint_deadline(const call& call, const stream_state& state);
/// Sends the request to one endpoint and forwards its events to the caller.
/// While a begun stream is silent, or the endpoint has probably lost the
/// request, another endpoint is looked for, which takes the stream over when it
/// accepts the request.
boost::asio::awaitable<relay_end> relay_stream(
    call& call, stream_state& state, dispatch::endpoint_choice to);

} // namespace tarragonquay::gateway
