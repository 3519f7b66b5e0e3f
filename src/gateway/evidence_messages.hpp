#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "common/clock.hpp"
#include "dispatch/crash_evidence.hpp"
#include "peer.pb.h"

namespace tarragonquay::gateway
{

/// Older ages in messages are clamped to this one: the longest history that
/// the crashes of one part can span, as each refusal lasts for at most
/// `max_refusal`. Shorter histories would shorten refusals, which double with
/// each repetition.
inline constexpr std::chrono::seconds max_evidence_age =
    dispatch::crash_evidence::max_refusal *
    static_cast<int>(dispatch::crash_evidence::max_crashes);

/// The content of a message, after checks.
struct received_evidence
{
    std::vector<dispatch::part_record> records;
    /// Number of parts, answers and crashes that were ignored.
    std::size_t ignored = 0;
};

/// Writes times as ages in milliseconds at `now`.
void write(const std::vector<dispatch::part_record>& from, time_point now,
    peer::Evidence_update& to);

/// Ignores answers and crashes with a negative age, and what exceeds
/// `max_parts` parts or `max_crashes` crashes of one part.
received_evidence read(const peer::Evidence_update& from, time_point now);

} // namespace tarragonquay::gateway
