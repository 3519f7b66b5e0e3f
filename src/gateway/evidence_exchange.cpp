#include "gateway/evidence_exchange.hpp"

#include <algorithm>
#include <set>

#include "gateway/evidence_messages.hpp"

namespace tarragonquay::gateway
{

void evidence_exchange::note_change(time_point now)
{
    send_at_ = std::min(send_at_, now + coalescing_delay);
}

std::size_t evidence_exchange::receive(
    const peer::Evidence_update& update, time_point now)
{
    const auto received = read(update, now);
    if (evidence_.merge(received.records, now))
        note_change(now);
    return received.ignored;
}

void evidence_exchange::tick(time_point now)
{
    if (now < expire_at_)
        return;
    expire_at_ = now + expiry_interval;
    evidence_.expire(now);
}

std::optional<peer::Evidence_update> evidence_exchange::take_due(time_point now)
{
    if (now < send_at_)
        return std::nullopt;
    auto out = message(now);
    send_at_ = out ? now + repeat_interval : time_point::max();
    return out;
}

std::optional<peer::Evidence_update> evidence_exchange::message(
    time_point now) const
{
    const auto records = evidence_.records(now);
    if (records.empty())
        return std::nullopt;
    peer::Evidence_update out;
    write(records, now, out);
    return out;
}

std::vector<instance_id> evidence_exchange::receivers(
    const fleet::roster& roster, const report_router& router)
{
    std::set<instance_id> out;
    if (!router.relayed())
        for (const auto& each : roster.others())
            out.insert(each.id);
    else
        out.insert(router.relay());
    if (router.acts_as_relay())
    {
        for (const auto& each : router.other_relays())
            out.insert(each);
        for (const auto& each : router.reports().members())
            out.insert(each);
    }
    out.erase(roster.self().id);
    return {out.begin(), out.end()};
}

} // namespace tarragonquay::gateway
