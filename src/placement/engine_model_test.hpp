#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "placement/controller.hpp"

namespace tarragonquay::placement
{

/// Simulated engine. It executes commands without checking its memory, so that
/// an error of the controller shows as an overcommit.
class engine_model
{
public:
    /// `deduplicates` tells whether it recognises the ids of earlier commands.
    /// With `late_copies`, an engine without fencing also executes copies that
    /// were sent to an earlier incarnation; otherwise it drops them, as if the
    /// connection had been closed by the restart.
    engine_model(std::string id, std::int64_t capacity, bool fencing,
        bool deduplicates, bool late_copies)
        : id_(std::move(id)),
          capacity_(capacity),
          fencing_(fencing),
          deduplicates_(deduplicates),
          late_copies_(late_copies)
    {
    }

    std::optional<command_answer> receive(const intent& command)
    {
        if (command.engine_incarnation != incarnation())
        {
            if (fencing_)
                return command_answer::stale_fencing;
            if (!late_copies_)
                return std::nullopt;
        }
        if (seen_commands_.contains(command.command_id))
            return command_answer::already_known;
        if (fencing_ && command.fencing <= highest_)
            return command_answer::stale_fencing;
        highest_ = std::max(highest_, command.fencing);
        if (deduplicates_)
            seen_commands_.insert(command.command_id);
        if (command.kind == command_kind::load_model)
            models_.try_emplace(
                key{command.model, command.version}, command.bytes, false);
        else if (command.kind == command_kind::unload_model)
            unload(command);
        else if (command.kind == command_kind::load_adapter)
            adapters_.try_emplace(
                adapter_key{command.adapter, command.model, command.version},
                command.bytes);
        else
            adapters_.erase(
                adapter_key{command.adapter, command.model, command.version});
        peak_ = std::max(peak_, used());
        return command_answer::accepted;
    }

    void finish_loads()
    {
        for (auto& [model, state] : models_)
            state.second = true;
    }

    void restart()
    {
        ++restarts_;
        models_.clear();
        adapters_.clear();
        seen_commands_.clear();
        highest_ = 0;
    }

    std::int64_t used() const
    {
        std::int64_t total = 0;
        for (const auto& [model, state] : models_)
            total += state.first;
        for (const auto& [adapter, bytes] : adapters_)
            total += bytes;
        return total;
    }
    std::int64_t peak() const { return peak_; }
    std::int64_t capacity() const { return capacity_; }
    bool deduplicates() const { return deduplicates_; }
    bool honours_fencing() const { return fencing_; }
    const std::string& id() const { return id_; }
    std::string incarnation() const { return std::to_string(restarts_); }
    bool ready(const model_id& model) const
    {
        return std::any_of(models_.begin(), models_.end(),
            [&](const auto& entry)
            { return entry.first.first == model && entry.second.second; });
    }

    bool ready(const model_id& model, const adapter_id& adapter) const
    {
        return ready(model) &&
               std::any_of(adapters_.begin(), adapters_.end(),
                   [&](const auto& entry)
                   {
                       return std::get<0>(entry.first) == adapter &&
                              std::get<1>(entry.first) == model;
                   });
    }

    routing::endpoint_report report() const
    {
        routing::endpoint_report out;
        out.endpoint = endpoint_id(id_);
        out.incarnation = incarnation();
        out.capacity_bytes = capacity_;
        out.used_bytes = used();
        out.highest_fencing = highest_;
        for (const auto& [model, state] : models_)
            out.models.push_back({model.first, model.second, state.first,
                state.second ? routing::residency_state::ready
                             : routing::residency_state::loading});
        for (const auto& [adapter, bytes] : adapters_)
            out.adapters.push_back({std::get<0>(adapter), std::get<1>(adapter),
                std::get<2>(adapter)});
        for (const auto& command : seen_commands_)
            out.commands.push_back({command, routing::command_outcome::done});
        return out;
    }

private:
    // Adapters are unloaded together with the last version of their model.
    void unload(const intent& command)
    {
        models_.erase(key{command.model, command.version});
        const auto of_model = [&](const auto& entry)
        { return entry.first.first == command.model; };
        if (std::none_of(models_.begin(), models_.end(), of_model))
            std::erase_if(adapters_, [&](const auto& entry)
                { return std::get<1>(entry.first) == command.model; });
    }

    using key = std::pair<model_id, std::string>;
    using adapter_key = std::tuple<adapter_id, model_id, std::string>;

    std::string id_;
    std::int64_t capacity_;
    bool fencing_;
    bool deduplicates_;
    bool late_copies_;
    std::int64_t highest_ = 0;
    std::int64_t peak_ = 0;
    int restarts_ = 0;
    // By model and version.
    std::map<key, std::pair<std::int64_t, bool>> models_;
    std::map<adapter_key, std::int64_t> adapters_;
    std::set<std::string> seen_commands_;
};

/// Commands in flight; the test decides which arrive, when and how often.
class command_network
{
public:
    struct copy
    {
        intent command;
        store::handler<command_answer> on_done;
    };

    void send(const intent& command, store::handler<command_answer> on_done)
    {
        copies_.push_back({command, std::move(on_done)});
    }
    std::vector<copy>& copies() { return copies_; }

private:
    std::vector<copy> copies_;
};

static_assert(command_transport<command_network>);

} // namespace tarragonquay::placement
