#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog/rows.hpp"
#include "common/clock.hpp"
#include "common/log.hpp"
#include "config.pb.h"
#include "store/client.hpp"

namespace tarragonquay::catalog
{

/// Number of revisions between stored snapshots.
inline constexpr std::int64_t snapshot_interval = 256;
/// Number of revisions between checks whether a snapshot is due. It is shorter
/// than `snapshot_interval`, so that a failed or interrupted snapshot is
/// retried soon.
inline constexpr std::int64_t snapshot_check_interval = 16;

/// Functions of the object store; tests replace them.
struct object_store
{
    std::function<void(std::string name, std::string content, time_point,
        store::handler<bool>)>
        put;
    std::function<void(std::string name, time_point,
        store::handler<std::optional<std::string>>)>
        fetch;
};

/// Stores a snapshot when one is due: writes the object, then the row that
/// points to it, then erases the log rows that no reader needs any more and the
/// rows of their operations. A failure leaves the older snapshot and a longer
/// log in place, which is safe. All steps run inside the store's handlers and
/// use no state of the replica.
template <store::table_store Store>
class snapshot_writer
    : public std::enable_shared_from_this<snapshot_writer<Store>>
{
public:
    snapshot_writer(Store& store, std::int64_t revision, time_point deadline)
        : store_(store), revision_(revision), deadline_(deadline)
    {
    }

    void start(object_store objects, std::string content)
    {
        read_pointer(
            [self = this->shared_from_this(), objects = std::move(objects),
                content = std::move(content)](const rows::revision_row& pointer)
            {
                if (pointer.revision <= self->revision_ - snapshot_interval)
                    self->put_object(objects, content);
            });
    }

private:
    template <typename Function>
    void read_pointer(Function on_read)
    {
        store_.read({rows::snapshot_pointer_key}, deadline_,
            [self = this->shared_from_this(), on_read = std::move(on_read)](
                const result<std::vector<store::row>>& found)
            {
                if (!found)
                    return self->log_failure("pointer", found.error());
                const auto pointer = rows::parse_revision_row(*found);
                if (!pointer)
                    return self->log_failure("pointer", pointer.error());
                on_read(*pointer);
            });
    }

    void put_object(const object_store& objects, std::string content)
    {
        objects.put(rows::snapshot_object_name(revision_), std::move(content),
            deadline_,
            [self = this->shared_from_this()](const result<bool>& stored)
            {
                if (!stored)
                    return self->log_failure("object", stored.error());
                self->read_pointer(
                    [self](const rows::revision_row& pointer)
                    {
                        // A slow writer must not replace a newer snapshot.
                        if (pointer.revision < self->revision_)
                            self->write_pointer(pointer.version);
                    });
            });
    }

    void write_pointer(std::int64_t version)
    {
        store_.transact({{rows::snapshot_pointer_key, version}},
            {{rows::snapshot_pointer_key, std::to_string(revision_)}},
            deadline_,
            [self = this->shared_from_this()](
                const result<store::transact_outcome>& outcome)
            {
                if (!outcome)
                    self->log_failure("pointer", outcome.error());
                else if (outcome->applied)
                    self->scan_log();
            });
    }

    /// Erases log rows in small batches: the store limits the writes per
    /// second, and one large transaction would delay operators' changes or
    /// cause them to be rejected.
    void scan_log()
    {
        store_.scan(rows::log_key_prefix, "", erase_batch_rows, deadline_,
            [self = this->shared_from_this()](
                const result<store::scan_page>& page)
            {
                if (page)
                    self->erase_log(page->rows);
                else
                    self->log_failure("log", page.error());
            });
    }

    /// Keeps the log rows of one interval before the snapshot for readers that
    /// have just loaded the previous snapshot. An operation's row is erased
    /// together with its log row: while the log row exists, no later operation
    /// can have used the same id.
    void erase_log(const std::vector<store::row>& found)
    {
        const auto last_erased = rows::log_key(revision_ - snapshot_interval);
        std::vector<store::condition> present;
        std::vector<store::write> erasures;
        for (const auto& row : found)
        {
            if (row.key > last_erased)
                continue;
            present.push_back({row.key, row.version});
            erasures.push_back({row.key, std::nullopt});
            config::Change change;
            if (change.ParseFromString(row.value))
                erasures.push_back(
                    {rows::operation_key(change.operation_id()), std::nullopt});
        }
        if (erasures.empty())
            return;
        store_.transact(std::move(present), std::move(erasures), deadline_,
            [self = this->shared_from_this()](
                const result<store::transact_outcome>& outcome)
            {
                if (!outcome)
                    self->log_failure("log", outcome.error());
                else if (outcome->applied)
                    self->scan_log();
            });
    }

    void log_failure(std::string_view step, const error& reason)
    {
        TQ_LOG(logger_, warning)
            << "Stopped storing snapshot " << revision_ << " at the " << step
            << ": " << reason.message() << ".";
    }

    static constexpr std::int32_t erase_batch_rows = 16;

    Store& store_;
    const std::int64_t revision_;
    const time_point deadline_;
    log::logger logger_ = log::make_logger("catalog");
};

} // namespace tarragonquay::catalog
