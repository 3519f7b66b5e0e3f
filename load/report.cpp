#include "load/report.hpp"

#include <algorithm>
#include <numeric>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace tarragonquay::load
{
namespace
{

using json = nlohmann::json;
namespace histogram = boost::histogram;

// Bounds of the requirement: first token and mean time between tokens.
constexpr double first_token_bound_ms = 1000;
constexpr double between_tokens_bound_ms = 33;

/// Bins that are about 2% wide, from 0.1 ms to 1000 s.
class latency_histogram
{
public:
    void add(double milliseconds)
    {
        bins_(std::max(milliseconds, lowest_ms));
        highest_ = std::max(highest_, milliseconds);
        ++count_;
    }

    /// Upper edge of the bin that holds the quantile.
    double quantile(double share) const
    {
        const double wanted = share * static_cast<double>(count_);
        double seen = 0;
        for (const auto& bin : histogram::indexed(bins_))
        {
            seen += static_cast<double>(*bin);
            if (seen >= wanted && seen > 0)
                return std::min(bin.bin().upper(), highest_);
        }
        return highest_;
    }

    json to_json() const
    {
        return {{"count", count_}, {"p50_ms", quantile(0.5)},
            {"p95_ms", quantile(0.95)}, {"p99_ms", quantile(0.99)},
            {"highest_ms", highest_}};
    }

private:
    static constexpr double lowest_ms = 0.1;
    static constexpr double upper_ms = 1e6;
    using axis =
        histogram::axis::regular<double, histogram::axis::transform::log>;

    decltype(histogram::make_histogram(std::declval<axis>())) bins_ =
        histogram::make_histogram(axis(800, lowest_ms, upper_ms));
    std::int64_t count_ = 0;
    double highest_ = 0;
};

bool attained(const outcome& one)
{
    if (!one.complete || one.first_token_ms > first_token_bound_ms)
        return false;
    const double sum =
        std::accumulate(one.gaps_ms.begin(), one.gaps_ms.end(), 0.0);
    return one.gaps_ms.empty() ||
           sum / static_cast<double>(one.gaps_ms.size()) <=
               between_tokens_bound_ms;
}

} // namespace

struct report::figures
{
    std::int64_t sent = 0;
    std::int64_t complete = 0;
    std::int64_t completions = 0;
    std::int64_t attained = 0;
    std::int64_t orders = 0;
    std::int64_t not_sent = 0;
    std::int64_t tokens = 0;
    std::map<std::string, std::int64_t> not_run;
    std::map<std::string, std::int64_t> failed;
    latency_histogram first_token;
    latency_histogram between_tokens;
    latency_histogram total;
};

report::report() = default;
report::~report() = default;

report::figures& report::of(const std::string& workspace)
{
    auto& entry = by_workspace_[workspace];
    if (!entry)
        entry = std::make_unique<figures>();
    return *entry;
}

void report::add_not_sent(const std::string& workspace)
{
    ++of(workspace).not_sent;
}

void report::add(const std::string& workspace, const outcome& one)
{
    auto& figures = of(workspace);
    ++figures.sent;
    ++(one.order ? figures.orders : figures.completions);
    figures.tokens += one.tokens;
    if (!one.complete)
    {
        ++(one.not_run ? figures.not_run : figures.failed)[one.code];
        return;
    }
    ++figures.complete;
    figures.total.add(one.total_ms);
    if (one.order)
        return;
    figures.attained += attained(one) ? 1 : 0;
    figures.first_token.add(one.first_token_ms);
    for (const double gap : one.gaps_ms)
        figures.between_tokens.add(gap);
}

json report::to_json(double seconds, int accelerators) const
{
    json workspaces = json::object();
    double worst = 1;
    std::int64_t all_attained = 0;
    for (const auto& [name, figures] : by_workspace_)
    {
        const double attainment =
            figures->completions == 0
                ? 0
                : static_cast<double>(figures->attained) /
                      static_cast<double>(figures->completions);
        if (figures->completions > 0)
            worst = std::min(worst, attainment);
        all_attained += figures->attained;
        workspaces[name] = {{"sent", figures->sent},
            {"complete", figures->complete}, {"orders", figures->orders},
            {"not_sent", figures->not_sent}, {"tokens", figures->tokens},
            {"attainment", attainment}, {"refused_not_run", figures->not_run},
            {"failed", figures->failed},
            {"first_token", figures->first_token.to_json()},
            {"between_tokens", figures->between_tokens.to_json()},
            {"total", figures->total.to_json()}};
    }
    const double per_accelerator = static_cast<double>(all_attained) /
                                   (seconds * std::max(1, accelerators));
    return {{"seconds", seconds}, {"accelerators", accelerators},
        {"attained_per_accelerator_second", per_accelerator},
        {"worst_attainment", worst}, {"workspaces", workspaces}};
}

std::string report::to_text(const json& report)
{
    std::string text =
        fmt::format("{:<14}{:>7}{:>9}{:>8}{:>8}{:>11}{:>11}{:>11}{:>11}\n",
            "workspace", "sent", "complete", "tokens", "attain", "first p95",
            "gap p95", "total p50", "total p95");
    const auto ms = [](const json& figures, const char* key)
    { return fmt::format("{:.1f}ms", figures.at(key).get<double>()); };
    for (const auto& [name, one] : report.at("workspaces").items())
    {
        text += fmt::format(
            "{:<14}{:>7}{:>9}{:>8}{:>7.1f}%{:>11}{:>11}{:>11}{:>11}\n", name,
            one.at("sent").get<std::int64_t>(),
            one.at("complete").get<std::int64_t>(),
            one.at("tokens").get<std::int64_t>(),
            100 * one.at("attainment").get<double>(),
            ms(one.at("first_token"), "p95_ms"),
            ms(one.at("between_tokens"), "p95_ms"),
            ms(one.at("total"), "p50_ms"), ms(one.at("total"), "p95_ms"));
        for (const char* kind : {"refused_not_run", "failed"})
            for (const auto& [code, count] : one.at(kind).items())
                text += fmt::format(
                    "  {} {}: {}\n", kind, code, count.get<std::int64_t>());
        if (one.at("not_sent").get<std::int64_t>() > 0)
            text += fmt::format("  not sent, too many in flight: {}\n",
                one.at("not_sent").get<std::int64_t>());
    }
    text += fmt::format("attained per accelerator and second: {:.2f}, worst "
                        "workspace: {:.1f}%\n",
        report.at("attained_per_accelerator_second").get<double>(),
        100 * report.at("worst_attainment").get<double>());
    return text;
}

} // namespace tarragonquay::load
