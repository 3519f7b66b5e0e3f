#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "gateway/stream_state.hpp"

namespace tarragonquay::gateway
{

struct relay_end
{
    relay_outcome outcome = relay_outcome::broken;
    /// Set when the outcome is `answered`.
    whole_answer answer;
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
