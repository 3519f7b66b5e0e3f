#include "gateway/evidence_messages.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace tarragonquay::gateway
{

namespace
{

using std::chrono::milliseconds;

// Rounded down, so that no time becomes earlier by being passed on. An answer
// then clears a crash at every instance that has reported the crash as earlier.
std::int64_t age_ms(time_point at, time_point now)
{
    return std::max<std::int64_t>(
        0, std::chrono::duration_cast<milliseconds>(now - at).count());
}

std::optional<time_point> time_of(std::int64_t age_ms, time_point now)
{
    if (age_ms < 0)
        return std::nullopt;
    constexpr auto max_age = milliseconds(max_evidence_age).count();
    return now - milliseconds(std::min<std::int64_t>(age_ms, max_age));
}

} // namespace

void write(const std::vector<dispatch::part_record>& from, time_point now,
    peer::Evidence_update& to)
{
    for (const auto& each : from)
    {
        auto& part = *to.add_parts();
        part.set_part(each.part);
        if (each.answered_at)
            part.set_answer_age_ms(age_ms(*each.answered_at, now));
        for (const auto& crash : each.crashes)
        {
            auto& out = *part.add_crashes();
            out.set_process(crash.process);
            out.set_request(crash.request);
            out.set_age_ms(age_ms(crash.at, now));
        }
    }
}

received_evidence read(const peer::Evidence_update& from, time_point now)
{
    using dispatch::crash_evidence;
    received_evidence out;
    for (const auto& each : from.parts())
    {
        if (out.records.size() == crash_evidence::max_parts)
        {
            ++out.ignored;
            continue;
        }
        dispatch::part_record record;
        record.part = each.part();
        if (each.has_answer_age_ms())
        {
            record.answered_at = time_of(each.answer_age_ms(), now);
            if (!record.answered_at)
                ++out.ignored;
        }
        for (const auto& crash : each.crashes())
        {
            const auto at = time_of(crash.age_ms(), now);
            if (!at || record.crashes.size() == crash_evidence::max_crashes)
                ++out.ignored;
            else
                record.crashes.push_back(
                    {crash.process(), crash.request(), *at});
        }
        out.records.push_back(std::move(record));
    }
    return out;
}

} // namespace tarragonquay::gateway
