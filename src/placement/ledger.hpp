#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/types.hpp"
#include "routing/types.hpp"

namespace tarragonquay::placement
{

/// State of one engine in the ledger.
struct engine_account
{
    bool honours_fencing = false;
    std::optional<routing::endpoint_report> report;
    std::map<std::string, intent> intents;
    // Commands that the engine has answered. An engine without fencing gets
    // only one copy of a command, so that none is in flight after the answer.
    std::set<std::string> answered;
    // Commands whose effect was reported, although a copy may be in flight.
    std::set<std::string> effect_seen;
    // Reports that arrived since `require_fresh_reports`. Polls of one engine
    // do not overlap, so the second report was requested after the first one
    // arrived and can't be from before the reset.
    int reports_since_reset = 0;
};

/// Accounts the accelerator memory of engines: resident models and adapters,
/// and all commands that are not concluded. Commands never conclude by timeout.
class ledger
{
public:
    /// Adds an engine or changes whether it honours fencing.
    void set_engine(const endpoint_id& id, bool honours_fencing);
    /// Removes an engine unless it has intents.
    void remove_engine(const endpoint_id& id);
    /// Sizes of earlier versions are kept, since they may still be resident.
    void set_adapter_bytes(
        const adapter_id& id, const std::string& version, std::int64_t bytes);
    /// Memory of a resident adapter in bytes. When the size of its version is
    /// not known, the size of its largest known version; 0 when none is known.
    std::int64_t adapter_bytes(const routing::resident_adapter& resident) const;

    /// Ignores all reports that may have been requested before this call.
    /// Needed after a takeover: an older report may lack the effect of a
    /// command that the previous holder has already concluded.
    void require_fresh_reports(time_point now);

    void add(const intent& value);
    /// Records that the engine has answered the command.
    void mark_answered(const std::string& command_id);
    /// Removes the intent, which is no longer accounted.
    void remove_intent(const std::string& command_id);

    /// Updates the engine's state. Returns the intents that this report
    /// concludes; they are no longer accounted, and their rows can be erased.
    std::vector<intent> apply(const routing::endpoint_report& report);

    /// Bytes of resident models and adapters, or the usage that the engine
    /// reports if that is higher, plus the memory of all intents.
    std::int64_t committed_bytes(const endpoint_id& id) const;
    /// Bytes; 0 when there is no fresh report.
    std::int64_t free_bytes(const endpoint_id& id) const;

    /// Whether there is a report that `require_fresh_reports` allows.
    bool fresh(const endpoint_id& id) const;
    /// Whether another command may be sent to the engine.
    bool accepts_command(const endpoint_id& id) const;
    /// Whether this replica counts as available when another one is unloaded:
    /// it is ready and no copy of an unload command may be in flight.
    bool counts_as_ready(const endpoint_id& id, const model_id& model,
        const std::string& version) const;

    std::vector<intent> intents() const;
    std::vector<intent> intents(const endpoint_id& id) const;
    /// Whether neither the effect nor the rejection of the command was
    /// reported.
    bool open(const intent& value) const;
    /// Whether the engine's last report lists the command.
    bool listed(const intent& value) const;
    const std::map<endpoint_id, engine_account>& engines() const
    {
        return engines_;
    }
    /// Replaces all intents by those of the table. The answers and effects
    /// recorded for commands that remain are kept.
    void replace_intents(const std::vector<intent>& values);

private:
    bool concluded(const engine_account& engine, const intent& value) const;

    std::map<endpoint_id, engine_account> engines_;
    // By version.
    std::map<adapter_id, std::map<std::string, std::int64_t>> adapter_bytes_;
    time_point fresh_since_{};
};

} // namespace tarragonquay::placement
