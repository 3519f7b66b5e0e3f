#include "dispatch/limit_share.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "common/digest.hpp"

namespace tarragonquay::dispatch
{

namespace
{

/// More holders than instances in the largest fleet change nothing.
constexpr double max_rate = 100'000;

duration interval(double rate)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / rate));
}

double effective_rate(double requests_per_second)
{
    return std::clamp(requests_per_second, limit_share::min_rate, max_rate);
}

} // namespace

std::size_t limit_holders(
    double requests_per_second, std::size_t serving, const request_bound& bound)
{
    const auto places = static_cast<std::size_t>(
        std::max(1.0, bound.excess(std::min(requests_per_second, max_rate))));
    if (serving <= places)
        return serving;
    return std::max<std::size_t>(
        1, places - std::min(places, bound.free_places));
}

std::optional<std::size_t> limit_share_rank(const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    double requests_per_second, const request_bound& bound)
{
    if (std::find(serving.begin(), serving.end(), self) == serving.end())
        return std::nullopt;
    const auto seed = fast_hash(endpoint.str());
    const auto own = fast_hash(self.str(), seed);
    const auto is_before_self = [&](const instance_id& each)
    {
        const auto hash = fast_hash(each.str(), seed);
        return hash < own || (hash == own && each < self);
    };
    const auto rank = static_cast<std::size_t>(
        std::count_if(serving.begin(), serving.end(), is_before_self));
    return rank < limit_holders(requests_per_second, serving.size(), bound)
               ? std::optional(rank)
               : std::nullopt;
}

std::optional<share_part> find_share_part(const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    double requests_per_second, const request_bound& bound)
{
    const auto rate = effective_rate(requests_per_second);
    const auto rank = limit_share_rank(self, serving, endpoint, rate, bound);
    if (!rank)
        return std::nullopt;
    const auto holders = limit_holders(rate, serving.size(), bound);
    const auto fleet = bound.sustainable_rate(rate, holders);
    if (fleet <= 0)
        return std::nullopt;
    return share_part{*rank, fleet / static_cast<double>(holders)};
}

void limit_share::set(double requests_per_second, const instance_id& self,
    const std::vector<instance_id>& serving, const endpoint_id& endpoint,
    time_point now)
{
    const bool begins = !limited_;
    const bool held = rate_.has_value();
    limited_ = true;
    fleet_rate_ = effective_rate(requests_per_second);
    rate_.reset();
    const auto part =
        find_share_part(self, serving, endpoint, fleet_rate_, bound_);
    if (!part)
        return;
    rate_ = part->requests_per_second;
    if (held)
        return;
    due_at_ = now + part->rank * interval(fleet_rate_);
    if (!begins)
        due_at_ += handover_time;
}

void limit_share::set_part(double requests_per_second,
    const std::optional<share_part>& part, time_point now)
{
    const bool held = rate_.has_value();
    limited_ = true;
    fleet_rate_ = effective_rate(requests_per_second);
    rate_.reset();
    if (!part)
        return;
    rate_ = part->requests_per_second;
    if (!held)
        due_at_ =
            std::max(due_at_, now + static_cast<duration::rep>(part->rank) *
                                        interval(fleet_rate_));
}

time_point limit_share::next_place() const
{
    const auto own_interval = interval(*rate_);
    return due_at_ -
           std::max(duration::zero(), bound_.max_burst() - own_interval);
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
