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

/// What the platform's list and the messages of restarted instances tell of
/// members that have ended.
class member_presence
{
public:
    explicit member_presence(catalog::member local) : local_(std::move(local))
    {
    }

    /// Sets the members whose presence counts; the others are forgotten.
    void set_members(std::vector<catalog::member> members, time_point now);
    /// Sets the instances that the platform lists, live or leaving. A list
    /// that shows this instance must not lack another one that ran at `as_of`;
    /// a list that does not show it is ignored.
    void update_list(const std::vector<instance_id>& instances,
        time_point as_of, time_point now);
    /// Notes that the sender has replaced an earlier incarnation.
    void note_replacement(const peer::Envelope& envelope, time_point now);

    /// Whether a later incarnation has had the member's address for longer
    /// than the fencing time.
    bool is_replaced(const catalog::member& member, time_point now) const;
    /// Whether the list has lacked the member for longer than that.
    bool is_unlisted(const catalog::member& member, time_point now) const;

private:
    catalog::member local_;
    std::vector<catalog::member> members_;
    // By incarnation: since when it is known to run, since when the list
    // lacks it, and since when its address belongs to another one.
    std::map<std::string, time_point> known_since_;
    std::map<std::string, time_point> absent_since_;
    std::map<std::string, time_point> replaced_since_;
};

} // namespace tarragonquay::membership
