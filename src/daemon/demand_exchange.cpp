#include "daemon/demand_exchange.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace tarragonquay::daemon
{

namespace
{

// Reports come each second; an instance that sent none for this long has
// stopped or is cut off.
constexpr std::chrono::seconds report_lifetime{5};

// Limits on the entries of a report and on the instances whose reports are
// kept: ten times the models and twice the instances of the design target.
constexpr int max_entries = 10'000;
constexpr std::size_t max_instances = 1500;
// Larger values are corrupt: a process that counts 20,000 tokens per second
// reaches this value after 1,500 years. The sum over all instances fits into
// 64 bits.
constexpr std::int64_t max_value = 1'000'000'000'000'000;
// Longer than any deadline of a request.
constexpr std::int64_t max_waited_ms = 24LL * 3600 * 1000;

bool in_range(const peer::Model_demand& item)
{
    const auto within = [](std::int64_t value, std::int64_t limit)
    { return value >= 0 && value <= limit; };
    // A NaN rate fails both comparisons.
    return !item.model().empty() && within(item.tokens(), max_value) &&
           within(item.waiting(), max_value) &&
           within(item.waited_ms(), max_waited_ms) &&
           item.tokens_per_second() >= 0 &&
           item.tokens_per_second() <= static_cast<double>(max_value);
}

// A report must contain each pair of model and adapter once, so that sums stay
// in range.
bool has_repeated_entries(const peer::Demand_report& report)
{
    std::set<std::pair<std::string, std::string>> seen;
    return !std::all_of(report.entries().begin(), report.entries().end(),
        [&](const peer::Model_demand& item)
        { return seen.emplace(item.model(), item.adapter()).second; });
}

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

result<void> demand_exchange::receive(
    const instance_id& from, const peer::Demand_report& report, time_point now)
{
    if (report.entries_size() > max_entries)
        return fail(error_code::payload_too_large,
            fmt::format("a demand report has {} entries, more than {}",
                report.entries_size(), max_entries));
    if (!std::all_of(
            report.entries().begin(), report.entries().end(), in_range) ||
        has_repeated_entries(report))
        return fail(error_code::malformed_message,
            "a demand report has values out of range or repeated entries");
    // Expired reports are dropped, since replaced instances never report
    // again.
    std::erase_if(reports_, [now](const auto& entry)
        { return now - entry.second.received_at >= report_lifetime; });
    if (reports_.size() >= max_instances && !reports_.contains(from))
        return fail(error_code::payload_too_large,
            fmt::format("more than {} instances report demand", max_instances));
    received_report fresh;
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
    reports_[from] = std::move(fresh);
    return {};
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
    for (const auto& [instance, report] : reports_)
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
