#include "placement/plan_draft.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragonquay::placement
{

namespace
{

/// Cost of a load from the weight store, as a fraction of an engine's capacity:
/// an engine with a local copy is preferred even if it is busier by this much.
constexpr double store_load_cost = 0.25;
/// Costs are rounded down to multiples of this, so that the tightest fit
/// decides between engines of similar cost.
constexpr double cost_step = 0.125;
/// A replica is assumed to serve at least this fraction of an engine's
/// capacity, however busy the engine is.
constexpr double min_capacity_fraction = 0.1;

} // namespace

plan_draft::plan_draft(const cluster_view& view, const planner_limits& limits)
    : view_(view), limits_(limits)
{
    for (std::size_t i = 0; i < view_.models.size(); ++i)
        index_[view_.models[i].id] = i;
    count_replicas();
    compute_engine_loads();
}

// Models on the same engine share its capacity, so a replica adds less capacity
// on a busy engine.
void plan_draft::compute_engine_loads()
{
    const auto counts = [](const replica_view& each)
    { return !each.unloading && (each.ready || each.loading); };
    engine_loads_.assign(view_.engines.size(), 0);
    capacities_.assign(view_.models.size(), 0);
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
        for (std::size_t k = 0; k < models_at_[i].size(); ++k)
            if (models_at_[i][k] != unknown_model &&
                counts(view_.engines[i].replicas[k]))
                engine_loads_[i] += replica_load(models_at_[i][k]);
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
        for (std::size_t k = 0; k < models_at_[i].size(); ++k)
            if (models_at_[i][k] != unknown_model && view_.engines[i].usable &&
                counts(view_.engines[i].replicas[k]))
                capacities_[models_at_[i][k]] +=
                    capacity_at(i, models_at_[i][k]);
}

double plan_draft::replica_load(std::size_t model) const
{
    const auto& totals = counts_[model];
    return view_.models[model].tokens_per_second /
           std::max(1, totals.ready + totals.loading);
}

double plan_draft::load_of_others(std::size_t engine, std::size_t model) const
{
    const auto& held = models_at_[engine];
    const bool holds = std::find(held.begin(), held.end(), model) != held.end();
    return std::max(
        0.0, engine_loads_[engine] - (holds ? replica_load(model) : 0.0));
}

double plan_draft::capacity_at(std::size_t engine, std::size_t model) const
{
    const auto whole = limits_.replica_tokens_per_second;
    return std::max(min_capacity_fraction * whole,
        limits_.add_above * whole - load_of_others(engine, model));
}

void plan_draft::count_replicas()
{
    counts_.resize(view_.models.size());
    for (const auto& engine : view_.engines)
    {
        auto& models = models_at_.emplace_back();
        engine_unknown_ =
            engine_unknown_ || (engine.may_return && memory_of(engine) == 0);
        for (const auto& replica : engine.replicas)
        {
            models.push_back(index_of(replica.model));
            if (models.back() == unknown_model)
                continue;
            auto& totals = counts_[models.back()];
            const auto& version = view_.models[models.back()].version;
            totals.may_return += engine.may_return && replica.ready ? 1 : 0;
            // An unload that was lost at a blocked engine stays open until the
            // engine restarts.
            if (replica.unloading)
                totals.unloading += engine.blocked ? 0 : 1;
            else if (replica.ready && engine.usable)
            {
                ++totals.ready;
                totals.outdated += replica.version != version ? 1 : 0;
            }
            else if (replica.loading && engine.usable)
                ++totals.loading;
        }
        auto& idle = idle_adapter_bytes_.emplace_back(0);
        for (const auto& each : idle_adapters(engine))
            idle += each.demand.bytes;
    }
}

bool plan_draft::may_swap(const model_view& model) const
{
    const bool may_return = engine_unknown_ || count(model.id).may_return > 0;
    return model.waiting > 0 &&
           (!may_return || model.waiting_s >= limits_.return_timeout_s);
}

std::size_t plan_draft::index_of(const model_id& model) const
{
    const auto it = index_.find(model);
    return it == index_.end() ? unknown_model : it->second;
}

std::size_t plan_draft::index_of(const model_view& model) const
{
    return static_cast<std::size_t>(&model - view_.models.data());
}

std::int64_t plan_draft::memory_of(const engine_view& engine)
{
    auto bytes = engine.free_bytes;
    for (const auto& replica : engine.replicas)
        bytes += replica.bytes;
    return bytes;
}

bool plan_draft::all_fit(std::int64_t extra_bytes) const
{
    std::int64_t memory = 0;
    for (const auto& engine : view_.engines)
    {
        const auto bytes = memory_of(engine);
        // An engine that has not reported yet may hold the missing models.
        if (bytes == 0)
            return true;
        memory += bytes;
    }
    std::int64_t needed = extra_bytes;
    for (const auto& model : view_.models)
        needed += model.bytes;
    return needed <= memory;
}

plan_draft::counts plan_draft::count(const model_id& model) const
{
    return counts_[index_.at(model)];
}

const model_view& plan_draft::find(const model_id& model) const
{
    return view_.models.at(index_.at(model));
}

bool plan_draft::may_load() const
{
    return view_.loads_open < limits_.concurrent_loads &&
           view_.loads_allowed > 0;
}

bool plan_draft::may_load(const model_view& model) const
{
    if (may_load())
        return true;
    const auto where = engine_with_room(model);
    return where && view_.engines[*where].local_models.contains(model.id);
}

std::optional<std::size_t> plan_draft::engine_with_room(
    const model_view& model) const
{
    std::optional<std::size_t> best;
    // Prefers idle engines and local copies of the weights. At equal cost, the
    // tightest fit keeps large gaps free for large models.
    const auto cost = [&](std::size_t i)
    {
        const auto& engine = view_.engines[i];
        const auto load = load_of_others(i, index_of(model)) /
                          limits_.replica_tokens_per_second;
        const auto whole =
            load +
            (engine.local_models.contains(model.id) ? 0 : store_load_cost);
        return std::pair(std::floor(whole / cost_step), engine.free_bytes);
    };
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        const auto& engine = view_.engines[i];
        if (!engine.usable || !engine.accepts_command ||
            engine.free_bytes < model.bytes ||
            (best && cost(i) >= cost(*best)) || !may_use(i))
            continue;
        const bool present = std::any_of(engine.replicas.begin(),
            engine.replicas.end(),
            [&](const replica_view& each) { return each.model == model.id; });
        if (!present)
            best = i;
    }
    return best;
}

bool plan_draft::load(const model_view& model)
{
    const auto where = engine_with_room(model);
    if (!where)
        return false;
    auto& engine = view_.engines[*where];
    moves_.push_back({command_kind::load_model, engine.id, model.id, {},
        model.version, model.bytes, false});
    engine.free_bytes -= model.bytes;
    replica_view replica;
    replica.model = model.id;
    replica.version = model.version;
    replica.bytes = model.bytes;
    replica.loading = true;
    engine.replicas.push_back(std::move(replica));
    models_at_[*where].push_back(index_of(model));
    capacities_[index_of(model)] += capacity_at(*where, index_of(model));
    engine_loads_[*where] += replica_load(index_of(model));
    engine.accepts_command = !engine.one_command_at_a_time;
    if (!engine.local_models.contains(model.id))
    {
        ++view_.loads_open;
        --view_.loads_allowed;
    }
    auto& totals = counts_[index_of(model)];
    ++totals.loading;
    totals.non_rotating += rotating_.contains(*where) ? 0 : 1;
    return true;
}

void plan_draft::unload(const eviction& where)
{
    auto& engine = view_.engines[where.engine];
    for (const auto& adapter : where.adapters)
        unload_adapter(engine, adapter);
    for (const auto victim : where.victims)
    {
        if (!engine.accepts_command)
            return;
        auto& replica = engine.replicas[victim];
        engine.accepts_command = !engine.one_command_at_a_time;
        moves_.push_back({command_kind::unload_model, engine.id, replica.model,
            {}, replica.version, replica.bytes, where.swap});
        replica.ready = false;
        replica.unloading = true;
        ++view_.unloads_open;
        const auto model = models_at_[where.engine][victim];
        if (model == unknown_model)
            continue;
        auto& totals = counts_[model];
        --totals.ready;
        ++totals.unloading;
        totals.non_rotating -= rotating_.contains(where.engine) ? 0 : 1;
        totals.outdated -=
            replica.version != view_.models[model].version ? 1 : 0;
    }
}

double plan_draft::throughput(const model_view& model, int replicas) const
{
    return std::min(model.tokens_per_second,
        replicas * limits_.replica_tokens_per_second * limits_.add_above);
}

std::optional<double> plan_draft::removal_loss(std::size_t engine,
    std::size_t replica, const model_view& wanted, bool allow_swap) const
{
    const auto& victim = view_.engines[engine].replicas[replica];
    const auto model = models_at_[engine][replica];
    if (!victim.ready || victim.unloading || model == index_of(wanted))
        return std::nullopt;
    // The victim's model was removed from the configuration.
    if (model == unknown_model)
        return 0;
    const auto& owner = view_.models[model];
    constexpr double gigabyte = 1e9;
    const auto residence_s = limits_.min_residence_s +
                             limits_.residence_s_per_gigabyte *
                                 static_cast<double>(owner.bytes) / gigabyte;
    if (owner.unchanged_s < residence_s)
        return std::nullopt;
    // Any surplus replica is unloaded before a last one.
    constexpr double last_replica_penalty = 1e9;
    const auto remaining = counts_[model].ready - 1;
    if (rolling_out_ && remaining == 0)
        return allow_swap && owner.waiting == 0
                   ? std::optional(
                         last_replica_penalty + owner.tokens_per_second)
                   : std::nullopt;
    // A rollout may also unload a surplus replica that is not idle.
    if (rolling_out_)
        return throughput(owner, remaining + 1) - throughput(owner, remaining);
    if (scarce_)
        return removal_loss_when_scarce(owner, wanted, allow_swap);
    if (limits_.busiest_models_first && count(wanted.id).ready > 0)
        return removal_loss_for_busier(model, wanted);
    if (remaining > 0)
    {
        const auto capacity = capacities_[model];
        const auto without = capacity - capacity_at(engine, model);
        const bool idle = owner.tokens_per_second <=
                          limits_.remove_below / limits_.add_above * without;
        // A model without a replica takes precedence over one with several.
        if (!idle && count(wanted.id).ready > 0)
            return std::nullopt;
        return std::min(owner.tokens_per_second, capacity) -
               std::min(owner.tokens_per_second, without);
    }
    // A last replica is unloaded only for a model whose requests wait longer.
    if (!allow_swap || owner.waiting_s >= wanted.waiting_s)
        return std::nullopt;
    return last_replica_penalty + owner.tokens_per_second;
}

std::optional<plan_draft::eviction> plan_draft::eviction_at(
    std::size_t engine, const model_view& model, bool allow_swap) const
{
    const auto& at = view_.engines[engine];
    if (!at.usable || !at.accepts_command || !may_use(engine))
        return std::nullopt;
    if (!at.adapters_unloading.empty())
        return std::nullopt;
    const auto wanted = index_of(model);
    for (std::size_t i = 0; i < at.replicas.size(); ++i)
        if (models_at_[engine][i] == wanted || at.replicas[i].unloading)
            return std::nullopt;
    eviction out;
    out.engine = engine;
    auto free = at.free_bytes;
    if (idle_adapter_bytes_[engine] > 0)
        for (auto& adapter : idle_adapters(at))
        {
            if (free >= model.bytes)
                break;
            free += adapter.demand.bytes;
            out.adapters.push_back(std::move(adapter));
        }
    std::vector<std::pair<double, std::size_t>> options;
    for (std::size_t i = 0; i < at.replicas.size(); ++i)
        if (const auto loss = removal_loss(engine, i, model, allow_swap))
            options.emplace_back(*loss, i);
    std::sort(options.begin(), options.end(),
        [&at](const auto& a, const auto& b)
        {
            return std::tie(a.first, at.replicas[a.second].model) <
                   std::tie(b.first, at.replicas[b.second].model);
        });
    for (const auto& [loss, index] : options)
    {
        if (free >= model.bytes)
            break;
        const auto& victim = at.replicas[index];
        free += victim.bytes;
        out.victims.push_back(index);
        out.loss += loss;
        const auto owner = models_at_[engine][index];
        out.swap =
            out.swap || (owner != unknown_model && counts_[owner].ready <= 1);
    }
    if (free < model.bytes || (out.victims.empty() && out.adapters.empty()))
        return std::nullopt;
    return out;
}

std::optional<plan_draft::eviction> plan_draft::cheapest_eviction(
    const model_view& model, bool allow_swap) const
{
    std::optional<eviction> best;
    double best_load = 0;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        auto option = eviction_at(i, model, allow_swap);
        if (!option)
            continue;
        const auto load = load_of_others(i, index_of(model));
        if (!best ||
            std::tie(option->loss, load) < std::tie(best->loss, best_load))
        {
            best = std::move(option);
            best_load = load;
        }
    }
    return best;
}

} // namespace tarragonquay::placement
