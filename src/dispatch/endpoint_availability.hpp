#pragma once

#include <compare>
#include <optional>
#include <string_view>

#include "common/clock.hpp"

namespace tarragonquay::dispatch
{

/// How an instance learned that an endpoint is leaving.
enum class leaving_source
{
    /// Its entry in the directory says so.
    directory,
    /// Its answers say so.
    own_answer,
    /// Another process answers at its address.
    misdirected,
    /// Another instance says so.
    peer
};

std::string_view to_string(leaving_source value);

/// Whether one endpoint process accepts requests, as learned from several
/// sources. The result does not depend on the order in which they report, or on
/// how often. A process that is leaving stays so; a new process at the same
/// address needs a new value.
class endpoint_availability
{
public:
    /// Records that the process is leaving; returns whether this is news.
    bool note_leaving(leaving_source source)
    {
        if (leaving_source_)
            return false;
        leaving_source_ = source;
        return true;
    }

    /// Records that the endpoint wants no requests until then; of several
    /// pauses, the one that ends last holds. Returns whether this is news.
    bool note_pause(time_point until)
    {
        if (until <= paused_until_)
            return false;
        paused_until_ = until;
        return true;
    }

    bool leaving() const { return leaving_source_.has_value(); }
    bool paused(time_point now) const { return now < paused_until_; }
    /// End of the latest pause, which may have passed.
    time_point paused_until() const { return paused_until_; }
    /// The first source that reported that the process is leaving.
    std::optional<leaving_source> source() const { return leaving_source_; }
    bool accepts_requests(time_point now) const
    {
        return !leaving() && !paused(now);
    }

    auto operator<=>(const endpoint_availability&) const = default;

private:
    std::optional<leaving_source> leaving_source_;
    time_point paused_until_{};
};

} // namespace tarragonquay::dispatch
