#include "daemon/demand_exchange.hpp"

#include <algorithm>
#include <utility>

namespace tarragonquay::daemon
{

namespace
{

// Reports come each second; an instance that sent none for this long has
// stopped or is cut off.
constexpr std::chrono::seconds report_lifetime{5};

std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void add(routing::demand_entry& sum, const routing::demand_entry& part)
{
    sum.tokens += part.tokens;
    sum.tokens_per_second += part.tokens_per_second;
    sum.waiting += part.waiting;
    if (!part.waiting_since)
        return;
    sum.waiting_since = sum.waiting_since
                            ? std::min(*sum.waiting_since, *part.waiting_since)
                            : *part.waiting_since;
}

} // namespace

peer::Demand_report demand_exchange::encode(
    const std::vector<routing::demand_entry>& own, time_point now)
{
    peer::Demand_report report;
    for (const auto& entry : own)
    {
        auto& item = *report.add_entries();
        item.set_model(entry.model.str());
        item.set_adapter(entry.adapter.str());
        item.set_tokens(entry.tokens);
        item.set_tokens_per_second(entry.tokens_per_second);
        item.set_waiting(entry.waiting);
        if (entry.waiting_since)
            item.set_waited_ms(milliseconds(now - *entry.waiting_since));
    }
    return report;
}

void demand_exchange::receive(
    const instance_id& from, const peer::Demand_report& report, time_point now)
{
    remote fresh;
    fresh.received_at = now;
    for (const auto& item : report.entries())
    {
        routing::demand_entry entry;
        entry.model = model_id(item.model());
        entry.adapter = adapter_id(item.adapter());
        entry.tokens = item.tokens();
        entry.tokens_per_second = item.tokens_per_second();
        entry.waiting = item.waiting();
        if (entry.waiting > 0)
            entry.waiting_since =
                now - std::chrono::milliseconds(item.waited_ms());
        fresh.entries.push_back(std::move(entry));
    }
    remotes_[from] = std::move(fresh);
}

std::vector<routing::demand_entry> demand_exchange::total(
    const std::vector<routing::demand_entry>& own, time_point now) const
{
    std::map<std::pair<model_id, adapter_id>, routing::demand_entry> sums;
    const auto include = [&sums](const routing::demand_entry& part)
    {
        auto& sum = sums[{part.model, part.adapter}];
        sum.model = part.model;
        sum.adapter = part.adapter;
        add(sum, part);
    };
    std::for_each(own.begin(), own.end(), include);
    for (const auto& [instance, report] : remotes_)
    {
        if (now - report.received_at < report_lifetime)
            std::for_each(
                report.entries.begin(), report.entries.end(), include);
    }
    std::vector<routing::demand_entry> all;
    all.reserve(sums.size());
    for (auto& [key, sum] : sums)
        all.push_back(std::move(sum));
    return all;
}

} // namespace tarragonquay::daemon
