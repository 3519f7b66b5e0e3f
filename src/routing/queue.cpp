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
    auto& own = flows_[workspace];
    if (own.count == 0)
        own.start = std::max(own.start, virtual_time_);
    own.tokens += cost_of(item.spec);
    ++own.count;
    ++size_;
    own.by_priority.at(level).push_back(std::move(item));
    if (size_ <= capacity_)
        return std::nullopt;
    // Evict from the workspace with the most tokens, so that it can't fill the
    // queue at the expense of the others.
    auto largest = flows_.begin();
    for (auto other = flows_.begin(); other != flows_.end(); ++other)
        if (other->second.tokens > largest->second.tokens)
            largest = other;
    auto evicted = take_newest(largest->second);
    remove_idle_flows();
    return evicted;
}

std::optional<fair_queue::position> fair_queue::first_match(
    const flow& searched, const request_filter& filter)
{
    for (std::size_t level = 0; level < searched.by_priority.size(); ++level)
    {
        const auto& items = searched.by_priority.at(level);
        const auto it = std::find_if(items.begin(), items.end(), filter);
        if (it != items.end())
            return position{
                level, static_cast<std::size_t>(it - items.begin())};
    }
    return std::nullopt;
}

std::optional<queued_request> fair_queue::pop(const request_filter& filter)
{
    std::vector<flow*> order;
    for (auto& [workspace, each] : flows_)
        if (each.count > 0)
            order.push_back(&each);
    std::stable_sort(order.begin(), order.end(),
        [](const flow* a, const flow* b) { return a->start < b->start; });
    for (auto at = order.begin(); at != order.end(); ++at)
    {
        auto& own = **at;
        const auto found = first_match(own, filter);
        if (!found)
            continue;
        virtual_time_ = std::max(virtual_time_, own.start);
        // A workspace whose requests can't be dispatched does not build up
        // credit.
        for (auto passed = order.begin(); passed != at; ++passed)
            (*passed)->start = own.start;
        auto item = take(own, found->level, found->index);
        own.start += cost_of(item.spec);
        remove_idle_flows();
        return item;
    }
    return std::nullopt;
}

std::vector<queued_request> fair_queue::remove_if(const request_filter& filter)
{
    std::vector<queued_request> removed;
    for (auto& [workspace, own] : flows_)
        for (std::size_t level = 0; level < own.by_priority.size(); ++level)
            for (std::size_t i = 0; i < own.by_priority.at(level).size();)
            {
                if (filter(own.by_priority.at(level)[i]))
                    removed.push_back(take(own, level, i));
                else
                    ++i;
            }
    remove_idle_flows();
    return removed;
}

std::int64_t fair_queue::own_tokens_ahead(const request_spec& spec) const
{
    std::int64_t own = 0;
    const auto mine = flows_.find(spec.workspace);
    if (mine == flows_.end())
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
    // Meanwhile, each other workspace is served at most as many tokens as this
    // one.
    auto ahead = own;
    for (const auto& [workspace, other] : flows_)
        if (workspace != spec.workspace)
            ahead += std::min(other.tokens, own + cost_of(spec));
    return ahead;
}

queued_request fair_queue::take(
    flow& from, std::size_t level, std::size_t index)
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

queued_request fair_queue::take_newest(flow& from)
{
    auto level = from.by_priority.size() - 1;
    while (from.by_priority.at(level).empty())
        --level;
    return take(from, level, from.by_priority.at(level).size() - 1);
}

void fair_queue::remove_idle_flows()
{
    std::erase_if(flows_,
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
