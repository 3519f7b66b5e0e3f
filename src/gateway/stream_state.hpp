#pragma once

#include <utility>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

#include "gateway/call.hpp"
#include "gateway/ticket_guard.hpp"

namespace tarragonquay::gateway
{

/// State of a stream to a caller, which several endpoints may continue in turn.
struct stream_state
{
    /// Whether the head of the answer has been sent to the caller.
    bool begun = false;
    /// Id of the last event that the caller has got.
    std::optional<std::int64_t> last_event;
    /// Endpoints that broke the stream or were silent once and may be tried
    /// once more.
    std::set<endpoint_id> retryable_endpoints;
};

/// Outcome of relaying a stream from one endpoint.
enum class relay_outcome
{
    complete,
    /// The endpoint returned a complete answer instead of a stream.
    answered,
    rejected,
    not_connected,
    /// The stream was interrupted, stalled or invalid; it may be resumed.
    broken,
    /// The endpoint was silent, and another one continues the stream.
    moved,
    caller_gone
};

/// Whether the request may be sent to another endpoint, or again to one that
/// broke the stream.
bool may_send(const call& call, const stream_state& state);

/// Chooses the best endpoint that has not been tried, if attempts are left.
/// Otherwise, an endpoint that broke the stream once may be chosen again.
/// `excluded` are never chosen.
result<dispatch::endpoint_choice> choose_next(const call& call,
    const stream_state& state, const std::set<endpoint_id>& excluded,
    time_point now);

/// Chooses this endpoint, if it can be used.
result<dispatch::endpoint_choice> choose_again(
    const call& call, const endpoint_id& endpoint, time_point now);

/// Records at the endpoint pool that the request is sent to an endpoint.
std::unique_ptr<ticket_guard> make_ticket(
    call& call, const dispatch::endpoint_choice& to);

/// Builds the request for the events that follow the last one.
endpoints::exchange_request make_stream_exchange(const call& call,
    const stream_state& state, const dispatch::endpoint_choice& to,
    time_point deadline);

/// Records at the endpoint pool that an endpoint rejected the request; `kind`
/// is `misdirected` or `rejected`.
void note_rejection(call& call, const dispatch::endpoint_choice& from,
    attempt_outcome kind, const endpoints::answer_head& head);

/// Counts a send to this endpoint.
void count_send(call& call, const endpoint_id& endpoint);

/// Records that an endpoint was tried. One that broke the stream may be tried
/// once more, since it may be the only one that holds the model, and so may one
/// that was silent, since sound endpoints fall silent for a while.
void record_attempt(call& call, stream_state& state,
    const endpoint_id& endpoint, relay_outcome outcome);

} // namespace tarragonquay::gateway
