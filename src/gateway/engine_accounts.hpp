#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "endpoints/directory_entry.hpp"
#include "placement/planner.hpp"
#include "routes/configuration.hpp"

namespace tarragonquay::gateway
{

/// A model command that an engine has accepted, or may have.
struct pending_model
{
    model_id model;
    bool load = true;
    /// After this, the engine's report is believed instead.
    time_point expires_at;

    auto operator<=>(const pending_model&) const = default;
};

/// What the holder of the placement lease knows about one engine. Commands name
/// the number of commands that the engine has accepted, so an earlier command
/// that is carried out late fails once a later one was accepted: one account
/// of the memory holds, whatever was lost on the way.
class engine_account
{
public:
    engine_account() = default;
    explicit engine_account(std::int64_t started_unix_ms)
        : started_unix_ms_(started_unix_ms)
    {
    }

    std::int64_t started_unix_ms() const { return started_unix_ms_; }
    std::int64_t accepted_commands() const { return accepted_commands_; }
    /// Whether the state was read since the last doubt about it.
    bool known() const { return known_; }
    void invalidate() { known_ = false; }
    const std::vector<endpoints::loaded_model>& models() const
    {
        return models_;
    }
    const std::optional<pending_model>& pending() const { return pending_; }
    /// A model command of an earlier holder is under way; which one is not
    /// known, so that no memory can be promised.
    bool busy() const { return (busy_ && !pending_) || unloading_; }

    /// Takes a report; returns whether what the engine holds has changed.
    bool take_report(const endpoints::engine_report& report, time_point now);

    /// Reports are at most this old. One that is read sooner after a command
    /// may not show it.
    static constexpr std::chrono::milliseconds report_lag{400};

    /// The engine has accepted a command.
    void accept_model(const model_id& model, bool load, time_point now,
        time_point expires_at);
    void accept_adapter(const model_id& model, const adapter_id& adapter,
        bool load, time_point now);
    /// The engine unloads an adapter once the requests that use it have ended,
    /// and accepts no other command before that.
    void accept_late_unload(const model_id& model, const adapter_id& adapter,
        time_point now, time_point expires_at);
    /// Whether a report may show all accepted commands.
    bool settled(time_point now) const
    {
        return now - accepted_at_ >= report_lag;
    }
    /// An adapter had the time to arrive. Reports would tell it some hundred
    /// milliseconds later.
    void settle_adapter(const model_id& model, const adapter_id& adapter);

    bool holds(const model_id& model) const;
    bool holds(const model_id& model, const adapter_id& adapter) const;
    bool coming(const model_id& model, const adapter_id& adapter) const;
    /// Whether a load needs no copy from the weight store.
    bool at_hand(const model_id& model) const
    {
        return at_hand_.contains(model);
    }
    std::int64_t adapters_in_use() const;
    /// Adapters that are loaded, with their models.
    std::vector<std::pair<model_id, adapter_id>> loaded_adapters() const;

    /// Memory for weights that nothing uses or will use.
    std::int64_t free_bytes(const routes::engine_group& group) const;
    /// As the planner sees it.
    placement::engine_view view(const endpoint_id& id,
        const routes::engine_group& group, bool usable, bool may_return) const;

    /// A call to the engine is under way.
    bool calling = false;
    /// A coroutine reads the engine's reports until nothing is pending.
    bool polling = false;

private:
    void erase_adapter(const model_id& model, const adapter_id& adapter);

    std::int64_t started_unix_ms_ = 0;
    std::int64_t accepted_commands_ = 0;
    time_point accepted_at_{};
    bool known_ = false;
    std::vector<endpoints::loaded_model> models_;
    std::set<std::pair<model_id, adapter_id>> adapters_coming_;
    std::set<model_id> at_hand_;
    std::optional<pending_model> pending_;
    bool busy_ = false;
    struct late_unload
    {
        model_id model;
        adapter_id adapter;
        time_point expires_at;
    };
    std::optional<late_unload> unloading_;
};

} // namespace tarragonquay::gateway
