#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "routing/types.hpp"

namespace tarragonquay::routing
{

/// A request that waits for an endpoint.
struct queued_request
{
    std::uint64_t ticket = 0;
    request_spec spec;
    std::function<void(result<assignment>)> on_done;
    time_point enqueued_at;
};

using request_filter = std::function<bool(const queued_request&)>;

/// The waiting requests of one model or service.
template <class Queue>
concept queue_discipline = requires(Queue& queue, queued_request item,
    const request_filter& filter, const request_spec& spec)
{
    // Returns the request that is evicted when the queue is full.
    {
        queue.push(std::move(item))
        } -> std::same_as<std::optional<queued_request>>;
    // Removes the next request that matches the filter.
    {
        queue.pop(filter)
        } -> std::same_as<std::optional<queued_request>>;
    {
        queue.remove_if(filter)
        } -> std::same_as<std::vector<queued_request>>;
    // Tokens that would be served before this request.
    {
        queue.tokens_ahead(spec)
        } -> std::convertible_to<std::int64_t>;
    // Those of them that belong to the same workspace; 0 for a discipline that
    // does not alternate between workspaces.
    {
        queue.own_tokens_ahead(spec)
        } -> std::convertible_to<std::int64_t>;
    {
        queue.size()
        } -> std::convertible_to<std::size_t>;
};

/// Start-time fair queueing over workspaces by token cost; strict priorities
/// inside a workspace. Backlogged workspaces get equal tokens, and one that was
/// idle is served next, whatever its request costs. With deficit round robin,
/// it waited two rounds whenever a request cost more than the quantum.
class fair_queue
{
public:
    explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

    std::optional<queued_request> push(queued_request item);
    std::optional<queued_request> pop(const request_filter& filter);
    std::vector<queued_request> remove_if(const request_filter& filter);
    std::int64_t tokens_ahead(const request_spec& spec) const;
    std::int64_t own_tokens_ahead(const request_spec& spec) const;
    std::size_t size() const { return size_; }

private:
    struct flow
    {
        std::array<std::deque<queued_request>, 3> by_priority;
        // Virtual time, in tokens, at which the next request begins.
        std::int64_t start = 0;
        std::int64_t tokens = 0;
        std::size_t count = 0;
    };
    struct position
    {
        std::size_t level = 0;
        std::size_t index = 0;
    };

    queued_request take(flow& from, std::size_t level, std::size_t index);
    queued_request take_newest(flow& from);
    static std::optional<position> first_match(
        const flow& searched, const request_filter& filter);
    void remove_idle_flows();

    const std::size_t capacity_;
    std::size_t size_ = 0;
    // An empty flow is kept until the virtual time has reached its start.
    // Otherwise a workspace could get more than its share by letting its flow
    // run empty.
    std::map<workspace_id, flow> flows_;
    std::int64_t virtual_time_ = 0;
};

/// Baseline: order of arrival.
class fifo_queue
{
public:
    explicit fifo_queue(std::size_t capacity) : capacity_(capacity) {}

    std::optional<queued_request> push(queued_request item);
    std::optional<queued_request> pop(const request_filter& filter);
    std::vector<queued_request> remove_if(const request_filter& filter);
    std::int64_t tokens_ahead(const request_spec& spec) const;
    std::int64_t own_tokens_ahead(const request_spec&) const { return 0; }
    std::size_t size() const { return items_.size(); }

private:
    const std::size_t capacity_;
    std::int64_t tokens_ = 0;
    std::deque<queued_request> items_;
};

} // namespace tarragonquay::routing
