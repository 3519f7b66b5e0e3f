#include "limits/recent_units.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonquay::limits
{

double& recent_units::slot(time_point now)
{
    const auto current = std::max(index(now), latest_);
    for (auto next = std::max(latest_ + 1, current - slots + 1);
         next <= current; ++next)
        units_[static_cast<std::size_t>(next % slots)] = 0;
    latest_ = current;
    return units_[static_cast<std::size_t>(current % slots)];
}

double recent_units::at(std::int64_t age, std::int64_t current) const
{
    const auto wanted = current - age;
    if (wanted > latest_ || wanted <= latest_ - slots || wanted < 0)
        return 0;
    return units_[static_cast<std::size_t>(wanted % slots)];
}

double recent_units::sum(
    std::int64_t from, std::int64_t to, time_point now) const
{
    const auto current = std::max(index(now), latest_);
    double out = 0;
    for (auto age = from; age < to; ++age)
        out += at(age, current);
    return out;
}

double recent_units::average(
    std::int64_t from, double time_constant_s, time_point now) const
{
    const auto current = std::max(index(now), latest_);
    const auto slot_s = std::chrono::duration<double>(slot_time).count();
    const auto decay = std::exp(-slot_s / time_constant_s);
    double out = 0;
    double weight = 1 - decay;
    for (auto age = from; age < slots; ++age, weight *= decay)
        out += weight * at(age, current);
    return out / slot_s;
}

} // namespace tarragonquay::limits
