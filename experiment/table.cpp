#include "experiment/table.hpp"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace tarragonquay::experiment
{

std::string as_text(const table& value)
{
    std::vector<std::size_t> widths;
    for (const auto& column : value.columns)
        widths.push_back(column.size());
    for (const auto& row : value.rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths.at(i) = std::max(widths.at(i), row[i].size());
    const auto line = [&](const std::vector<std::string>& cells)
    {
        std::string out;
        for (std::size_t i = 0; i < cells.size(); ++i)
            out += fmt::format("{:<{}}  ", cells[i], widths.at(i));
        out.erase(out.find_last_not_of(' ') + 1);
        return out + "\n";
    };
    auto out = value.title + "\n" + line(value.columns);
    for (const auto& row : value.rows)
        out += line(row);
    return out;
}

std::string as_json(const table& value)
{
    nlohmann::json out{
        {"title", value.title}, {"rows", nlohmann::json::array()}};
    for (const auto& row : value.rows)
    {
        nlohmann::json cells;
        for (std::size_t i = 0; i < row.size(); ++i)
            cells[value.columns.at(i)] = row[i];
        out["rows"].push_back(std::move(cells));
    }
    return out.dump(2) + "\n";
}

double figure::mean() const
{
    return values_.empty()
               ? 0
               : std::accumulate(values_.begin(), values_.end(), 0.0) /
                     static_cast<double>(values_.size());
}

std::string figure::text(int decimals) const
{
    if (values_.empty())
        return "-";
    const auto [low, high] =
        std::minmax_element(values_.begin(), values_.end());
    return fmt::format("{:.{}f} ({:.{}f}..{:.{}f})", mean(), decimals, *low,
        decimals, *high, decimals);
}

} // namespace tarragonquay::experiment
