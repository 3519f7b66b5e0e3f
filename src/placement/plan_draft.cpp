#include "placement/plan_draft.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragonquay::placement
{

plan_draft::plan_draft(const cluster_view& view, const planner_limits& limits)
    : view_(view), limits_(limits)
{
    for (std::size_t i = 0; i < view_.models.size(); ++i)
        index_[view_.models[i].id] = i;
    count_replicas();
}

void plan_draft::count_replicas()
{
    counts_.resize(view_.models.size());
    for (const auto& engine : view_.engines)
    {
        auto& models = models_at_.emplace_back();
        engine_unknown_ =
            engine_unknown_ || (engine.may_return && size_of(engine) == 0);
        for (const auto& replica : engine.replicas)
        {
            models.push_back(index_of(replica.model));
            if (models.back() == unknown_model)
                continue;
            auto& of = counts_[models.back()];
            const auto& version = view_.models[models.back()].version;
            of.away += engine.may_return && replica.ready ? 1 : 0;
            // An unload that was lost at a blocked engine never ends.
            if (replica.going)
                of.going += engine.blocked ? 0 : 1;
            else if (replica.ready && engine.usable)
            {
                ++of.ready;
                of.outdated += replica.version != version ? 1 : 0;
            }
            else if (replica.coming && engine.usable)
                ++of.coming;
        }
        auto& idle = idle_adapter_bytes_.emplace_back(0);
        for (const auto& each : idle_adapters(engine))
            idle += each.demand.bytes;
    }
}

bool plan_draft::may_swap(const model_view& model) const
{
    const bool may_return = engine_unknown_ || count(model.id).away > 0;
    return model.waiting > 0 &&
           (!may_return || model.waiting_s >= limits_.return_patience_s);
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

std::int64_t plan_draft::size_of(const engine_view& engine)
{
    auto bytes = engine.free_bytes;
    for (const auto& replica : engine.replicas)
        bytes += replica.bytes;
    return bytes;
}

bool plan_draft::all_fit(std::int64_t more) const
{
    std::int64_t memory = 0;
    for (const auto& engine : view_.engines)
    {
        const auto bytes = size_of(engine);
        // An engine that has not reported yet may hold the missing models.
        if (bytes == 0)
            return true;
        memory += bytes;
    }
    std::int64_t needed = more;
    for (const auto& model : view_.models)
        needed += model.bytes;
    return needed <= memory;
}

std::int64_t plan_draft::choose_rotating_engines()
{
    std::int64_t memory = 0;
    for (const auto& engine : view_.engines)
        memory += engine.usable ? size_of(engine) : 0;
    // Whole engines, so that a large model finds room on one of them.
    auto wanted = limits_.rotating_part * static_cast<double>(memory);
    for (auto i = view_.engines.size(); i-- > 0 && wanted > 0;)
    {
        // Models could not take turns on an engine that accepts no command.
        if (!view_.engines[i].usable || view_.engines[i].blocked)
            continue;
        const auto bytes = size_of(view_.engines[i]);
        rotating_.insert(i);
        memory -= bytes;
        wanted -= static_cast<double>(bytes);
    }
    return memory;
}

void plan_draft::count_settled()
{
    for (auto& of : counts_)
        of.settled = 0;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        const auto& engine = view_.engines[i];
        if (!engine.usable || rotating_.contains(i))
            continue;
        for (std::size_t k = 0; k < engine.replicas.size(); ++k)
        {
            const auto& replica = engine.replicas[k];
            const auto model = models_at_[i][k];
            const bool counted = model != unknown_model && !replica.going &&
                                 (replica.ready || replica.coming);
            if (counted)
                ++counts_[model].settled;
        }
    }
}

int plan_draft::settled_replicas(const model_id& model) const
{
    return count(model).settled;
}

int plan_draft::replicas_to_keep(const model_view& model, int have) const
{
    const auto load =
        model.tokens_per_second / limits_.replica_tokens_per_second;
    const auto needed =
        std::max(1, static_cast<int>(std::ceil(load / limits_.keep_above)));
    // The gap between the two bounds is the hysteresis.
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
        const auto have = settled_replicas(model.id);
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
    return it != kept_.end() && settled_replicas(model) < it->second;
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
    count_settled();
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
            if (may_load())
                load(*model);
            continue;
        }
        if (view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        if (const auto where = cheapest_room(*model, may_swap(*model)))
            unload(*where);
    }
    loading_kept_ = false;
}

std::optional<double> plan_draft::loss_when_scarce(
    const model_view& owner, const model_view& wanted, bool allow_swap) const
{
    const auto kept = kept_.find(owner.id);
    if (loading_kept_ && kept != kept_.end() &&
        settled_replicas(owner.id) <= kept->second)
        return std::nullopt;
    if (count(owner.id).ready > 1)
        return 0;
    if (!allow_swap || (!loading_kept_ && owner.waiting_s >= wanted.waiting_s))
        return std::nullopt;
    return owner.tokens_per_second;
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

std::optional<std::size_t> plan_draft::engine_with_room(
    const model_view& model) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        const auto& engine = view_.engines[i];
        // The tightest fit keeps large gaps for large models.
        if (!engine.usable || !engine.accepts_command ||
            engine.free_bytes < model.bytes ||
            (best && engine.free_bytes >= view_.engines[*best].free_bytes) ||
            !may_use(i))
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
    replica.coming = true;
    engine.replicas.push_back(std::move(replica));
    models_at_[*where].push_back(index_of(model));
    engine.accepts_command = !engine.one_command_at_a_time;
    ++view_.loads_open;
    --view_.loads_allowed;
    auto& of = counts_[index_of(model)];
    ++of.coming;
    of.settled += rotating_.contains(*where) ? 0 : 1;
    return true;
}

void plan_draft::unload(const room& where)
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
        replica.going = true;
        ++view_.unloads_open;
        const auto model = models_at_[where.engine][victim];
        if (model == unknown_model)
            continue;
        auto& of = counts_[model];
        --of.ready;
        ++of.going;
        of.settled -= rotating_.contains(where.engine) ? 0 : 1;
        of.outdated -= replica.version != view_.models[model].version ? 1 : 0;
    }
}

bool plan_draft::rollout_under_way() const
{
    return std::any_of(counts_.begin(), counts_.end(),
        [](const counts& of) { return of.outdated > 0 && of.coming > 0; });
}

void plan_draft::roll_out_versions()
{
    rolling_out_ = true;
    for (const auto& model : view_.models)
    {
        const auto have = count(model.id);
        if (have.outdated == 0 || have.coming > 0 || have.going > 0)
            continue;
        const auto current = have.ready - have.outdated;
        // A busy model gets as many new replicas as it has old ones, as far
        // as there is free memory.
        const bool needs_more =
            current == 0 ||
            (current < have.outdated &&
                served(model, have.ready - 1) < served(model, have.ready));
        if (needs_more && engine_with_room(model))
        {
            // One at a time, so that models that wait get their loads.
            if (may_load() && !rollout_under_way())
                load(model);
            continue;
        }
        // One of several old replicas gives its room to the new version.
        if (current > 0 || have.outdated > 1)
        {
            unload_outdated(model);
            continue;
        }
        if (view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        // A last replica of another model goes only when both versions can't
        // be loaded beside all other models.
        if (const auto where = cheapest_room(model, !all_fit(model.bytes)))
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
            if (replica.model != model.id || !replica.ready || replica.going ||
                replica.version == model.version)
                continue;
            room where;
            where.engine = i;
            where.victims = {k};
            return unload(where);
        }
    }
}

double plan_draft::served(const model_view& model, int replicas) const
{
    return std::min(model.tokens_per_second,
        replicas * limits_.replica_tokens_per_second * limits_.add_above);
}

std::optional<double> plan_draft::loss_without(std::size_t engine,
    std::size_t replica, const model_view& wanted, bool allow_swap) const
{
    const auto& victim = view_.engines[engine].replicas[replica];
    const auto model = models_at_[engine][replica];
    if (!victim.ready || victim.going || model == index_of(wanted))
        return std::nullopt;
    // The model was removed from the configuration.
    if (model == unknown_model)
        return 0;
    const auto& owner = view_.models[model];
    constexpr double gigabyte = 1e9;
    const auto residence_s = limits_.least_residence_s +
                             limits_.residence_s_per_gigabyte *
                                 static_cast<double>(owner.bytes) / gigabyte;
    if (owner.settled_s < residence_s)
        return std::nullopt;
    // Any surplus replica is given up before a last one.
    constexpr double last_replica_penalty = 1e9;
    const auto rest = counts_[model].ready - 1;
    if (rolling_out_ && rest == 0)
        return allow_swap && owner.waiting == 0
                   ? std::optional(
                         last_replica_penalty + owner.tokens_per_second)
                   : std::nullopt;
    // A rollout does not wait until a surplus replica is idle.
    if (rolling_out_)
        return served(owner, rest + 1) - served(owner, rest);
    if (scarce_)
        return loss_when_scarce(owner, wanted, allow_swap);
    const auto capacity = rest * limits_.replica_tokens_per_second;
    if (rest > 0)
    {
        const bool idle =
            owner.tokens_per_second <= limits_.give_up_below * capacity;
        // A model that has no replica outweighs one that has several.
        if (!idle && count(wanted.id).ready > 0)
            return std::nullopt;
        return served(owner, rest + 1) - served(owner, rest);
    }
    // Last replica: only for a model that waits longer than its own callers.
    if (!allow_swap || owner.waiting_s >= wanted.waiting_s)
        return std::nullopt;
    return last_replica_penalty + owner.tokens_per_second;
}

std::optional<plan_draft::room> plan_draft::room_at(
    std::size_t engine, const model_view& model, bool allow_swap) const
{
    const auto& at = view_.engines[engine];
    if (!at.usable || !at.accepts_command || !may_use(engine))
        return std::nullopt;
    if (!at.adapters_going.empty())
        return std::nullopt;
    const auto wanted = index_of(model);
    for (std::size_t i = 0; i < at.replicas.size(); ++i)
        if (models_at_[engine][i] == wanted || at.replicas[i].going)
            return std::nullopt;
    room out;
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
        if (const auto loss = loss_without(engine, i, model, allow_swap))
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

std::optional<plan_draft::room> plan_draft::cheapest_room(
    const model_view& model, bool allow_swap) const
{
    std::optional<room> best;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
    {
        auto option = room_at(i, model, allow_swap);
        if (option && (!best || option->loss < best->loss))
            best = std::move(option);
    }
    return best;
}

std::vector<const model_view*> plan_draft::missing() const
{
    std::vector<const model_view*> out;
    for (const auto& model : view_.models)
    {
        const auto have = count(model.id);
        if (have.ready + have.coming == 0)
            out.push_back(&model);
    }
    // The longest wait first, so that every model gets its turn.
    std::stable_sort(out.begin(), out.end(),
        [](const model_view* a, const model_view* b)
        {
            return std::tie(a->waiting_s, a->tokens_per_second) >
                   std::tie(b->waiting_s, b->tokens_per_second);
        });
    return out;
}

void plan_draft::load_missing_models(bool make_room)
{
    // Memory that is being freed is meant for the first models in the list.
    auto being_freed = view_.unloads_open;
    for (const auto* model : missing())
    {
        if (engine_with_room(*model))
        {
            if (!may_load())
                return;
            load(*model);
            continue;
        }
        if (!make_room || being_freed-- > 0 ||
            view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        if (const auto where = cheapest_room(*model, may_swap(*model)))
            unload(*where);
        // Smaller models behind it would take its room bit by bit.
        if (scarce_ && model->waiting > 0)
            return;
    }
}

std::vector<plan_draft::idle_adapter> plan_draft::idle_adapters(
    const engine_view& engine) const
{
    std::vector<idle_adapter> out;
    for (const auto& replica : engine.replicas)
    {
        const auto it = index_.find(replica.model);
        if (replica.adapters.empty() || it == index_.end())
            continue;
        for (const auto& each : view_.models[it->second].adapters)
            if (replica.adapters.contains(each.id) && each.waiting == 0 &&
                each.tokens_per_second < limits_.adapter_idle_below &&
                !engine.adapters_going.contains(each.id))
                out.push_back({replica.model, each});
    }
    std::stable_sort(out.begin(), out.end(),
        [](const idle_adapter& a, const idle_adapter& b)
        { return a.demand.tokens_per_second < b.demand.tokens_per_second; });
    return out;
}

void plan_draft::unload_adapter(engine_view& engine, const idle_adapter& which)
{
    if (!engine.accepts_command)
        return;
    engine.accepts_command = !engine.one_command_at_a_time;
    engine.adapters_going.insert(which.demand.id);
    moves_.push_back({command_kind::unload_adapter, engine.id, which.model,
        which.demand.id, which.demand.version, which.demand.bytes, false});
}

bool plan_draft::has_slot(const engine_view& engine) const
{
    auto used = engine.adapters_coming.size();
    for (const auto& replica : engine.replicas)
        used += replica.adapters.size();
    return limits_.adapters_per_engine <= 0 ||
           static_cast<std::int64_t>(used) < limits_.adapters_per_engine;
}

void plan_draft::make_room_for_adapter(
    engine_view& engine, const adapter_demand& wanted)
{
    const bool idle = wanted.waiting == 0 &&
                      wanted.tokens_per_second < limits_.adapter_idle_below;
    // An unload that is under way shows first what it brings.
    if (idle || !engine.adapters_going.empty())
        return;
    const auto options = idle_adapters(engine);
    auto free = engine.free_bytes;
    std::size_t chosen = 0;
    while (chosen < options.size() && (chosen == 0 || free < wanted.bytes))
        free += options[chosen++].demand.bytes;
    if (free < wanted.bytes)
        return;
    for (std::size_t i = 0; i < chosen; ++i)
        unload_adapter(engine, options[i]);
}

void plan_draft::load_adapters()
{
    for (auto& engine : view_.engines)
    {
        if (!engine.usable)
            continue;
        for (const auto& replica : engine.replicas)
        {
            if (!replica.ready || replica.going ||
                !index_.contains(replica.model))
                continue;
            for (const auto& wanted : find(replica.model).adapters)
            {
                const bool asked =
                    wanted.waiting > 0 || wanted.tokens_per_second > 0;
                if (!asked || !engine.accepts_command ||
                    replica.adapters.contains(wanted.id) ||
                    engine.adapters_coming.contains(wanted.id) ||
                    view_.adapter_loads_open >= limits_.adapters_in_flight)
                    continue;
                if (engine.free_bytes < wanted.bytes || !has_slot(engine))
                {
                    make_room_for_adapter(engine, wanted);
                    continue;
                }
                moves_.push_back(
                    {command_kind::load_adapter, engine.id, replica.model,
                        wanted.id, wanted.version, wanted.bytes, false});
                engine.free_bytes -= wanted.bytes;
                engine.adapters_coming.insert(wanted.id);
                engine.accepts_command = !engine.one_command_at_a_time;
                ++view_.adapter_loads_open;
            }
        }
    }
}

double plan_draft::gain_of_replica(const model_view& model) const
{
    const auto have = count(model.id);
    const auto replicas = have.ready + have.coming;
    // A replica that is on its way first shows what it brings.
    if (have.ready == 0 || have.coming > 0)
        return 0;
    return served(model, replicas + 1) - served(model, replicas);
}

void plan_draft::add_replicas()
{
    if (scarce_)
        return;
    constexpr double gigabyte = 1e9;
    std::vector<std::pair<double, const model_view*>> wishes;
    for (const auto& model : view_.models)
    {
        const auto gain = gain_of_replica(model);
        const auto size = static_cast<double>(model.bytes) / gigabyte;
        if (gain > size * limits_.least_gain_per_gigabyte)
            wishes.emplace_back(gain / std::max(size, 1e-9), &model);
    }
    std::stable_sort(wishes.begin(), wishes.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [gain_per_byte, model] : wishes)
    {
        if (!may_load())
            return;
        if (load(*model) ||
            view_.loads_open + view_.unloads_open >= limits_.concurrent_loads)
            continue;
        const auto where = cheapest_room(*model, false);
        if (where && where->loss < gain_of_replica(*model))
            unload(*where);
    }
}

} // namespace tarragonquay::placement
