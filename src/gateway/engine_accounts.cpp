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

bool engine_account::take_report(
    const endpoints::engine_report& report, time_point now)
{
    const bool outdated = report.accepted_commands < accepted_commands_;
    if (outdated && (known_ || !settled(now)))
        return false;
    const auto before = models_;
    models_ = report.models;
    accepted_commands_ = report.accepted_commands;
    known_ = true;
    busy_ = report.busy;
    adapters_coming_.clear();
    for (const auto& each : report.adapters_loading)
        for (const auto& adapter : each.adapters)
            adapters_coming_.emplace(each.model, adapter);
    at_hand_ = report.in_memory;
    at_hand_.insert(report.on_disk.begin(), report.on_disk.end());
    if (unloading_)
    {
        const bool gone = !holds(unloading_->model, unloading_->adapter);
        // New requests would keep it in use.
        erase_adapter(unloading_->model, unloading_->adapter);
        if (gone || now >= unloading_->expires_at)
            unloading_.reset();
    }
    if (pending_)
    {
        const bool arrived = holds(pending_->model) == pending_->load;
        // Reports are some hundred milliseconds old, so an idle engine only
        // tells that the command has ended once it had time to begin.
        if (arrived || now >= pending_->expires_at)
            pending_.reset();
        else if (!pending_->load)
            // It takes no new requests for the model.
            std::erase_if(models_, [&](const endpoints::loaded_model& each)
                { return each.model == pending_->model; });
    }
    return models_ != before;
}

void engine_account::accept_model(
    const model_id& model, bool load, time_point now, time_point expires_at)
{
    ++accepted_commands_;
    accepted_at_ = now;
    pending_ = pending_model{model, load, expires_at};
    if (!load)
        std::erase_if(models_, [&](const endpoints::loaded_model& each)
            { return each.model == model; });
}

void engine_account::accept_adapter(
    const model_id& model, const adapter_id& adapter, bool load, time_point now)
{
    ++accepted_commands_;
    accepted_at_ = now;
    if (load)
    {
        adapters_coming_.emplace(model, adapter);
        return;
    }
    erase_adapter(model, adapter);
}

void engine_account::accept_late_unload(const model_id& model,
    const adapter_id& adapter, time_point now, time_point expires_at)
{
    accept_adapter(model, adapter, false, now);
    unloading_ = late_unload{model, adapter, expires_at};
}

void engine_account::erase_adapter(
    const model_id& model, const adapter_id& adapter)
{
    for (auto& each : models_)
        if (each.model == model)
            each.adapters.erase(adapter);
}

void engine_account::settle_adapter(
    const model_id& model, const adapter_id& adapter)
{
    if (adapters_coming_.erase({model, adapter}) == 0)
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

bool engine_account::coming(
    const model_id& model, const adapter_id& adapter) const
{
    return adapters_coming_.contains({model, adapter});
}

std::int64_t engine_account::adapters_in_use() const
{
    auto out = static_cast<std::int64_t>(adapters_coming_.size());
    for (const auto& each : models_)
        for (const auto& adapter : each.adapters)
            out += coming(each.model, adapter) ? 0 : 1;
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
    for (const auto& [model, adapter] : adapters_coming_)
        if (!holds(model, adapter))
            out -= adapter_size(model);
    if (pending_ && !holds(pending_->model))
    {
        // The memory of an unload is free once the engine has reported it.
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
    out.accepts_command = !pending_ && !busy() && !calling && known_;
    out.one_command_at_a_time = true;
    out.local_models = at_hand_;
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
