#pragma once

#include <string>
#include <utility>
#include <vector>

#include "common/error.hpp"

namespace tarragonquay::experiment
{

/// Figures of an experiment; one row for each policy.
struct table
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    bool operator==(const table&) const = default;
};

std::string as_text(const table& value);
std::string as_json(const table& value);

/// Collects one figure over several seeds.
class figure
{
public:
    void add(double value) { values_.push_back(value); }
    /// Mean and, in brackets, the lowest and the highest value.
    std::string text(int decimals) const;
    double mean() const;

private:
    std::vector<double> values_;
};

/// What all experiments have in common.
struct options
{
    std::vector<unsigned> seeds{1, 2, 3};
    /// Simulated time.
    double seconds = 120;
};

} // namespace tarragonquay::experiment
