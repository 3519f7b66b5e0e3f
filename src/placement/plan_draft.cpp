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
}

std::int64_t plan_draft::size_of(const engine_view& engine)
{
    auto bytes = engine.free_bytes;
    for (const auto& replica : engine.replicas)
        bytes += replica.bytes;
    return bytes;
}

bool plan_draft::all_fit() const
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
    std::int64_t needed = 0;
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
        if (!view_.engines[i].usable)
            continue;
        const auto bytes = size_of(view_.engines[i]);
        rotating_.insert(i);
        memory -= bytes;
        wanted -= static_cast<double>(bytes);
    }
    return memory;
}

int plan_draft::settled_replicas(const model_id& model) const
{
    int out = 0;
    for (std::size_t i = 0; i < view_.engines.size(); ++i)
        if (view_.engines[i].usable && !rotating_.contains(i))
            for (const auto& replica : view_.engines[i].replicas)
                out += replica.model == model && !replica.going &&
                               (replica.ready || replica.coming)
                           ? 1
                           : 0;
    return out;
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
    return !scarce_ || rotating_.contains(engine) != loading_kept_;
}

void plan_draft::keep_demanded_models()
{
    scarce_ = !all_fit();
    if (!scarce_)
        return;
    choose_kept_models(choose_rotating_engines());
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
        if (const auto where = cheapest_room(*model, model->waiting > 0))
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
    counts out;
    for (const auto& engine : view_.engines)
        for (const auto& replica : engine.replicas)
        {
            if (replica.model != model)
                continue;
            if (replica.going)
                ++out.going;
            else if (replica.ready && engine.usable)
                ++out.ready;
            else if (replica.coming && engine.usable)
                ++out.coming;
        }
    return out;
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
        const bool present = std::any_of(engine.replicas.begin(),
            engine.replicas.end(),
            [&](const replica_view& each) { return each.model == model.id; });
        if (!engine.usable || !engine.accepts_command || present ||
            engine.free_bytes < model.bytes || !may_use(i))
            continue;
        // The tightest fit keeps large gaps for large models.
        if (!best || engine.free_bytes < view_.engines[*best].free_bytes)
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
    replica.bytes = model.bytes;
    replica.coming = true;
    engine.replicas.push_back(std::move(replica));
    engine.accepts_command = !engine.one_command_at_a_time;
    ++view_.loads_open;
    --view_.loads_allowed;
    return true;
}

void plan_draft::unload(const room& where)
{
    auto& engine = view_.engines[where.engine];
    for (const auto& victim : where.victims)
        for (auto& replica : engine.replicas)
            if (replica.model == victim && engine.accepts_command)
            {
                engine.accepts_command = !engine.one_command_at_a_time;
                moves_.push_back({command_kind::unload_model, engine.id, victim,
                    {}, find(victim).version, replica.bytes, where.swap});
                replica.ready = false;
                replica.going = true;
                ++view_.unloads_open;
            }
}

double plan_draft::served(const model_view& model, int replicas) const
{
    return std::min(model.tokens_per_second,
        replicas * limits_.replica_tokens_per_second * limits_.add_above);
}

std::optional<double> plan_draft::loss_without(const replica_view& replica,
    const model_view& wanted, bool allow_swap) const
{
    if (!replica.ready || replica.going || replica.model == wanted.id ||
        !index_.contains(replica.model))
        return std::nullopt;
    const auto& owner = find(replica.model);
    constexpr double gigabyte = 1e9;
    const auto residence_s = limits_.least_residence_s +
                             limits_.residence_s_per_gigabyte *
                                 static_cast<double>(owner.bytes) / gigabyte;
    if (owner.settled_s < residence_s)
        return std::nullopt;
    if (scarce_)
        return loss_when_scarce(owner, wanted, allow_swap);
    const auto rest = count(owner.id).ready - 1;
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
    // Any surplus replica is given up before a last one.
    constexpr double last_replica_penalty = 1e9;
    return last_replica_penalty + owner.tokens_per_second;
}

std::optional<plan_draft::room> plan_draft::room_at(
    std::size_t engine, const model_view& model, bool allow_swap) const
{
    const auto& at = view_.engines[engine];
    if (!at.usable || !at.accepts_command || !may_use(engine))
        return std::nullopt;
    for (const auto& replica : at.replicas)
        if (replica.model == model.id || replica.going)
            return std::nullopt;
    std::vector<std::pair<double, const replica_view*>> options;
    for (const auto& replica : at.replicas)
        if (const auto loss = loss_without(replica, model, allow_swap))
            options.emplace_back(*loss, &replica);
    std::sort(options.begin(), options.end(),
        [](const auto& a, const auto& b)
        {
            return std::tie(a.first, a.second->model) <
                   std::tie(b.first, b.second->model);
        });
    room out;
    out.engine = engine;
    auto free = at.free_bytes;
    for (const auto& [loss, replica] : options)
    {
        if (free >= model.bytes)
            break;
        free += replica->bytes;
        out.victims.push_back(replica->model);
        out.loss += loss;
        out.swap = out.swap || count(replica->model).ready <= 1;
    }
    if (free < model.bytes || out.victims.empty())
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
        if (const auto where = cheapest_room(*model, model->waiting > 0))
            unload(*where);
        // Smaller models behind it would take its room bit by bit.
        if (scarce_ && model->waiting > 0)
            return;
    }
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
                    engine.free_bytes < wanted.bytes ||
                    view_.adapter_loads_open >= limits_.adapters_in_flight)
                    continue;
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
