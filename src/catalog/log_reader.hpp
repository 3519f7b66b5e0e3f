#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "catalog/applied_configuration.hpp"
#include "catalog/rows.hpp"
#include "catalog/snapshot_writer.hpp"
#include "catalog/store_access.hpp"
#include "common/error.hpp"
#include "config.pb.h"
#include "store/client.hpp"

namespace tarragonquay::catalog
{

/// Applies the configuration changes in the store, from its log and from its
/// latest snapshot.
template <store::table_store Store, clock_source Clock>
class log_reader
{
public:
    using completion = std::function<void(result<void>)>;

    /// All three must outlive this object. No handler of this object runs after
    /// `access` is destroyed.
    log_reader(const store_access<Store, Clock>& access,
        const object_store& objects, applied_configuration& applied)
        : access_(access), objects_(objects), applied_(applied)
    {
    }

    log_reader(const log_reader&) = delete;
    log_reader& operator=(const log_reader&) = delete;

    /// Applies all changes up to the revision `target`. Loads the stored
    /// snapshot first when the target is more than `snapshot_interval`
    /// revisions ahead.
    void catch_up(std::int64_t target, completion on_done)
    {
        if (applied_.revision() >= target)
            return on_done({});
        if (target - applied_.revision() > snapshot_interval)
            return load_snapshot(target, false, std::move(on_done));
        read_log(target, true, std::move(on_done));
    }

private:
    void read_log(
        std::int64_t target, bool may_load_snapshot, completion on_done)
    {
        if (applied_.revision() >= target)
            return on_done({});
        std::vector<std::string> keys;
        const auto last =
            std::min(target, applied_.revision() + snapshot_interval);
        for (auto next = applied_.revision() + 1; next <= last; ++next)
            keys.push_back(rows::log_key(next));
        access_.store().read(std::move(keys), access_.call_deadline(),
            access_.template on_control<std::vector<store::row>>(
                [this, target, last, may_load_snapshot,
                    on_done = std::move(on_done)](
                    const result<std::vector<store::row>>& found)
                {
                    if (!found)
                        return on_done(tl::unexpected(found.error()));
                    const auto applied = apply_rows(*found);
                    if (applied_.revision() >= last)
                        return read_log(target, true, on_done);
                    // The missing rows were erased; a snapshot contains their
                    // changes.
                    if (may_load_snapshot)
                        return load_snapshot(target, true, on_done);
                    on_done(applied ? fail(error_code::not_found,
                                          fmt::format("log row {} is missing",
                                              applied_.revision() + 1))
                                    : applied);
                }));
    }

    result<void> apply_rows(const std::vector<store::row>& found)
    {
        std::vector<config::Change> changes;
        for (const auto& row : found)
        {
            config::Change change;
            if (!change.ParseFromString(row.value))
                return fail(error_code::malformed_message,
                    fmt::format(
                        "row {} does not contain a valid change", row.key));
            changes.push_back(std::move(change));
        }
        std::sort(changes.begin(), changes.end(),
            [](const auto& left, const auto& right)
            { return left.revision() < right.revision(); });
        return applied_.apply(changes);
    }

    /// `required`: log rows are missing, so that without a newer snapshot the
    /// target can't be reached.
    void load_snapshot(std::int64_t target, bool required, completion on_done)
    {
        access_.read_revision(rows::snapshot_pointer_key,
            access_.call_deadline(),
            [this, target, required, on_done = std::move(on_done)](
                const result<rows::revision_row>& pointer)
            {
                if (!pointer)
                    return on_done(tl::unexpected(pointer.error()));
                if (pointer->revision <= applied_.revision())
                {
                    if (required)
                        return on_done(fail(error_code::not_found,
                            fmt::format("neither log row {} nor a newer "
                                        "snapshot exists",
                                applied_.revision() + 1)));
                    return read_log(target, false, on_done);
                }
                fetch_snapshot(target, pointer->revision, on_done);
            });
    }

    void fetch_snapshot(
        std::int64_t target, std::int64_t stored, completion on_done)
    {
        objects_.fetch(rows::snapshot_object_name(stored),
            access_.call_deadline(),
            access_.template on_control<std::optional<std::string>>(
                [this, target, on_done = std::move(on_done)](
                    const result<std::optional<std::string>>& content)
                {
                    if (!content)
                        return on_done(tl::unexpected(content.error()));
                    config::Snapshot message;
                    if (!*content || !message.ParseFromString(**content))
                        return on_done(fail(error_code::malformed_message,
                            "the stored snapshot is missing or unreadable"));
                    if (auto installed = applied_.install(message); !installed)
                        return on_done(installed);
                    read_log(target, false, on_done);
                }));
    }

    const store_access<Store, Clock>& access_;
    const object_store& objects_;
    applied_configuration& applied_;
};

} // namespace tarragonquay::catalog
