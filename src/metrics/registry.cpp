#include "metrics/registry.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace tarragonquay::metrics
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.95, 0.99};

using distribution = acc::accumulator_set<double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
        acc::tag::extended_p_square>>;

using series = std::pair<std::string, labels>;

std::string escape(const std::string& value)
{
    std::string escaped;
    for (const char character : value)
    {
        if (character == '\n')
            escaped += "\\n";
        else if (character == '"' || character == '\\')
            escaped += {'\\', character};
        else
            escaped += character;
    }
    return escaped;
}

std::string format_labels(const labels& label_set)
{
    if (label_set.empty())
        return {};
    std::string text;
    for (const auto& [name, value] : label_set)
    {
        text += fmt::format(
            "{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value));
    }
    return "{" + text + "}";
}

void append_distribution(
    std::string& text, const series& key, const distribution& values)
{
    const auto& [name, label_set] = key;
    for (std::size_t i = 0; i < quantiles.size(); ++i)
    {
        auto with_quantile = label_set;
        with_quantile["quantile"] = fmt::format("{}", quantiles[i]);
        text += fmt::format("{}{} {}\n", name, format_labels(with_quantile),
            acc::extended_p_square(values)[i]);
    }
    const auto suffix = format_labels(label_set);
    text += fmt::format("{}_sum{} {}\n", name, suffix, acc::sum(values));
    text += fmt::format("{}_count{} {}\n", name, suffix, acc::count(values));
    text += fmt::format("{}_max{} {}\n", name, suffix, acc::max(values));
}

// Writes one TYPE line before the first series of each name.
void append_type(std::string& text, std::string& last_name,
    const std::string& name, const char* type)
{
    if (name == last_name)
        return;
    text += fmt::format("# TYPE {} {}\n", name, type);
    last_name = name;
}

} // namespace

class registry::implementation
{
public:
    mutable std::mutex mutex;
    std::map<series, double> counters;
    std::map<series, double> gauges;
    std::map<series, distribution> distributions;
};

registry::registry() : implementation_(std::make_unique<implementation>()) {}

registry::~registry() = default;

void registry::add(
    const std::string& name, const labels& label_set, double amount)
{
    const std::lock_guard lock(implementation_->mutex);
    implementation_->counters[{name, label_set}] += amount;
}

void registry::set(
    const std::string& name, const labels& label_set, double value)
{
    const std::lock_guard lock(implementation_->mutex);
    implementation_->gauges[{name, label_set}] = value;
}

void registry::observe(
    const std::string& name, const labels& label_set, double value)
{
    const std::lock_guard lock(implementation_->mutex);
    auto& distributions = implementation_->distributions;
    auto it = distributions.find({name, label_set});
    if (it == distributions.end())
    {
        const std::vector<double> probabilities(
            quantiles.begin(), quantiles.end());
        it = distributions
                 .emplace(series{name, label_set},
                     distribution(
                         acc::extended_p_square_probabilities = probabilities))
                 .first;
    }
    it->second(value);
}

std::string registry::prometheus_text() const
{
    const std::lock_guard lock(implementation_->mutex);
    std::string text;
    std::string last_name;
    for (const auto& [key, value] : implementation_->counters)
    {
        append_type(text, last_name, key.first, "counter");
        text += fmt::format(
            "{}{} {}\n", key.first, format_labels(key.second), value);
    }
    for (const auto& [key, value] : implementation_->gauges)
    {
        append_type(text, last_name, key.first, "gauge");
        text += fmt::format(
            "{}{} {}\n", key.first, format_labels(key.second), value);
    }
    for (const auto& [key, values] : implementation_->distributions)
    {
        append_type(text, last_name, key.first, "summary");
        append_distribution(text, key, values);
    }
    return text;
}

} // namespace tarragonquay::metrics
