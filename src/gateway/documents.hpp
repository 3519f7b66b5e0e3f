#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "gateway/context.hpp"
#include "remote_store/calls.hpp"

namespace tarragonquay::gateway
{

/// Takes the operator's configuration and the endpoint directory from the
/// store or from other gateways, and puts what is newer in force. Keeps the
/// documents as they came, for gateways that the store turns away.
class documents
{
public:
    explicit documents(context& ctx) : ctx_(ctx) {}

    /// Puts a configuration in force if it is newer. `source` is for the log.
    void apply_configuration(const std::string& document, const char* source);

    /// The whole directory at a version.
    void apply_directory(const remote_store::table_changes& rows,
        const char* source, time_point now);
    /// Changes of the directory.
    void apply_directory_changes(
        const remote_store::table_changes& changes, time_point now);
    /// Told when changes of the directory have been put in force: the version
    /// before them, and the changes. Erased entries that may come back are told
    /// once they are gone for good.
    void on_directory_changes(std::function<void(
            std::int64_t after, const remote_store::table_changes&)>
            observer)
    {
        on_directory_changes_ = std::move(observer);
    }
    /// The store answers again after a failure. Entries that lapsed meanwhile
    /// may come back, so that they are kept for a while.
    void note_store_recovery(time_point now);
    /// Erases the entries that have not come back.
    void tick(time_point now);

    std::int64_t configuration_version() const
    {
        return ctx_.routes ? ctx_.routes->version() : 0;
    }
    const std::string& configuration() const { return configuration_; }
    std::int64_t directory_version() const { return directory_version_; }
    /// Equal for equal directories.
    std::uint64_t directory_digest() const;
    const std::map<std::string, std::string>& directory() const
    {
        return directory_;
    }

private:
    using row_iterator = std::vector<remote_store::changed_row>::const_iterator;

    /// Whether a change is in force already; `later` to `end` follow it.
    bool is_applied(const remote_store::changed_row& change, row_iterator later,
        row_iterator end) const;
    void notify_observer(
        std::int64_t after, std::vector<remote_store::changed_row> rows);
    void put_entry(
        const std::string& key, const std::string& value, time_point now);
    /// Returns whether the entry is gone at once.
    bool erase_entry(const std::string& key, time_point now);
    void erase_now(const std::string& key);

    context& ctx_;
    std::string configuration_;
    /// Rows by key.
    std::map<std::string, std::string> directory_;
    std::int64_t directory_version_ = 0;
    std::function<void(std::int64_t, const remote_store::table_changes&)>
        on_directory_changes_;
    time_point keep_lapsed_until_{};
    /// Lapsed entries and when they are erased.
    std::map<std::string, time_point> lapsed_;
};

} // namespace tarragonquay::gateway
