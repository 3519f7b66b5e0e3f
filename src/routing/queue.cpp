#include "routing/queue.hpp"

namespace tarragonquay::routing
{
namespace
{

std::int64_t cost_of(const request_spec& spec)
{
    return std::max<std::int64_t>(1, spec.cost_tokens);
}

} // namespace

std::optional<queued_request> fair_queue::push(queued_request item)
{
    const auto workspace = item.spec.workspace;
    const auto level = static_cast<std::size_t>(item.spec.priority);
    auto& own = lanes_[workspace];
    if (own.count == 0)
        own.start = std::max(own.start, virtual_time_);
    own.tokens += cost_of(item.spec);
    ++own.count;
    ++size_;
    own.by_priority.at(level).push_back(std::move(item));
    if (size_ <= capacity_)
        return std::nullopt;
    // The workspace that holds the most tokens gives way, so that it can't
    // fill the queue for the others.
    auto largest = lanes_.begin();
    for (auto other = lanes_.begin(); other != lanes_.end(); ++other)
        if (other->second.tokens > largest->second.tokens)
            largest = other;
    auto evicted = take_newest(largest->second);
    drop_idle_lanes();
    return evicted;
}

std::optional<fair_queue::place> fair_queue::first_match(
    const lane& in, const request_filter& filter)
{
    for (std::size_t level = 0; level < in.by_priority.size(); ++level)
    {
        const auto& items = in.by_priority.at(level);
        const auto it = std::find_if(items.begin(), items.end(), filter);
        if (it != items.end())
            return place{level, static_cast<std::size_t>(it - items.begin())};
    }
    return std::nullopt;
}

std::optional<queued_request> fair_queue::pop(const request_filter& filter)
{
    std::vector<lane*> order;
    for (auto& [workspace, each] : lanes_)
        if (each.count > 0)
            order.push_back(&each);
    std::stable_sort(order.begin(), order.end(),
        [](const lane* a, const lane* b) { return a->start < b->start; });
    for (auto at = order.begin(); at != order.end(); ++at)
    {
        auto& own = **at;
        const auto found = first_match(own, filter);
        if (!found)
            continue;
        virtual_time_ = std::max(virtual_time_, own.start);
        // A workspace whose requests can't be placed gains nothing meanwhile.
        for (auto passed = order.begin(); passed != at; ++passed)
            (*passed)->start = own.start;
        auto item = take(own, found->level, found->index);
        own.start += cost_of(item.spec);
        drop_idle_lanes();
        return item;
    }
    return std::nullopt;
}

std::vector<queued_request> fair_queue::remove_if(const request_filter& filter)
{
    std::vector<queued_request> removed;
    for (auto& [workspace, own] : lanes_)
        for (std::size_t level = 0; level < own.by_priority.size(); ++level)
            for (std::size_t i = 0; i < own.by_priority.at(level).size();)
            {
                if (filter(own.by_priority.at(level)[i]))
                    removed.push_back(take(own, level, i));
                else
                    ++i;
            }
    drop_idle_lanes();
    return removed;
}

std::int64_t fair_queue::own_tokens_ahead(const request_spec& spec) const
{
    std::int64_t own = 0;
    const auto mine = lanes_.find(spec.workspace);
    if (mine == lanes_.end())
        return own;
    for (std::size_t level = 0;
         level <= static_cast<std::size_t>(spec.priority); ++level)
        for (const auto& item : mine->second.by_priority.at(level))
            own += cost_of(item.spec);
    return own;
}

std::int64_t fair_queue::tokens_ahead(const request_spec& spec) const
{
    const auto own = own_tokens_ahead(spec);
    // Each other workspace is served at most as much as this one meanwhile.
    auto ahead = own;
    for (const auto& [workspace, other] : lanes_)
        if (workspace != spec.workspace)
            ahead += std::min(other.tokens, own + cost_of(spec));
    return ahead;
}

queued_request fair_queue::take(
    lane& from, std::size_t level, std::size_t index)
{
    auto& items = from.by_priority.at(level);
    const auto it = items.begin() + static_cast<std::ptrdiff_t>(index);
    auto item = std::move(*it);
    items.erase(it);
    from.tokens -= cost_of(item.spec);
    --from.count;
    --size_;
    return item;
}

queued_request fair_queue::take_newest(lane& from)
{
    auto level = from.by_priority.size() - 1;
    while (from.by_priority.at(level).empty())
        --level;
    return take(from, level, from.by_priority.at(level).size() - 1);
}

void fair_queue::drop_idle_lanes()
{
    std::erase_if(lanes_,
        [this](const auto& entry)
        {
            return entry.second.count == 0 &&
                   (size_ == 0 || entry.second.start <= virtual_time_);
        });
    if (size_ == 0)
        virtual_time_ = 0;
}

std::optional<queued_request> fifo_queue::push(queued_request item)
{
    if (items_.size() >= capacity_)
        return item;
    tokens_ += cost_of(item.spec);
    items_.push_back(std::move(item));
    return std::nullopt;
}

std::optional<queued_request> fifo_queue::pop(const request_filter& filter)
{
    const auto it = std::find_if(items_.begin(), items_.end(), filter);
    if (it == items_.end())
        return std::nullopt;
    auto item = std::move(*it);
    items_.erase(it);
    tokens_ -= cost_of(item.spec);
    return item;
}

std::vector<queued_request> fifo_queue::remove_if(const request_filter& filter)
{
    std::vector<queued_request> removed;
    for (auto it = items_.begin(); it != items_.end();)
    {
        if (!filter(*it))
        {
            ++it;
            continue;
        }
        tokens_ -= cost_of(it->spec);
        removed.push_back(std::move(*it));
        it = items_.erase(it);
    }
    return removed;
}

std::int64_t fifo_queue::tokens_ahead(const request_spec&) const
{
    return tokens_;
}

} // namespace tarragonquay::routing
