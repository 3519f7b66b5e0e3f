#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "store/client.hpp"

namespace tarragonquay::store
{

/// In-memory table service for tests. Handlers run synchronously, inside the
/// call. Not thread-safe.
class fake_store
{
public:
    /// Fault that is injected into later calls.
    enum class fault
    {
        none,
        /// Calls fail with `store_unavailable` and have no effect.
        down,
        /// Writes take effect, but the caller sees `store_outcome_unknown`;
        /// reads fail.
        answers_lost
    };

    void set_fault(fault value) { fault_ = value; }

    /// Injects the fault into all calls after the next `count` ones.
    void set_fault_after(int count, fault value)
    {
        calls_before_fault_ = count;
        pending_fault_ = value;
    }

    /// Contents at a moment, as a copy of the store keeps them.
    struct contents
    {
        std::map<std::string, row> rows;
        std::int64_t revision = 0;
    };

    contents copy() const { return {rows_, revision_}; }
    /// Restores the store from an older copy in the next era. Later writes are
    /// lost, and their versions are assigned again.
    void restore(contents from)
    {
        rows_ = std::move(from.rows);
        revision_ = from.revision;
        ++era_;
    }
    std::int64_t era() const { return era_; }

    std::int64_t revision() const { return revision_; }
    const std::map<std::string, row>& rows() const { return rows_; }

    void transact(std::vector<condition> conditions, std::vector<write> writes,
        time_point /*deadline*/, handler<transact_outcome> on_done)
    {
        count_call();
        if (fault_ == fault::down)
            return on_done(fail(error_code::store_unavailable, "store down"));
        auto outcome = apply(conditions, writes);
        if (fault_ == fault::answers_lost)
            return on_done(
                fail(error_code::store_outcome_unknown, "answer lost"));
        on_done(std::move(outcome));
    }

    void read(std::vector<std::string> keys, time_point /*deadline*/,
        handler<std::vector<row>> on_done)
    {
        count_call();
        if (fault_ != fault::none)
            return on_done(fail(error_code::store_unavailable, "store down"));
        std::vector<row> found;
        for (const auto& key : keys)
        {
            const auto it = rows_.find(key);
            if (it != rows_.end())
                found.push_back(it->second);
        }
        on_done(std::move(found));
    }

    void scan(std::string prefix, std::string after, std::int32_t limit,
        time_point /*deadline*/, handler<scan_page> on_done)
    {
        count_call();
        if (fault_ != fault::none)
            return on_done(fail(error_code::store_unavailable, "store down"));
        scan_page page;
        auto it = after.empty() ? rows_.lower_bound(prefix)
                                : rows_.upper_bound(after);
        for (; it != rows_.end() && it->first.starts_with(prefix); ++it)
        {
            if (static_cast<std::int32_t>(page.rows.size()) == limit)
            {
                page.more = true;
                break;
            }
            page.rows.push_back(it->second);
        }
        on_done(std::move(page));
    }

private:
    void count_call()
    {
        if (calls_before_fault_ < 0)
            return;
        if (calls_before_fault_-- == 0)
            fault_ = pending_fault_;
    }

    transact_outcome apply(const std::vector<condition>& conditions,
        const std::vector<write>& writes)
    {
        for (const auto& expected : conditions)
        {
            const auto it = rows_.find(expected.key);
            const auto version = it == rows_.end() ? 0 : it->second.version;
            if (version != expected.version)
                return {false, 0, expected.key, version};
        }
        ++revision_;
        for (const auto& change : writes)
        {
            if (change.value)
                rows_[change.key] = {change.key, *change.value, revision_};
            else
                rows_.erase(change.key);
        }
        return {true, revision_, {}, 0};
    }

    std::map<std::string, row> rows_;
    std::int64_t revision_ = 0;
    std::int64_t era_ = 0;
    fault fault_ = fault::none;
    fault pending_fault_ = fault::none;
    int calls_before_fault_ = -1;
};

static_assert(table_store<fake_store>);

} // namespace tarragonquay::store
