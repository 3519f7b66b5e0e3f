#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/error.hpp"
#include "common/ids.hpp"
#include "events/recorder.hpp"
#include "peer.pb.h"

namespace tarragonquay::daemon
{

/// Merges the events of all members into one timeline. Not thread-safe: used
/// on the control thread only.
class timeline
{
public:
    using sender = std::function<void(const instance_id&, peer::Envelope)>;
    struct collected
    {
        std::vector<events::event> events;
        std::vector<instance_id> missing;
    };
    using handler = std::function<void(collected)>;

    /// Events of this instance, and the cursor that continues after them.
    struct own_page
    {
        std::vector<events::event> events;
        std::string cursor;
        /// Events after the given cursor that are no longer kept.
        std::int64_t dropped = 0;
    };

    /// `incarnation` is part of each cursor, since events do not outlive the
    /// process.
    timeline(boost::asio::io_context& control, events::recorder& own,
        std::string incarnation, sender send);

    /// The first events of this instance after a cursor, or the latest ones
    /// when the cursor is empty. Fails with `invalid_argument` when the cursor
    /// was not made by this incarnation.
    result<own_page> own(const std::string& after, std::size_t limit) const;

    /// Asks the peers for their latest events and calls the handler when all
    /// answered or after 1 s.
    void collect(const std::vector<instance_id>& peers, std::size_t limit,
        handler on_done);

    void on_request(
        const instance_id& from, const peer::Events_request& request);
    void on_reply(const instance_id& from, const peer::Events_reply& reply);

    static peer::Event to_proto(const events::event& value);

private:
    struct collection
    {
        std::vector<std::vector<events::event>> parts;
        std::vector<instance_id> missing;
        std::size_t limit = 0;
        handler on_done;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    void finish(std::int64_t request_id);
    result<std::int64_t> parse_cursor(const std::string& cursor) const;

    boost::asio::io_context& control_;
    events::recorder& own_;
    std::string incarnation_;
    sender send_;
    std::map<std::int64_t, collection> collections_;
    std::int64_t next_request_ = 1;
};

} // namespace tarragonquay::daemon
