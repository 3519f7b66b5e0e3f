#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "gateway/context.hpp"
#include "gateway/evacuations.hpp"
#include "gateway/feed_schedule.hpp"
#include "remote_store/calls.hpp"
#include "store/store_version.hpp"

namespace tarragonquay::gateway
{

/// Order of configuration documents. The own version of a document decides, so
/// that a restored store never brings back an older configuration than one that
/// was used. Of equal ones, that of the later era of the store is newer: the
/// operator may have assigned the version of a lost document again.
struct configuration_version
{
    std::int64_t version = 0;
    std::int64_t era = 0;

    auto operator<=>(const configuration_version&) const = default;
};

/// Applies newer versions of the operator's configuration and the endpoint
/// directory, received from the store or from other gateways. Keeps the
/// documents in their original encoding for gateways that cannot read the
/// store.
class documents
{
public:
    /// In a fleet that follows the store, a call ends each second. This leaves
    /// a second for a slow store and for the heartbeat that tells its answer.
    static constexpr duration answer_lifetime =
        feed_schedule::max_distance + std::chrono::milliseconds(1'000);

    explicit documents(context& ctx) : ctx_(ctx), evacuations_(ctx) {}

    /// Applies a configuration that the store returned in this era, if it is
    /// newer. `source` is written to the log.
    void apply_configuration(
        const std::string& document, const char* source, std::int64_t era);
    /// Records that the store returned the active configuration in this era.
    void confirm_configuration(std::int64_t era)
    {
        configuration_era_ = std::max(configuration_era_, era);
    }
    /// Applies the settings' bounds to the configuration in force.
    void apply_bounds();

    /// Replaces the directory by its full contents at a version. Entries that a
    /// restored store lacks are kept for the configured recovery time, since
    /// they may be registered again.
    void apply_directory(const remote_store::table_changes& rows,
        const char* source, time_point now);
    /// Applies changes of the directory, which must be of the same era as the
    /// directory.
    void apply_directory_changes(
        const remote_store::table_changes& changes, time_point now);
    /// Sets the observer that is called with the previous version and the
    /// changes after changes of the directory were applied. Erased entries that
    /// may be registered again are reported once they are finally erased.
    void on_directory_changes(
        std::function<void(const store::store_version& after,
            const remote_store::table_changes&)>
            observer)
    {
        on_directory_changes_ = std::move(observer);
    }
    /// Records that the store answered a call of this instance for the
    /// directory.
    void note_store_answer(time_point now);
    /// When the store last answered such a call.
    std::optional<time_point> store_answered_at() const
    {
        return store_answered_at_;
    }
    /// Records when the store answered such a call of another instance.
    void note_peer_answer(time_point at) { note_contact(at); }
    /// Whether the store has answered such a call of any instance lately. While
    /// an open call waits, nothing else shows that the store still answers.
    bool answered_lately(time_point now) const
    {
        return contact_at_ && now < *contact_at_ + answer_lifetime;
    }
    /// Records that the store answers this instance again, whose calls have
    /// failed since then. If it answered no instance for so long that entries
    /// of live endpoints may have expired, these may be registered again, so
    /// they are kept for the configured recovery time.
    void note_store_recovery(time_point failing_since, time_point now);
    /// Erases expired entries that were not registered again in time.
    void tick(time_point now);

    /// Applies the whole operator's table, or changes of it.
    void apply_operator_table(
        const remote_store::table_changes& rows, time_point now);
    void apply_operator_changes(
        const remote_store::table_changes& changes, time_point now);
    /// The zones that the operator has evacuated.
    gateway::evacuations& evacuations() { return evacuations_; }
    const gateway::evacuations& evacuations() const { return evacuations_; }

    gateway::configuration_version configuration_version() const
    {
        return {ctx_.routes ? ctx_.routes->version() : 0, configuration_era_};
    }
    /// Hash of the active configuration; equal for equal documents.
    std::uint64_t configuration_digest() const;
    const std::string& configuration() const { return configuration_; }
    const store::store_version& directory_version() const
    {
        return directory_version_;
    }
    /// Hash of the contents; equal for equal directories.
    std::uint64_t directory_digest() const;
    const std::map<std::string, std::string>& directory() const
    {
        return directory_;
    }

private:
    void apply_operator_rows(const remote_store::table_changes& rows);

    using row_iterator = std::vector<remote_store::changed_row>::const_iterator;

    /// Whether a change has been applied already; `later` to `end` are the
    /// changes that follow it.
    bool is_applied(const remote_store::changed_row& change, row_iterator later,
        row_iterator end) const;
    void notify_observer(const store::store_version& after,
        std::vector<remote_store::changed_row> rows);
    void put_entry(
        const std::string& key, const std::string& value, time_point now);
    /// Returns whether the entry was erased immediately.
    bool erase_entry(const std::string& key, time_point now);
    void erase_now(const std::string& key);
    void note_contact(time_point at);

    context& ctx_;
    gateway::evacuations evacuations_;
    std::string configuration_;
    std::int64_t configuration_era_ = 0;
    /// Rows by key.
    std::map<std::string, std::string> directory_;
    store::store_version directory_version_;
    std::function<void(
        const store::store_version&, const remote_store::table_changes&)>
        on_directory_changes_;
    std::optional<time_point> store_answered_at_;
    /// Latest answer of the store to any instance.
    std::optional<time_point> contact_at_;
    /// End of the latest outage in which entries may have expired.
    std::optional<time_point> outage_ended_at_;
    time_point keep_lapsed_until_{};
    /// Expired entries that are kept, and when they are erased.
    std::map<std::string, time_point> lapsed_;
};

} // namespace tarragonquay::gateway
