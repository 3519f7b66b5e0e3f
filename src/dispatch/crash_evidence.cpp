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

time_point refusal_end(const std::vector<crash_record>& crashes)
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
            if (found != records_.end() && add_answer(found->second, now))
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

part_record& crash_evidence::record_of(std::uint64_t part)
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

bool crash_evidence::add_crash(part_record& to, const crash_record& crash)
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

bool crash_evidence::add_answer(part_record& to, time_point at)
{
    if (to.answered_at && at <= *to.answered_at)
        return false;
    to.answered_at = at;
    return std::erase_if(to.crashes,
               [&](const crash_record& each) { return each.at <= at; }) != 0;
}

void crash_evidence::make_room()
{
    // A part that was answered before is less likely the cause.
    const auto strength = [](const part_record& of)
    {
        return std::tuple(!of.crashes.empty(), !of.answered_at.has_value(),
            of.crashes.size());
    };
    while (records_.size() > max_parts)
        records_.erase(std::min_element(records_.begin(), records_.end(),
            [&](const auto& a, const auto& b)
            { return strength(a.second) < strength(b.second); }));
}

std::vector<part_record> crash_evidence::records(time_point now) const
{
    std::vector<part_record> out;
    for (const auto& [part, each] : records_)
        if (!each.crashes.empty() ||
            (each.answered_at && now - *each.answered_at < cleared_lifetime))
            out.push_back(each);
    return out;
}

std::vector<crash_record> crash_evidence::current_crashes(
    const part_record& reported, time_point now) const
{
    // The reporter may expire its records later than this instance.
    auto out = reported.crashes;
    if (!proves_cause(out))
        std::erase_if(out, [now](const crash_record& each)
            { return now - each.at >= record_lifetime; });
    else if (now - refusal_end(out) >= record_lifetime)
        out.clear();
    return out;
}

bool crash_evidence::merge(
    const std::vector<part_record>& reported, time_point now)
{
    bool news = false;
    bool verdicts_changed = false;
    for (const auto& each : reported)
    {
        const auto crashes = current_crashes(each, now);
        const bool recent_answer =
            each.answered_at && now - *each.answered_at < cleared_lifetime;
        // A report from an instance whose clock advances differently must not
        // clear crashes that come later.
        if (each.answered_at)
            remember_answer(each.part, std::min(*each.answered_at, now));
        const bool known = records_.contains(each.part);
        if (crashes.empty() && !recent_answer && !known)
            continue;
        auto& own = record_of(each.part);
        if (each.answered_at)
        {
            const auto at = std::min(*each.answered_at, now);
            const bool first = !known || !own.answered_at.has_value();
            const bool cleared = add_answer(own, at);
            // A later time alone is none: times grow with each transfer.
            news = news || first || cleared;
            verdicts_changed = first || cleared || verdicts_changed;
        }
        for (const auto& crash : crashes)
        {
            const bool added = add_crash(
                own, {crash.process, crash.request, std::min(crash.at, now)});
            verdicts_changed = added || verdicts_changed;
            // The reporter does not know the answer that cleared this crash.
            const bool outdated =
                own.answered_at && crash.at <= *own.answered_at;
            news = news || added || outdated;
        }
    }
    make_room();
    if (verdicts_changed)
        changed();
    return news;
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
            outdated = record.crashes.empty() &&
                       (!record.answered_at ||
                           now - *record.answered_at >= cleared_lifetime);
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
        finding found{{record.part}, refusal_end(record.crashes)};
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
    const auto* refusal = find_refusal(request);
    return refusal == nullptr ? now : std::max(now, refusal->refused_until);
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
