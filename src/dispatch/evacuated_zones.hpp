#pragma once

#include <compare>
#include <set>
#include <string>

#include "common/error.hpp"
#include "store/store_version.hpp"

namespace tarragonquay::dispatch
{

/// The availability zones whose endpoints get no new requests, with the version
/// of the store's table that holds them. Of two sets, the one with the higher
/// version holds, in whatever order they are received.
class evacuated_zones
{
public:
    /// No zone, at the version of a table that was never read.
    evacuated_zones() = default;

    /// Fails with malformed_message when a zone has no plain name or the
    /// version is negative.
    static result<evacuated_zones> create(
        store::store_version version, std::set<std::string> zones);

    /// The lowest one when nothing is known about the table.
    const store::store_version& version() const { return version_; }
    const std::set<std::string>& zones() const { return zones_; }
    bool empty() const { return zones_.empty(); }
    bool contains(const std::string& zone) const
    {
        return !zones_.empty() && zones_.contains(zone);
    }
    /// The zones of `next` that this set lacks.
    std::set<std::string> added_by(const evacuated_zones& next) const;

    auto operator<=>(const evacuated_zones&) const = default;

private:
    store::store_version version_;
    std::set<std::string> zones_;
};

} // namespace tarragonquay::dispatch
