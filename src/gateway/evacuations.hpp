#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "common/clock.hpp"
#include "dispatch/evacuated_zones.hpp"
#include "gateway/context.hpp"
#include "remote_store/calls.hpp"

namespace tarragonquay::gateway
{

/// Follows which availability zones the operator has evacuated, from the
/// operator's table of the store or as told by other gateways, and applies the
/// latest set to the endpoint pool.
class evacuations
{
public:
    explicit evacuations(context& ctx) : ctx_(ctx) {}

    const dispatch::evacuated_zones& current() const
    {
        return ctx_.pool.evacuated();
    }
    /// The set to tell other gateways: without the zones that are only kept, so
    /// that each gateway ends these by itself.
    dispatch::evacuated_zones written() const;
    /// Sets the handler that is called after the set of zones has changed.
    void on_change(std::function<void()> handler)
    {
        on_change_ = std::move(handler);
    }

    /// Sets the handler that is called with each zone whose evacuation has
    /// ended.
    void on_taken_back(
        std::function<void(const std::string& zone, time_point now)> handler)
    {
        on_taken_back_ = std::move(handler);
    }

    /// Replaces the set by that of the whole operator's table.
    void apply_table(const remote_store::table_changes& rows, time_point now);
    /// Applies changes of the operator's table; all of them take effect at
    /// once.
    void apply_changes(
        const remote_store::table_changes& changes, time_point now);
    /// Replaces the set if another gateway knows of a later one.
    void apply_told(dispatch::evacuated_zones told, time_point now);
    /// Ends the evacuations that a restored store lacks and that the operator
    /// has not written again in time.
    void tick(time_point now);

private:
    /// The zone that the row's key names; empty for a row of another kind and
    /// for a malformed name, which is logged.
    std::string zone_of(const remote_store::changed_row& row) const;
    /// The current zones that are not kept.
    std::set<std::string> written_zones() const;
    /// Adds the zones to keep to those that the store has.
    dispatch::evacuated_zones with_kept(
        const dispatch::evacuated_zones& written, time_point now);
    void adopt(
        dispatch::evacuated_zones written, const char* source, time_point now);
    void note_emptied(const std::string& zone, const char* source);
    void note_taken_back(
        const std::string& zone, const char* source, time_point now);

    context& ctx_;
    /// Zones that the store lacked after it was restored, and until when they
    /// stay evacuated unless the operator writes them again.
    std::map<std::string, time_point> kept_;
    std::function<void()> on_change_;
    std::function<void(const std::string&, time_point)> on_taken_back_;
};

} // namespace tarragonquay::gateway
