#include "dispatch/limit_share.hpp"

#include <algorithm>
#include <cmath>

#include "common/digest.hpp"

namespace tarragonquay::dispatch
{

namespace
{

/// Requests in 4 s that the platform allows beyond 1.5 times the limit.
constexpr std::size_t allowed_slack = 5;
/// Left in a larger fleet, where one holder replaces another.
constexpr std::size_t free_places = 2;
/// More holders than instances in the largest fleet change nothing.
constexpr double max_rate = 100'000;

duration interval(double rate)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / rate));
}

} // namespace

std::size_t limit_holders(double requests_per_second, std::size_t serving)
{
    const auto places =
        allowed_slack +
        static_cast<std::size_t>(2 * std::min(requests_per_second, max_rate));
    return serving <= places ? serving : places - free_places;
}

std::optional<std::size_t> limit_share_rank(const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    double requests_per_second)
{
    if (std::find(serving.begin(), serving.end(), self) == serving.end())
        return std::nullopt;
    const auto seed = fast_hash(endpoint.str());
    const auto order = [seed](const instance_id& each)
    { return std::pair(fast_hash(each.str(), seed), each); };
    const auto own = order(self);
    const auto rank =
        static_cast<std::size_t>(std::count_if(serving.begin(), serving.end(),
            [&](const instance_id& each) { return order(each) < own; }));
    return rank < limit_holders(requests_per_second, serving.size())
               ? std::optional(rank)
               : std::nullopt;
}

void limit_share::set(double requests_per_second, const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    time_point now)
{
    const bool begins = !limited_;
    const bool held = rate_.has_value();
    limited_ = true;
    fleet_rate_ = std::clamp(requests_per_second, min_rate, max_rate);
    rate_.reset();
    const auto rank = limit_share_rank(self, serving, endpoint, fleet_rate_);
    if (!rank)
        return;
    rate_ = fleet_rate_ /
            static_cast<double>(limit_holders(fleet_rate_, serving.size()));
    if (held)
        return;
    due_at_ = now + *rank * interval(fleet_rate_);
    if (!begins)
        due_at_ += handover_time;
}

time_point limit_share::next_place() const
{
    const auto own_interval = interval(*rate_);
    return due_at_ - std::max(duration::zero(), max_burst - own_interval);
}

time_point limit_share::next_place(time_point now) const
{
    if (!limited_)
        return now;
    if (!rate_)
        return now + interval(fleet_rate_);
    return std::max(now, next_place());
}

void limit_share::take(time_point now)
{
    if (!rate_)
        return;
    due_at_ = std::max(now, due_at_) + interval(*rate_);
}

} // namespace tarragonquay::dispatch
