#include "dispatch/crash_evidence.hpp"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "common/digest.hpp"

namespace tarragonquay::dispatch
{

namespace
{

/// Crashes that follow each other more closely belong to one series: requests
/// that were on their way when the part was refused.
constexpr std::chrono::seconds series_gap{30};

/// Reported crashes that expire within this time are not added. Others may have
/// dropped them already and would return them to each other. Exceeds the
/// interval of expire() and the transmission time.
constexpr std::chrono::seconds expiry_margin{2};

std::uint64_t process_key(
    const endpoint_id& endpoint, std::int64_t started_unix_ms)
{
    const std::string_view bytes(
        reinterpret_cast<const char*>(&started_unix_ms),
        sizeof(started_unix_ms));
    return fast_hash(bytes, fast_hash(endpoint.str()));
}

template <class Function>
void for_each_shared_part(const prompt& request, const Function& function)
{
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i)
        function(request.parts[i].id);
}

bool contains_all(const prompt& request, const std::set<std::uint64_t>& parts)
{
    std::size_t found = 0;
    std::set<std::uint64_t> seen;
    for_each_shared_part(request,
        [&](std::uint64_t part)
        {
            if (parts.contains(part) && seen.insert(part).second)
                ++found;
        });
    return found == parts.size();
}

std::set<std::uint64_t> processes_of(const std::vector<crash_record>& crashes)
{
    std::set<std::uint64_t> out;
    for (const auto& each : crashes)
        out.insert(each.process);
    return out;
}

bool has_crash(const part_record& in, std::uint64_t process)
{
    return std::any_of(in.crashes.begin(), in.crashes.end(),
        [process](const crash_record& each)
        { return each.process == process; });
}

bool remove_crash(part_record& from, std::uint64_t process)
{
    return std::erase_if(from.crashes, [process](const crash_record& each)
               { return each.process == process; }) != 0;
}

std::vector<time_point> ordered_times(const std::vector<crash_record>& crashes)
{
    std::vector<time_point> out;
    out.reserve(crashes.size());
    for (const auto& each : crashes)
        out.push_back(each.at);
    std::sort(out.begin(), out.end());
    return out;
}

// Number of crashes when those within the window after a counted one are left
// out.
std::size_t separate_crashes(
    const std::vector<crash_record>& crashes, duration window)
{
    std::size_t out = 0;
    std::optional<time_point> counted;
    for (const auto at : ordered_times(crashes))
        if (!counted || at - *counted >= window)
        {
            counted = at;
            ++out;
        }
    return out;
}

// Order of eviction. Among parts with as many crashes, those that were answered
// are the less likely cause. Keeping the latest lets a part that crashes
// engines gather crashes when the table is full.
std::tuple<std::size_t, bool, time_point> strength(const part_record& of)
{
    time_point latest = time_point::min();
    for (const auto& each : of.crashes)
        latest = std::max(latest, each.at);
    return {of.crashes.size(), !of.answered_at.has_value(), latest};
}

time_point end_of_refusal(const std::vector<crash_record>& crashes)
{
    const auto times = ordered_times(crashes);
    std::chrono::seconds refusal = crash_evidence::initial_refusal;
    for (std::size_t i = 1; i < times.size(); ++i)
        if (times[i] - times[i - 1] >= series_gap)
            refusal = std::min(refusal * 2, crash_evidence::max_refusal);
    return times.back() + refusal;
}

} // namespace

std::string_view to_string(prompt_verdict value)
{
    switch (value)
    {
    case prompt_verdict::unsuspected:
        return "unsuspected";
    case prompt_verdict::suspect:
        return "suspect";
    case prompt_verdict::refused:
        return "refused";
    case prompt_verdict::expired:
        return "expired";
    }
    return "unsuspected";
}

void crash_evidence::changed()
{
    ++revision_;
    findings_.reset();
}

bool crash_evidence::proves_cause(
    const std::vector<crash_record>& crashes) const
{
    std::set<std::uint64_t> requests;
    for (const auto& each : crashes)
        requests.insert(each.request);
    const auto count = separate_crashes(crashes, thresholds_.coincidence);
    return (count >= thresholds_.refuse && requests.size() >= 2) ||
           count >= thresholds_.refuse_one_request;
}

void crash_evidence::note_answer(const prompt& request, time_point now)
{
    for_each_shared_part(request,
        [&](std::uint64_t part)
        {
            remember_answer(part, now);
            const auto found = records_.find(part);
            if (found != records_.end() && add_answer(found->second, now, now))
                changed();
        });
}

void crash_evidence::remember_answer(std::uint64_t part, time_point at)
{
    const auto known = answered_.find(part);
    if (known != answered_.end())
    {
        known->second.at = std::max(known->second.at, at);
        answered_order_.splice(
            answered_order_.end(), answered_order_, known->second.position);
        return;
    }
    const auto position = answered_order_.insert(answered_order_.end(), part);
    answered_.emplace(part, answered_part{at, position});
    if (answered_.size() > max_answered_parts)
    {
        answered_.erase(answered_order_.front());
        answered_order_.pop_front();
    }
}

void crash_evidence::note_crash(const prompt& request,
    const endpoint_id& endpoint, std::int64_t started_unix_ms, time_point now)
{
    if (request.parts.empty())
        return;
    const crash_record crash{
        process_key(endpoint, started_unix_ms), request.parts.back().id, now};
    bool news = false;
    for_each_shared_part(request, [&](std::uint64_t part)
        { news = add_crash(record_of(part), crash) || news; });
    make_room();
    if (news)
        changed();
}

crash_evidence::known_part& crash_evidence::record_of(std::uint64_t part)
{
    auto [found, added] = records_.try_emplace(part);
    if (added)
    {
        found->second.part = part;
        if (const auto known = answered_.find(part); known != answered_.end())
            found->second.answered_at = known->second.at;
    }
    return found->second;
}

bool crash_evidence::add_crash(known_part& to, const crash_record& crash)
{
    if (to.answered_at && crash.at <= *to.answered_at)
        return false;
    auto& all = to.crashes;
    const auto found = std::find_if(all.begin(), all.end(),
        [&](const crash_record& each)
        { return each.process == crash.process; });
    if (found != all.end())
    {
        // Instances see the same end at slightly different times; all keep the
        // same one of the requests that they lost, so that records converge.
        if (crash.at >= found->at && crash.request >= found->request)
            return false;
        const bool other_request = crash.request < found->request;
        found->at = std::min(found->at, crash.at);
        found->request = std::min(found->request, crash.request);
        // The end of a refusal may have moved slightly.
        findings_.reset();
        return other_request;
    }
    all.push_back(crash);
    std::sort(all.begin(), all.end());
    if (all.size() <= max_crashes)
        return true;
    // Ordered by process among equal times, so that all instances drop the
    // same record.
    const auto oldest = std::min_element(all.begin(), all.end(),
        [](const crash_record& a, const crash_record& b)
        { return a.at < b.at; });
    const bool kept = oldest->process != crash.process;
    all.erase(oldest);
    return kept;
}

// An answer that clears nothing is not stored. Reported times grow by the
// transmission time with each hop, so instances that took each other's as later
// answers would exchange them endlessly and clear crashes after the answer.
bool crash_evidence::add_answer(known_part& to, time_point at, time_point now)
{
    if (to.answered_at && at <= *to.answered_at)
        return false;
    const auto cleared = std::erase_if(
        to.crashes, [&](const crash_record& each) { return each.at <= at; });
    if (cleared == 0 && to.answered_at)
        return false;
    to.answered_at = at;
    if (cleared != 0)
        to.report_answer_until = now + cleared_lifetime;
    return true;
}

// Whether an answer that this instance knows of has cleared the crash. Its
// reporter lacks the answer, which is then reported again.
bool crash_evidence::is_cleared(
    known_part& by, const crash_record& crash, time_point now)
{
    auto answer = by.answered_at;
    // Answers that cleared nothing here are not in the record.
    if (const auto own = answered_.find(by.part); own != answered_.end())
        answer = std::max(answer, std::optional(own->second.at));
    if (!answer || crash.at > *answer)
        return false;
    by.answered_at = answer;
    by.report_answer_until = now + cleared_lifetime;
    return true;
}

// Parts with crashes and cleared ones have separate limits. Otherwise a full
// table would drop each answer before it is reported.
void crash_evidence::make_room()
{
    std::vector<const known_part*> crashed;
    std::vector<const known_part*> cleared;
    for (const auto& [part, each] : records_)
        (each.crashes.empty() ? cleared : crashed).push_back(&each);
    for (const auto* each : weakest_beyond(max_parts, crashed))
        records_.erase(each->part);
    for (const auto* each : weakest_beyond(max_parts, cleared))
        records_.erase(each->part);
}

std::vector<const crash_evidence::known_part*> crash_evidence::weakest_beyond(
    std::size_t limit, std::vector<const known_part*> of)
{
    if (of.size() <= limit)
        return {};
    std::stable_sort(of.begin(), of.end(),
        [](const known_part* a, const known_part* b)
        { return strength(*a) < strength(*b); });
    of.resize(of.size() - limit);
    return of;
}

std::vector<part_record> crash_evidence::records(time_point now) const
{
    std::vector<part_record> out;
    for (const auto& [part, each] : records_)
        if (each.crashes.empty() && now < each.report_answer_until)
            out.push_back(each);
    const auto by_answer = [](const part_record& a, const part_record& b)
    { return a.answered_at > b.answered_at; };
    if (out.size() > max_reported_answers)
    {
        std::stable_sort(out.begin(), out.end(), by_answer);
        out.resize(max_reported_answers);
    }
    std::vector<const known_part*> crashed;
    for (const auto& [part, each] : records_)
        if (!each.crashes.empty())
            crashed.push_back(&each);
    const auto left_out = weakest_beyond(max_parts - out.size(), crashed);
    for (const auto* each : crashed)
        if (std::find(left_out.begin(), left_out.end(), each) == left_out.end())
            out.push_back(*each);
    std::sort(out.begin(), out.end(),
        [](const part_record& a, const part_record& b)
        { return a.part < b.part; });
    return out;
}

bool crash_evidence::merge(
    const std::vector<part_record>& reported, time_point now)
{
    bool news = false;
    bool verdicts_changed = false;
    std::vector<crash_position> added;
    const auto parts_with_crashes =
        std::count_if(records_.begin(), records_.end(),
            [](const auto& each) { return !each.second.crashes.empty(); });
    const bool full = static_cast<std::size_t>(parts_with_crashes) >= max_parts;
    for (const auto& each : reported)
    {
        // Crashes before this answer may be reported later.
        if (each.answered_at)
            remember_answer(each.part, std::min(*each.answered_at, now));
        const bool known = records_.contains(each.part);
        if (each.crashes.empty() && !known)
            continue;
        auto& own = record_of(each.part);
        // A report from an instance whose clock advances differently must not
        // clear crashes that come later. For an unknown part, the answer is
        // news only together with a crash.
        if (each.answered_at &&
            add_answer(own, std::min(*each.answered_at, now), now) && known)
            news = verdicts_changed = true;
        for (const auto& crash : each.crashes)
        {
            if (is_cleared(own, crash, now))
            {
                // This instance may have heard of the crash later than of the
                // answer.
                if (remove_crash(own, crash.process))
                    verdicts_changed = true;
                news = true;
                continue;
            }
            const bool repeated = has_crash(own, crash.process);
            // Instances may evict different entries that are almost as old.
            // They must not be news, or they would be exchanged endlessly.
            const bool displaces =
                (full && !known) || own.crashes.size() == max_crashes;
            if (!add_crash(own,
                    {crash.process, crash.request, std::min(crash.at, now)}))
                continue;
            if (repeated)
                news = verdicts_changed = true;
            else
                added.push_back({each.part, crash.process, displaces});
        }
    }
    make_room();
    for (const auto& each : remove_ending(added, now))
    {
        verdicts_changed = true;
        news = news || !each.displaces;
    }
    if (verdicts_changed)
        changed();
    return news;
}

// Removes those of the added crashes that expire soon. Returns the others, but
// without those that have been evicted.
std::vector<crash_evidence::crash_position> crash_evidence::remove_ending(
    const std::vector<crash_position>& added, time_point now)
{
    if (added.empty())
        return {};
    const auto refused = evaluate().refused;
    std::vector<crash_position> out;
    for (const auto& each : added)
    {
        const auto found = records_.find(each.part);
        if (found == records_.end())
            continue;
        auto& crashes = found->second.crashes;
        const auto crash = std::find_if(crashes.begin(), crashes.end(),
            [&](const crash_record& known)
            { return known.process == each.process; });
        if (crash == crashes.end())
            continue;
        const auto refusal = std::find_if(refused.begin(), refused.end(),
            [&](const finding& known)
            { return known.parts.contains(each.part); });
        const auto from =
            refusal == refused.end() ? crash->at : refusal->refused_until;
        if (now - from < record_lifetime - expiry_margin)
            out.push_back(each);
        else
            crashes.erase(crash);
    }
    findings_.reset();
    return out;
}

void crash_evidence::expire(time_point now)
{
    // Copied, since removing records invalidates the findings.
    const auto refused = current().refused;
    const auto refusal_of = [&](std::uint64_t part)
    {
        return std::find_if(refused.begin(), refused.end(),
            [part](const finding& each) { return each.parts.contains(part); });
    };
    bool verdicts_changed = false;
    for (auto next = records_.begin(); next != records_.end();)
    {
        auto& record = next->second;
        const auto refusal = refusal_of(record.part);
        bool outdated = false;
        // The records of a refused part outlive the refusal, so that a crash
        // after it is recognized as a repetition.
        if (refusal != refused.end())
            outdated = now - refusal->refused_until >= record_lifetime;
        else
        {
            const auto expired =
                std::erase_if(record.crashes, [now](const crash_record& each)
                    { return now - each.at >= record_lifetime; });
            verdicts_changed = verdicts_changed || expired != 0;
            outdated =
                record.crashes.empty() && now >= record.report_answer_until;
        }
        verdicts_changed = verdicts_changed || outdated;
        next = outdated ? records_.erase(next) : std::next(next);
    }
    if (verdicts_changed)
        changed();
}

crash_evidence::findings crash_evidence::evaluate() const
{
    findings out;
    std::vector<const part_record*> order;
    for (const auto& [part, each] : records_)
        if (!each.crashes.empty())
            order.push_back(&each);
    // Parts that were never answered are the more likely cause, then those with
    // more crashes.
    std::stable_sort(order.begin(), order.end(),
        [](const part_record* a, const part_record* b)
        {
            if (a->answered_at.has_value() != b->answered_at.has_value())
                return !a->answered_at.has_value();
            return a->crashes.size() > b->crashes.size();
        });
    std::set<std::uint64_t> explained;
    const auto unexplained = [&](const part_record& of)
    {
        std::vector<crash_record> left;
        for (const auto& each : of.crashes)
            if (!explained.contains(each.process))
                left.push_back(each);
        return left;
    };
    std::vector<const part_record*> others;
    for (auto at = order.begin(); at != order.end(); ++at)
    {
        const auto& record = **at;
        if (!proves_cause(unexplained(record)))
        {
            others.push_back(&record);
            continue;
        }
        const auto processes = processes_of(record.crashes);
        finding found{{record.part}, end_of_refusal(record.crashes)};
        // Parts that always came together can't be told apart yet.
        for (auto next = std::next(at); next != order.end();)
        {
            const auto& other = **next;
            const bool same = other.answered_at.has_value() ==
                                  record.answered_at.has_value() &&
                              processes_of(other.crashes) == processes;
            if (same)
                found.parts.insert(other.part);
            next = same ? order.erase(next) : std::next(next);
        }
        out.refused.push_back(std::move(found));
        explained.insert(processes.begin(), processes.end());
    }
    for (const auto& finding : out.refused)
        if (finding.parts.size() > 1)
            out.suspects.insert(finding.parts.begin(), finding.parts.end());
    for (const auto* each : others)
        if (unexplained(*each).size() >= thresholds_.suspect)
            out.suspects.insert(each->part);
    return out;
}

const crash_evidence::findings& crash_evidence::current() const
{
    if (!findings_)
        findings_ = evaluate();
    return *findings_;
}

const crash_evidence::finding* crash_evidence::find_refusal(
    const prompt& request) const
{
    const finding* out = nullptr;
    for (const auto& each : current().refused)
        if (contains_all(request, each.parts) &&
            (out == nullptr || each.refused_until > out->refused_until))
            out = &each;
    return out;
}

prompt_verdict crash_evidence::judge(
    const prompt& request, time_point now) const
{
    if (records_.empty())
        return prompt_verdict::unsuspected;
    if (const auto* refusal = find_refusal(request))
        return now < refusal->refused_until ? prompt_verdict::refused
                                            : prompt_verdict::expired;
    bool suspect = false;
    for_each_shared_part(request, [&](std::uint64_t part)
        { suspect = suspect || current().suspects.contains(part); });
    return suspect ? prompt_verdict::suspect : prompt_verdict::unsuspected;
}

std::vector<std::uint64_t> crash_evidence::blamed_parts(
    const prompt& request, time_point now) const
{
    const auto verdict = judge(request, now);
    if (verdict == prompt_verdict::unsuspected)
        return {};
    if (verdict != prompt_verdict::suspect)
    {
        const auto& parts = find_refusal(request)->parts;
        return {parts.begin(), parts.end()};
    }
    std::vector<std::uint64_t> out;
    for_each_shared_part(request,
        [&](std::uint64_t part)
        {
            if (current().suspects.contains(part))
                out.push_back(part);
        });
    return out;
}

time_point crash_evidence::refused_until(
    const prompt& request, time_point now) const
{
    return std::max(now, refusal_end(request));
}

time_point crash_evidence::refusal_end(const prompt& request) const
{
    const auto* refusal = find_refusal(request);
    return refusal == nullptr ? time_point() : refusal->refused_until;
}

std::size_t crash_evidence::crashes_under(const prompt& request) const
{
    std::size_t out = 0;
    for_each_shared_part(request,
        [&](std::uint64_t part)
        {
            const auto found = records_.find(part);
            if (found != records_.end())
                out = std::max(out, found->second.crashes.size());
        });
    return out;
}

} // namespace tarragonquay::dispatch
