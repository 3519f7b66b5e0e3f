#include "placement/plan_draft.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragonquay::placement
{

std::int64_t plan_draft::choose_rotating_engines()
{
    std::int64_t memory = 0;
    for (const auto& engine : view_.engines)
        memory += engine.usable ? memory_of(engine) : 0;
    // Whole engines, so that a large model fits on one of them.
    auto wanted = limits_.rotating_fraction * static_cast<double>(memory);
    for (auto i = view_.engines.size(); i-- > 0 && wanted > 0;)
    {
        // A blocked engine accepts no commands, so models can't be exchanged.
        if (!view_.engines[i].usable || view_.engines[i].blocked)
            continue;
        const auto bytes = memory_of(view_.engines[i]);
        rotating_.insert(i);
        memory -= bytes;
        wanted -= static_cast<double>(bytes);
    }
    return memory;
}

void plan_draft::count_non_rotating()
{
    for (auto& totals : counts_)
        totals.non_rotating = 0;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        const auto& engine = view_.engines[i];
        if (!engine.usable || rotating_.contains(i))
            continue;
        for (std::size_t k = 0; k < engine.replicas.size(); ++k)
        {
            const auto& replica = engine.replicas[k];
            const auto model = models_at_[i][k];
            const bool counted = model != unknown_model && !replica.unloading &&
                                 (replica.ready || replica.loading);
            if (counted)
                ++counts_[model].non_rotating;
        }
    }
}

int plan_draft::non_rotating_replicas(const model_id& model) const
{
    return count(model).non_rotating;
}

int plan_draft::replicas_to_keep(const model_view& model, int have) const
{
    const auto load =
        model.tokens_per_second / limits_.replica_tokens_per_second;
    const auto needed =
        std::max(1, static_cast<int>(std::ceil(load / limits_.keep_above)));
    // The gap between `keep_below` and `keep_above` provides hysteresis.
    return needed < have && load > (have - 1) * limits_.keep_below ? have
                                                                   : needed;
}

void plan_draft::choose_kept_models(std::int64_t memory)
{
    struct candidate
    {
        model_id model;
        int replicas = 0;
        std::int64_t bytes = 0;
        double value = 0;
    };
    std::vector<candidate> candidates;
    for (const auto& model : view_.models)
    {
        const auto have = non_rotating_replicas(model.id);
        const auto replicas = replicas_to_keep(model, have);
        const auto bytes = replicas * model.bytes;
        const auto weight = have > 0 ? limits_.keep_preference : 1;
        const auto value = weight * model.tokens_per_second /
                           std::max(1.0, static_cast<double>(bytes));
        candidates.push_back({model.id, replicas, bytes, value});
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const candidate& a, const candidate& b)
        { return a.value > b.value; });
    for (const auto& each : candidates)
    {
        if (each.bytes > memory || each.value <= 0)
            continue;
        memory -= each.bytes;
        kept_[each.model] = each.replicas;
    }
}

bool plan_draft::lacks_kept(const model_id& model) const
{
    const auto it = kept_.find(model);
    return it != kept_.end() && non_rotating_replicas(model) < it->second;
}

bool plan_draft::may_use(std::size_t engine) const
{
    return !scarce_ || rolling_out_ ||
           rotating_.contains(engine) != loading_kept_;
}

void plan_draft::keep_demanded_models()
{
    scarce_ = !all_fit(0);
    if (!scarce_)
        return;
    const auto memory = choose_rotating_engines();
    count_non_rotating();
    choose_kept_models(memory);
    std::vector<const model_view*> wanted;
    for (const auto& model : view_.models)
        if (lacks_kept(model.id))
            wanted.push_back(&model);
    std::stable_sort(wanted.begin(), wanted.end(),
        [](const model_view* a, const model_view* b)
        { return a->tokens_per_second > b->tokens_per_second; });
    loading_kept_ = true;
    for (const auto* model : wanted)
    {
        if (engine_with_room(*model))
        {
            if (may_load(*model))
                load(*model);
            continue;
        }
        if (view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        if (const auto where = cheapest_eviction(*model, may_swap(*model)))
            unload(*where);
    }
    loading_kept_ = false;
}

std::optional<double> plan_draft::removal_loss_when_scarce(
    const model_view& owner, const model_view& wanted, bool allow_swap) const
{
    const auto kept = kept_.find(owner.id);
    if (loading_kept_ && kept != kept_.end() &&
        non_rotating_replicas(owner.id) <= kept->second)
        return std::nullopt;
    if (count(owner.id).ready > 1)
        return 0;
    if (!allow_swap || (!loading_kept_ && owner.waiting_s >= wanted.waiting_s))
        return std::nullopt;
    return owner.tokens_per_second;
}

bool plan_draft::rollout_in_progress() const
{
    return std::any_of(counts_.begin(), counts_.end(),
        [](const counts& totals)
        { return totals.outdated > 0 && totals.loading > 0; });
}

void plan_draft::roll_out_versions()
{
    rolling_out_ = true;
    for (const auto& model : view_.models)
    {
        const auto have = count(model.id);
        if (have.outdated == 0 || have.loading > 0 || have.unloading > 0)
            continue;
        const auto current = have.ready - have.outdated;
        // While there is free memory, a busy model gets as many new replicas as
        // it has old ones.
        const bool needs_more =
            current == 0 ||
            (current < have.outdated && throughput(model, have.ready - 1) <
                                            throughput(model, have.ready));
        if (needs_more && engine_with_room(model))
        {
            // One rollout at a time, so that waiting models can load too.
            if (may_load(model) && !rollout_in_progress())
                load(model);
            continue;
        }
        // Unload one of several old replicas to free memory for the new
        // version.
        if (current > 0 || have.outdated > 1)
        {
            unload_outdated(model);
            continue;
        }
        if (view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        // The last replica of another model is unloaded only when both versions
        // do not fit together with all other models.
        if (const auto where = cheapest_eviction(model, !all_fit(model.bytes)))
            unload(*where);
    }
    rolling_out_ = false;
}

void plan_draft::unload_outdated(const model_view& model)
{
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        const auto& engine = view_.engines[i];
        if (!engine.usable || !engine.accepts_command)
            continue;
        for (std::size_t k = 0; k < engine.replicas.size(); ++k)
        {
            const auto& replica = engine.replicas[k];
            if (replica.model != model.id || !replica.ready ||
                replica.unloading || replica.version == model.version)
                continue;
            eviction where;
            where.engine = i;
            where.victims = {k};
            return unload(where);
        }
    }
}

std::vector<const model_view*> plan_draft::missing_models(
    missing_kind kind) const
{
    std::vector<const model_view*> out;
    for (const auto& model : view_.models)
    {
        const auto have = count(model.id);
        const bool wanted = kind == missing_kind::all || model.waiting > 0;
        if (wanted && have.ready + have.loading == 0)
            out.push_back(&model);
    }
    // The longest wait first, so that no model starves.
    std::stable_sort(out.begin(), out.end(),
        [](const model_view* a, const model_view* b)
        {
            return std::tie(a->waiting_s, a->tokens_per_second) >
                   std::tie(b->waiting_s, b->tokens_per_second);
        });
    return out;
}

void plan_draft::load_missing_models(bool make_room, missing_kind kind)
{
    // Memory that is being freed is reserved for the first models in the list.
    auto being_freed = view_.unloads_open;
    for (const auto* model : missing_models(kind))
    {
        if (engine_with_room(*model))
        {
            if (may_load(*model))
                load(*model);
            continue;
        }
        if (!make_room || being_freed-- > 0 ||
            view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        if (const auto where = cheapest_eviction(*model, may_swap(*model)))
            unload(*where);
        // Smaller models further down the list would use up the memory that
        // this model needs.
        if (scarce_ && model->waiting > 0)
            return;
    }
}

} // namespace tarragonquay::placement
