#include "catalog/applied_configuration.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace tarragonquay::catalog
{

applied_configuration::applied_configuration(
    published_state& published, const replica_observer& observer)
    : published_(published), observer_(observer)
{
}

result<void> applied_configuration::apply(
    const std::vector<config::Change>& changes)
{
    for (const auto& change : changes)
    {
        if (change.revision() <= revision())
            continue;
        if (change.revision() != revision() + 1)
            return fail(error_code::conflict,
                fmt::format("change {} does not follow revision {}; changes "
                            "are missing",
                    change.revision(), revision()));
        auto next = current_.apply(change);
        if (!next)
            return tl::unexpected(next.error());
        current_ = std::move(*next);
        recent_.push_back(change);
        if (recent_.size() > max_recent_changes)
            recent_.pop_front();
        published_.publish(current_);
        observer_.on_applied(current_, change);
    }
    return {};
}

result<void> applied_configuration::install(const config::Snapshot& message)
{
    if (message.revision() <= revision())
        return {};
    auto next = snapshot::from_proto(message);
    if (!next)
        return tl::unexpected(next.error());
    current_ = std::move(*next);
    // The changes between the old revision and the snapshot are unknown.
    recent_.clear();
    published_.publish(current_);
    observer_.on_snapshot_installed(current_);
    return {};
}

std::optional<std::vector<config::Change>> applied_configuration::changes_after(
    std::int64_t after) const
{
    const auto kept = static_cast<std::int64_t>(recent_.size());
    if (after < revision() - kept)
        return std::nullopt;
    const auto skipped = std::min(kept, after - (revision() - kept));
    return std::vector<config::Change>(
        recent_.begin() + skipped, recent_.end());
}

std::int64_t applied_configuration::first_recent_revision() const
{
    return revision() - static_cast<std::int64_t>(recent_.size()) + 1;
}

std::optional<std::int64_t> applied_configuration::recent_revision(
    const std::string& operation_id) const
{
    const auto found = std::find_if(recent_.rbegin(), recent_.rend(),
        [&](const config::Change& change)
        { return change.operation_id() == operation_id; });
    if (found == recent_.rend())
        return std::nullopt;
    return found->revision();
}

} // namespace tarragonquay::catalog
