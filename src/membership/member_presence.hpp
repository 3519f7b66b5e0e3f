#pragma once

#include <map>
#include <string>
#include <vector>

#include "catalog/types.hpp"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "peer.pb.h"

namespace tarragonquay::membership
{

/// Detects members whose process has ended, from the platform's instance list
/// and from messages of restarted instances.
class member_presence
{
public:
    explicit member_presence(catalog::member local) : local_(std::move(local))
    {
    }

    /// Sets the members to track; drops the state of all others.
    void set_members(std::vector<catalog::member> members, time_point now);
    /// Sets the instances that the platform lists, live or leaving. A list that
    /// contains this instance must contain every instance that ran at `as_of`.
    /// A list without this instance is ignored.
    void update_list(const std::vector<instance_id>& instances,
        time_point as_of, time_point now);
    /// Records that the sender has replaced an earlier incarnation of its
    /// instance, if the member had the same peer address.
    void record_replacement(const peer::Envelope& envelope, time_point now);

    /// Whether a later incarnation has used the member's address for longer
    /// than the fencing time.
    bool is_replaced(const catalog::member& member, time_point now) const;
    /// Whether the member has been missing from the list for longer than the
    /// fencing time.
    bool is_unlisted(const catalog::member& member, time_point now) const;

private:
    catalog::member local_;
    std::vector<catalog::member> members_;
    // By incarnation: when it became known as a member, since when it has been
    // missing from the list, and since when another one has used its address.
    std::map<std::string, time_point> known_since_;
    std::map<std::string, time_point> absent_since_;
    std::map<std::string, time_point> replaced_since_;
};

} // namespace tarragonquay::membership
