#include "gateway/engine_accounts.hpp"

#include <algorithm>
#include <utility>

namespace tarragonquay::gateway
{

namespace
{

const routes::engine_model* find_model(
    const routes::engine_group& group, const model_id& model)
{
    for (const auto& each : group.models)
        if (each.id == model)
            return &each;
    return nullptr;
}

} // namespace

bool engine_account::apply_report(
    const endpoints::engine_report& report, time_point now)
{
    const bool outdated = report.accepted_commands < accepted_commands_;
    if (outdated && (known_ || !reports_caught_up(now)))
        return false;
    const auto before = models_;
    models_ = report.models;
    accepted_commands_ = report.accepted_commands;
    known_ = true;
    busy_ = report.busy;
    loading_adapters_.clear();
    for (const auto& each : report.adapters_loading)
        for (const auto& adapter : each.adapters)
            loading_adapters_.emplace(each.model, adapter);
    local_models_ = report.in_memory;
    local_models_.insert(report.on_disk.begin(), report.on_disk.end());
    if (deferred_unload_)
    {
        const bool gone =
            !holds(deferred_unload_->model, deferred_unload_->adapter);
        // New requests would keep the adapter in use, so none are sent to it.
        erase_adapter(deferred_unload_->model, deferred_unload_->adapter);
        if (gone || now >= deferred_unload_->expires_at)
            deferred_unload_.reset();
    }
    if (pending_)
    {
        const bool arrived = holds(pending_->model) == pending_->load;
        // Reports are some hundred milliseconds old, so an idle engine does not
        // show that the command has ended: it may not have started yet.
        if (arrived || now >= pending_->expires_at)
            pending_.reset();
        else if (!pending_->load)
            // The engine accepts no new requests for a model that it unloads.
            std::erase_if(models_, [&](const endpoints::loaded_model& each)
                { return each.model == pending_->model; });
    }
    return models_ != before;
}

void engine_account::record_model_command(
    const model_id& model, bool load, time_point now, time_point expires_at)
{
    ++accepted_commands_;
    accepted_at_ = now;
    pending_ = pending_model_command{model, load, expires_at};
    if (!load)
        std::erase_if(models_, [&](const endpoints::loaded_model& each)
            { return each.model == model; });
}

void engine_account::record_adapter_command(
    const model_id& model, const adapter_id& adapter, bool load, time_point now)
{
    ++accepted_commands_;
    accepted_at_ = now;
    if (load)
    {
        loading_adapters_.emplace(model, adapter);
        return;
    }
    erase_adapter(model, adapter);
}

void engine_account::record_deferred_unload(const model_id& model,
    const adapter_id& adapter, time_point now, time_point expires_at)
{
    record_adapter_command(model, adapter, false, now);
    deferred_unload_ = deferred_unload{model, adapter, expires_at};
}

void engine_account::erase_adapter(
    const model_id& model, const adapter_id& adapter)
{
    for (auto& each : models_)
        if (each.model == model)
            each.adapters.erase(adapter);
}

void engine_account::mark_adapter_loaded(
    const model_id& model, const adapter_id& adapter)
{
    if (loading_adapters_.erase({model, adapter}) == 0)
        return;
    for (auto& each : models_)
        if (each.model == model)
            each.adapters.insert(adapter);
}

bool engine_account::holds(const model_id& model) const
{
    return std::any_of(models_.begin(), models_.end(),
        [&](const endpoints::loaded_model& each)
        { return each.model == model; });
}

bool engine_account::holds(
    const model_id& model, const adapter_id& adapter) const
{
    return std::any_of(models_.begin(), models_.end(),
        [&](const endpoints::loaded_model& each)
        { return each.model == model && each.adapters.contains(adapter); });
}

bool engine_account::is_loading(
    const model_id& model, const adapter_id& adapter) const
{
    return loading_adapters_.contains({model, adapter});
}

std::int64_t engine_account::adapters_in_use() const
{
    auto out = static_cast<std::int64_t>(loading_adapters_.size());
    for (const auto& each : models_)
        for (const auto& adapter : each.adapters)
            out += is_loading(each.model, adapter) ? 0 : 1;
    return out;
}

std::vector<std::pair<model_id, adapter_id>>
engine_account::loaded_adapters() const
{
    std::vector<std::pair<model_id, adapter_id>> out;
    for (const auto& each : models_)
        for (const auto& adapter : each.adapters)
            out.emplace_back(each.model, adapter);
    return out;
}

std::int64_t engine_account::free_bytes(const routes::engine_group& group) const
{
    auto out = group.weight_bytes;
    const auto adapter_size = [&](const model_id& model)
    {
        const auto* found = find_model(group, model);
        return found == nullptr ? 0 : found->adapter_bytes;
    };
    for (const auto& each : models_)
    {
        const auto* found = find_model(group, each.model);
        out -= found == nullptr ? 0 : found->weight_bytes;
        out -= static_cast<std::int64_t>(each.adapters.size()) *
               adapter_size(each.model);
    }
    for (const auto& [model, adapter] : loading_adapters_)
        if (!holds(model, adapter))
            out -= adapter_size(model);
    if (pending_ && !holds(pending_->model))
    {
        // The memory of an unloading model counts as used until the engine
        // reports the unload.
        const auto* found = find_model(group, pending_->model);
        out -= found == nullptr ? 0 : found->weight_bytes;
    }
    return out;
}

placement::engine_view engine_account::view(const endpoint_id& id,
    const routes::engine_group& group, bool usable, bool may_return) const
{
    placement::engine_view out;
    out.id = id;
    out.free_bytes = free_bytes(group);
    out.usable = usable && known_;
    out.may_return = may_return;
    out.accepts_command = !pending_ && !busy() && !call_in_flight && known_;
    out.one_command_at_a_time = true;
    out.local_models = local_models_;
    const auto add = [&](const model_id& model)
    {
        placement::replica_view replica;
        replica.model = model;
        if (const auto* found = find_model(group, model))
            replica.bytes = found->weight_bytes;
        out.replicas.push_back(std::move(replica));
        return &out.replicas.back();
    };
    for (const auto& each : models_)
        add(each.model)->ready = true;
    if (pending_ && !holds(pending_->model))
    {
        auto* replica = add(pending_->model);
        (pending_->load ? replica->loading : replica->unloading) = true;
    }
    return out;
}

} // namespace tarragonquay::gateway
