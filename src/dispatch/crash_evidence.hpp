#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "dispatch/prompt.hpp"

namespace tarragonquay::dispatch
{

/// The end of an engine process under which a request was lost that waited or
/// had just begun.
struct crash_record
{
    /// Identifies the ended process: hash of the endpoint and of its start.
    std::uint64_t process = 0;
    /// Id of the last part of the lost prompt, which tells requests apart.
    std::uint64_t request = 0;
    time_point at;

    auto operator<=>(const crash_record&) const = default;
};

/// What is known of one part of prompts. Instances exchange these records.
struct part_record
{
    std::uint64_t part = 0;
    /// Latest time at which a request with the part was established: an engine
    /// had answered it completely or for a while.
    std::optional<time_point> answered_at;
    /// Crashes since then, one for each process, ordered by process.
    std::vector<crash_record> crashes;

    auto operator<=>(const part_record&) const = default;
};

/// How to treat a request, judged by the parts of its prompt.
enum class prompt_verdict
{
    /// Send it, and repeat it as its route permits.
    unsuspected,
    /// One of its parts may crash engines: send it while no other request with
    /// that part is in flight, and do not repeat it after a crash.
    suspect,
    /// One of its parts crashes engines: refuse it.
    refused,
    /// As `refused`, but the refusal has expired: one instance of the fleet may
    /// send one such request to find out whether it still applies.
    expired
};

std::string_view to_string(prompt_verdict value);

/// Numbers of crashes from which verdicts follow.
struct crash_thresholds
{
    /// Crashes after which a part is suspect: one may be a coincidence.
    std::size_t suspect = 2;
    /// Crashes, under at least two requests, after which a part is refused.
    std::size_t refuse = 3;
    /// Crashes after which a part is refused even if only one prompt was lost.
    std::size_t refuse_one_request = 4;
    /// Crashes that follow each other within this time count once for a
    /// refusal: engines of an availability zone may end together.
    std::chrono::milliseconds coincidence{200};
};

/// Finds the parts of prompts that crash every engine that answers them.
///
/// When an engine ends, all requests that wait or have just begun there are
/// lost with it, and only one of them is the cause. Every part of the lost
/// prompts but the last gets a crash record; an established answer to any
/// request with the part, at any instance, clears its records. A part that
/// crashes engines gets one or a few events at most, so its records add up,
/// while parts of sound requests are cleared within seconds. Crashes that a
/// refused part explains do not count against other parts.
class crash_evidence
{
public:
    /// Lifetime of the records of a part that is not refused.
    static constexpr std::chrono::seconds record_lifetime{60};
    /// Duration of a refusal. Doubles each time an engine crashes after it has
    /// expired, up to the maximum.
    static constexpr std::chrono::seconds initial_refusal{60};
    static constexpr std::chrono::seconds max_refusal{3'600};
    /// How long the answer that cleared a part is still reported after it
    /// cleared crashes here or a report of cleared crashes has arrived.
    static constexpr std::chrono::seconds cleared_lifetime{5};
    /// Parts with records; those with the fewest crashes are dropped first,
    /// then those that were answered, then those with the oldest crashes.
    static constexpr std::size_t max_parts = 64;
    /// Cleared parts in the records that are sent, the latest answers first.
    static constexpr std::size_t max_reported_answers = 16;
    /// Crash records of one part; the oldest are dropped first.
    static constexpr std::size_t max_crashes = 16;
    /// Parts whose latest answer is remembered.
    static constexpr std::size_t max_answered_parts = 8'192;

    explicit crash_evidence(const crash_thresholds& thresholds = {})
        : thresholds_(thresholds)
    {
    }

    /// Records that an engine has answered the request completely or for a
    /// while.
    void note_answer(const prompt& request, time_point now);
    /// Records that the engine process ended while the request waited for its
    /// first event or had just begun.
    void note_crash(const prompt& request, const endpoint_id& endpoint,
        std::int64_t started_unix_ms, time_point now);

    prompt_verdict judge(const prompt& request, time_point now) const;
    /// The parts of the request that its verdict is based on.
    std::vector<std::uint64_t> blamed_parts(
        const prompt& request, time_point now) const;
    /// When the refusal of the request expires; `now` when it is not refused.
    time_point refused_until(const prompt& request, time_point now) const;
    /// When the refusal of the request expires or has expired; the start of the
    /// clock when it was never refused.
    time_point refusal_end(const prompt& request) const;
    /// Largest number of recent crashes under one part of the request.
    std::size_t crashes_under(const prompt& request) const;

    /// Records to be sent to other instances; at most `max_parts`.
    std::vector<part_record> records(time_point now) const;
    /// Adds the records of another instance. Returns whether they contained
    /// news or lacked an answer that this instance knows of. Entries that
    /// displace others, because there is no room left, are no news.
    bool merge(const std::vector<part_record>& reported, time_point now);
    /// Drops records that have expired.
    void expire(time_point now);

    /// Counter that grows with each change that can alter a verdict.
    std::uint64_t revision() const { return revision_; }

private:
    struct finding
    {
        /// Parts with the same crashes: only a request with all of them is
        /// known to be bad.
        std::set<std::uint64_t> parts;
        time_point refused_until;
    };
    struct findings
    {
        std::vector<finding> refused;
        std::set<std::uint64_t> suspects;
    };

    struct known_part : part_record
    {
        /// A part without crashes is reported until this time.
        time_point report_answer_until;
    };

    struct crash_position
    {
        std::uint64_t part = 0;
        std::uint64_t process = 0;
        /// The crash took the place of another or its part that of another.
        bool displaces = false;
    };

    bool add_crash(known_part& to, const crash_record& crash);
    bool add_answer(known_part& to, time_point at, time_point now);
    bool is_cleared(known_part& by, const crash_record& crash, time_point now);
    known_part& record_of(std::uint64_t part);
    std::vector<crash_position> remove_ending(
        const std::vector<crash_position>& added, time_point now);
    bool proves_cause(const std::vector<crash_record>& crashes) const;
    void remember_answer(std::uint64_t part, time_point at);
    void changed();
    void make_room();
    /// The weakest entries in excess of the limit.
    static std::vector<const known_part*> weakest_beyond(
        std::size_t limit, std::vector<const known_part*> of);
    const findings& current() const;
    findings evaluate() const;
    const finding* find_refusal(const prompt& request) const;

    crash_thresholds thresholds_;
    std::map<std::uint64_t, known_part> records_;
    /// Latest answers, least recent first in the list.
    struct answered_part
    {
        time_point at;
        std::list<std::uint64_t>::iterator position;
    };
    std::unordered_map<std::uint64_t, answered_part> answered_;
    std::list<std::uint64_t> answered_order_;
    std::uint64_t revision_ = 0;
    mutable std::optional<findings> findings_;
};

} // namespace tarragonquay::dispatch
