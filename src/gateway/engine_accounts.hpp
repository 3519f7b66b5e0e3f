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

/// A load or unload of a model that an engine has accepted or may have
/// accepted.
struct pending_model_command
{
    model_id model;
    bool load = true;
    /// From this time on the command is dropped and the engine's report
    /// decides.
    time_point expires_at;

    auto operator<=>(const pending_model_command&) const = default;
};

/// State of one engine as tracked by the holder of the placement lease. Each
/// command carries the number of commands that the engine is expected to have
/// accepted, so the engine refuses a delayed command once it has accepted a
/// later one. The tracked memory use therefore stays correct when commands or
/// answers are lost.
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
    /// Whether a report was applied since the last `invalidate`.
    bool known() const { return known_; }
    void invalidate() { known_ = false; }
    const std::vector<endpoints::loaded_model>& models() const
    {
        return models_;
    }
    const std::optional<pending_model_command>& pending() const
    {
        return pending_;
    }
    /// Whether the engine cannot accept a command: it executes one of a
    /// previous lease holder, whose memory use is unknown, or it still unloads
    /// an adapter.
    bool busy() const { return (busy_ && !pending_) || deferred_unload_; }

    /// Applies a report; returns whether the set of loaded models or adapters
    /// has changed.
    bool apply_report(const endpoints::engine_report& report, time_point now);

    /// Maximum age of a report. A report that is read sooner than this after a
    /// command may not show the command.
    static constexpr std::chrono::milliseconds report_lag{400};

    /// Records that the engine has accepted a command.
    void record_model_command(const model_id& model, bool load, time_point now,
        time_point expires_at);
    void record_adapter_command(const model_id& model,
        const adapter_id& adapter, bool load, time_point now);
    /// Records an unload that the engine executes once the requests that use
    /// the adapter have ended. It accepts no other command before that.
    void record_deferred_unload(const model_id& model,
        const adapter_id& adapter, time_point now, time_point expires_at);
    /// Whether a report read at `now` reflects all accepted commands.
    bool reports_caught_up(time_point now) const
    {
        return now - accepted_at_ >= report_lag;
    }
    /// Records that an adapter has been loaded, which reports show only some
    /// hundred milliseconds later.
    void mark_adapter_loaded(const model_id& model, const adapter_id& adapter);

    bool holds(const model_id& model) const;
    bool holds(const model_id& model, const adapter_id& adapter) const;
    bool is_loading(const model_id& model, const adapter_id& adapter) const;
    /// Whether the engine has the weights in memory or on disk, so that a load
    /// needs no copy from the weight store.
    bool has_local_copy(const model_id& model) const
    {
        return local_models_.contains(model);
    }
    std::int64_t adapters_in_use() const;
    /// Loaded adapters with their models.
    std::vector<std::pair<model_id, adapter_id>> loaded_adapters() const;

    /// Weight memory in bytes that no loaded, loading or unloading model or
    /// adapter uses.
    std::int64_t free_bytes(const routes::engine_group& group) const;
    /// The state as input for the placement planner.
    placement::engine_view view(const endpoint_id& id,
        const routes::engine_group& group, bool usable, bool may_return) const;

    /// Whether a call to the engine is in flight.
    bool call_in_flight = false;
    /// Whether a coroutine reads the engine's reports until nothing is pending.
    bool polling = false;

private:
    void erase_adapter(const model_id& model, const adapter_id& adapter);

    std::int64_t started_unix_ms_ = 0;
    std::int64_t accepted_commands_ = 0;
    time_point accepted_at_{};
    bool known_ = false;
    std::vector<endpoints::loaded_model> models_;
    std::set<std::pair<model_id, adapter_id>> loading_adapters_;
    std::set<model_id> local_models_;
    std::optional<pending_model_command> pending_;
    bool busy_ = false;
    struct deferred_unload
    {
        model_id model;
        adapter_id adapter;
        time_point expires_at;
    };
    std::optional<deferred_unload> deferred_unload_;
};

} // namespace tarragonquay::gateway
