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

/// What the ledger knows about one engine.
struct engine_account
{
    bool honours_fencing = false;
    std::optional<routing::endpoint_report> report;
    std::map<std::string, intent> intents;
    // Commands whose only copy was answered; none is left on its way.
    std::set<std::string> answered;
    // Commands whose effect was seen, although a copy may be on its way.
    std::set<std::string> effect_seen;
    // Reports that arrived since `require_fresh_reports`. The second one was
    // asked for after the first one arrived, so it can't be older; polls of
    // one engine follow one another.
    int reports_since_reset = 0;
};

/// Accounts the accelerator memory of engines: residents and all commands
/// that have not concluded. Never concludes anything because time passed.
class ledger
{
public:
    /// Forgets engines that are not listed, unless they have open intents.
    void set_engine(const endpoint_id& id, bool honours_fencing);
    void remove_engine(const endpoint_id& id);
    /// Sizes of earlier versions are kept, since these may still be resident.
    void set_adapter_bytes(
        const adapter_id& id, const std::string& version, std::int64_t bytes);
    /// Memory of a resident adapter. When the size of its version is not
    /// known, that of its largest known version; 0 when none is known.
    std::int64_t adapter_bytes(const routing::resident_adapter& resident) const;

    /// Ignores all reports that may have been asked for before this call.
    /// Needed after a take-over: an older report may lack the effect of a
    /// command that the previous holder has already concluded.
    void require_fresh_reports(time_point now);

    void add(const intent& value);
    /// The answer to the only copy of the command arrived.
    void mark_answered(const std::string& command_id);
    /// The command was certainly never sent by anybody.
    void remove_intent(const std::string& command_id);

    /// Returns the intents that this report concludes; they are no longer
    /// accounted, and their rows can be erased.
    std::vector<intent> apply(const routing::endpoint_report& report);

    /// Residents, intents and reserved memory. Takes the engine's own figure
    /// when that is higher.
    std::int64_t committed_bytes(const endpoint_id& id) const;
    /// 0 when no fresh report is known.
    std::int64_t free_bytes(const endpoint_id& id) const;

    /// Whether a fresh report is known.
    bool fresh(const endpoint_id& id) const;
    /// Whether the engine may be sent one more command.
    bool accepts_command(const endpoint_id& id) const;
    /// Whether this replica may be counted when another one is unloaded: it
    /// is ready and no copy of an unload command is on its way.
    bool counts_as_ready(const endpoint_id& id, const model_id& model,
        const std::string& version) const;

    std::vector<intent> intents() const;
    std::vector<intent> intents(const endpoint_id& id) const;
    /// Whether neither the effect nor the rejection of the command was seen.
    bool open(const intent& value) const;
    /// Whether the engine's last report lists the command.
    bool listed(const intent& value) const;
    const std::map<endpoint_id, engine_account>& engines() const
    {
        return engines_;
    }
    /// Takes the intents of the table in place of the known ones. Whether a
    /// command was answered is kept for those that stay.
    void replace_intents(const std::vector<intent>& values);

private:
    bool concluded(const engine_account& engine, const intent& value) const;

    std::map<endpoint_id, engine_account> engines_;
    // By version.
    std::map<adapter_id, std::map<std::string, std::int64_t>> adapter_bytes_;
    time_point fresh_since_{};
};

} // namespace tarragonquay::placement
