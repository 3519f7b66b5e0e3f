// The additional replicas of models that have one already: which model gets the
// next one, and whose replica is unloaded for it.
#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/plan_draft.hpp"

namespace tarragonquay::placement
{

double plan_draft::gain_of_replica(const model_view& model) const
{
    const auto have = count(model.id);
    // Wait for the effect of replicas that are loading.
    const auto by_demand = limits_.loading_replicas_by_demand *
                           model.tokens_per_second /
                           limits_.replica_tokens_per_second;
    const auto max_loading = std::max<std::int64_t>(
        limits_.max_loading_replicas, std::llround(by_demand));
    if (have.ready == 0 || have.loading >= max_loading)
        return 0;
    const auto capacity = capacities_[index_of(model)];
    const auto added_capacity =
        limits_.add_above * limits_.replica_tokens_per_second;
    return std::min(model.tokens_per_second, capacity + added_capacity) -
           std::min(model.tokens_per_second, capacity);
}

void plan_draft::add_replicas()
{
    if (scarce_)
        return;
    if (limits_.busiest_models_first)
        return relieve_busiest_models();
    constexpr double gigabyte = 1e9;
    std::vector<std::pair<double, const model_view*>> candidates;
    for (const auto& model : view_.models)
    {
        const auto gain = gain_of_replica(model);
        const auto size = static_cast<double>(model.bytes) / gigabyte;
        if (gain > size * limits_.min_gain_per_gigabyte)
            candidates.emplace_back(gain / std::max(size, 1e-9), &model);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [gain_per_byte, model] : candidates)
    {
        if (!may_load(*model) && !may_load())
            continue;
        if (load(*model))
            continue;
        // The next load is kept for this model, which waits for room. Otherwise
        // models with less to gain would use up the rate meanwhile.
        --view_.loads_allowed;
        if (view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        const auto where = cheapest_eviction(*model, false);
        if (where && where->loss < gain_of_replica(*model))
            unload(*where);
    }
}

double plan_draft::demand_per_replica(std::size_t model) const
{
    const auto& totals = counts_[model];
    return view_.models[model].tokens_per_second /
           std::max(1, totals.ready + totals.loading);
}

std::optional<double> plan_draft::removal_loss_for_busier(
    std::size_t owner, const model_view& wanted) const
{
    const auto& model = view_.models[owner];
    const auto needed = demand_per_replica(index_of(wanted));
    const auto remaining = counts_[owner].ready - 1;
    if (remaining > 0)
    {
        const auto left = model.tokens_per_second / remaining;
        return left <= limits_.eviction_hysteresis * needed
                   ? std::optional(left)
                   : std::nullopt;
    }
    // A load takes longer than most callers wait, so the last replica is kept
    // for any demand.
    const bool overloaded =
        needed > limits_.add_above * limits_.replica_tokens_per_second;
    return overloaded && model.waiting == 0 &&
                   model.tokens_per_second < limits_.idle_below
               ? std::optional(needed)
               : std::nullopt;
}

void plan_draft::relieve_busiest_models()
{
    std::vector<const model_view*> candidates;
    constexpr double gigabyte = 1e9;
    const auto needs_replica = [&](const model_view& model)
    {
        const auto size = static_cast<double>(model.bytes) / gigabyte;
        return gain_of_replica(model) > size * limits_.min_gain_per_gigabyte;
    };
    for (const auto& model : view_.models)
        if (needs_replica(model))
            candidates.push_back(&model);
    const auto less_busy = [&](const model_view* a, const model_view* b) {
        return demand_per_replica(index_of(*a)) <
               demand_per_replica(index_of(*b));
    };
    std::make_heap(candidates.begin(), candidates.end(), less_busy);
    while (!candidates.empty())
    {
        std::pop_heap(candidates.begin(), candidates.end(), less_busy);
        const auto& model = *candidates.back();
        candidates.pop_back();
        if (!may_load(model) && !may_load())
        {
            overload_left_ = true;
            continue;
        }
        if (load(model))
        {
            if (!needs_replica(model))
                continue;
            candidates.push_back(&model);
            std::push_heap(candidates.begin(), candidates.end(), less_busy);
            continue;
        }
        overload_left_ = true;
        // The next load is kept for this model, which waits for room.
        --view_.loads_allowed;
        if (view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        if (const auto where = cheapest_eviction(model, false))
            unload(*where);
    }
}

} // namespace tarragonquay::placement
