#include "daemon/timeline.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace tarragonquay::daemon
{

namespace
{

constexpr std::chrono::seconds answer_timeout{1};
// Limits the size of a reply to a peer: an event takes about 100 bytes.
constexpr std::size_t max_events = 10'000;

events::event from_proto(const peer::Event& message)
{
    events::event value;
    value.time = {message.wall_ms(), message.logical()};
    value.instance = message.instance();
    value.kind = events::kind_from_string(message.kind());
    value.subject = message.subject();
    value.detail = message.detail();
    return value;
}

// Keeps the newest `limit` events, which matter most when there are too many.
std::vector<events::event> latest(
    std::vector<events::event> all, std::size_t limit)
{
    if (all.size() > limit)
        all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(limit));
    return all;
}

} // namespace

timeline::timeline(boost::asio::io_context& control, events::recorder& own,
    std::string incarnation, sender send)
    : control_(control),
      own_(own),
      incarnation_(std::move(incarnation)),
      send_(std::move(send))
{
}

// A cursor has the form "INCARNATION.POSITION"; the position is the number of
// events before it.
result<std::int64_t> timeline::parse_cursor(const std::string& cursor) const
{
    const auto dot = cursor.rfind('.');
    std::int64_t position = 0;
    const auto* end = cursor.data() + cursor.size();
    if (dot == std::string::npos)
        return fail(error_code::invalid_argument,
            "after_cursor must be a cursor from an earlier reply");
    const auto parsed = std::from_chars(cursor.data() + dot + 1, end, position);
    if (parsed.ec != std::errc() || parsed.ptr != end || position < 0)
        return fail(error_code::invalid_argument,
            "after_cursor must be a cursor from an earlier reply");
    if (cursor.substr(0, dot) != incarnation_)
        return fail(error_code::invalid_argument,
            "after_cursor is from another instance or from before a restart; "
            "begin again without a cursor");
    return position;
}

result<timeline::own_page> timeline::own(
    const std::string& after, std::size_t limit) const
{
    std::int64_t position = 0;
    if (!after.empty())
    {
        const auto parsed = parse_cursor(after);
        if (!parsed)
            return tl::unexpected<error>(parsed.error());
        position = *parsed;
    }
    auto page =
        after.empty() ? own_.latest(limit) : own_.since(position, limit);
    if (page.cursor < position)
        return fail(error_code::invalid_argument,
            "after_cursor is beyond the last event of the instance");
    return own_page{std::move(page.events),
        fmt::format("{}.{}", incarnation_, page.cursor), page.dropped};
}

peer::Event timeline::to_proto(const events::event& value)
{
    peer::Event message;
    message.set_wall_ms(value.time.wall_ms);
    message.set_logical(value.time.logical);
    message.set_instance(value.instance);
    message.set_kind(events::to_string(value.kind));
    message.set_subject(value.subject);
    message.set_detail(value.detail);
    return message;
}

void timeline::collect(
    const std::vector<instance_id>& peers, std::size_t limit, handler on_done)
{
    const auto id = next_request_++;
    auto& started = collections_[id];
    started.parts.push_back(own_.latest(limit).events);
    started.missing = peers;
    started.limit = limit;
    started.on_done = std::move(on_done);
    if (peers.empty())
        return finish(id);
    started.timer = std::make_unique<boost::asio::steady_timer>(control_);
    started.timer->expires_after(answer_timeout);
    started.timer->async_wait(
        [this, id](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
                finish(id);
        });
    for (const auto& peer : peers)
    {
        peer::Envelope envelope;
        auto& request = *envelope.mutable_events_request();
        request.set_request_id(id);
        request.set_limit(static_cast<std::int32_t>(limit));
        send_(peer, std::move(envelope));
    }
}

void timeline::on_request(
    const instance_id& from, const peer::Events_request& request)
{
    peer::Envelope envelope;
    auto& reply = *envelope.mutable_events_reply();
    reply.set_request_id(request.request_id());
    const auto limit = std::clamp<std::int64_t>(request.limit(), 0, max_events);
    const auto page = own_.latest(static_cast<std::size_t>(limit));
    for (const auto& value : page.events)
        *reply.add_events() = to_proto(value);
    send_(from, std::move(envelope));
}

void timeline::on_reply(
    const instance_id& from, const peer::Events_reply& reply)
{
    const auto found = collections_.find(reply.request_id());
    if (found == collections_.end() ||
        std::erase(found->second.missing, from) == 0)
        return;
    std::vector<events::event> part;
    for (const auto& message : reply.events())
        part.push_back(from_proto(message));
    found->second.parts.push_back(std::move(part));
    if (found->second.missing.empty())
        finish(reply.request_id());
}

void timeline::finish(std::int64_t request_id)
{
    const auto found = collections_.find(request_id);
    if (found == collections_.end())
        return;
    auto ended = std::move(found->second);
    collections_.erase(found);
    ended.on_done({latest(events::merge(std::move(ended.parts)), ended.limit),
        std::move(ended.missing)});
}

} // namespace tarragonquay::daemon
