#pragma once

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "gateway/stream_state.hpp"
#include "gateway/ticket_guard.hpp"

namespace tarragonquay::gateway
{

/// A stream whose head has arrived from an endpoint.
struct begun_stream
{
    dispatch::endpoint_choice from;
    std::unique_ptr<ticket_guard> ticket;
    endpoints::http_connection connection;
    endpoints::answer_head head;
    /// Number of the send.
    int send = 0;
};

/// Looks for an endpoint that takes over a stream from a silent one, whose
/// connection stays open meanwhile. At most one endpoint is asked at a time. A
/// begun stream's own endpoint is asked once over a new connection when there
/// is no other, since the connection alone may have gone silent.
class stream_takeover
{
public:
    /// `current` is the silent endpoint. `on_accepted` is called when another
    /// endpoint has begun the stream. After a search without success, the next
    /// one begins when `retry_interval` has passed.
    stream_takeover(call& call, stream_state& state, endpoint_id current,
        std::chrono::milliseconds retry_interval,
        std::function<void()> on_accepted);
    ~stream_takeover();
    stream_takeover(const stream_takeover&) = delete;
    stream_takeover& operator=(const stream_takeover&) = delete;

    /// Begins to look for another endpoint at this time, unless stopped. With a
    /// condition, the search waits until it holds, which is checked from this
    /// time on at intervals.
    void search_at(time_point due, std::function<bool()> condition = nullptr);
    /// Withdraws the request from the endpoint that is being asked. There is no
    /// search until the next search_at().
    void stop();
    /// Like stop(), also drops a stream that was accepted and ends all
    /// searches.
    void close();
    /// Whether another endpoint has begun the stream.
    bool accepted() const;
    /// Waits for the endpoint that is being asked, if there is one. Returns the
    /// stream if it was accepted.
    boost::asio::awaitable<std::optional<begun_stream>> outcome();

private:
    class search;
    // Shared with the coroutine, which may resume after the takeover is
    // destroyed.
    std::shared_ptr<search> search_;
};

} // namespace tarragonquay::gateway
