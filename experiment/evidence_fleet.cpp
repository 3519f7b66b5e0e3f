#include "experiment/evidence_fleet.hpp"

#include <algorithm>
#include <utility>

namespace tarragonquay::experiment
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds step_time{5};
constexpr milliseconds tick_interval{250};
constexpr std::size_t zones = 4;

dispatch::prompt make_prompt(const std::vector<std::uint64_t>& parts)
{
    dispatch::prompt out;
    for (const auto part : parts)
        out.parts.push_back({part, 1});
    return out;
}

/// Requests end with a part that nothing else has.
dispatch::prompt make_request(
    std::vector<std::uint64_t> parts, std::uint64_t request)
{
    parts.push_back(request);
    return make_prompt(parts);
}

} // namespace

evidence_fleet::node::node(
    std::size_t index, std::size_t side_of_fleet, duration offset)
    : side(side_of_fleet), clock_offset(offset), exchange(evidence)
{
    self.id = instance_id("gateway-" + std::to_string(index));
    self.incarnation = 1;
    self.availability_zone = "zone-" + std::to_string(index % zones);
    self.peer_address = "10.0.0.1:" + std::to_string(index);
    self.ready = true;
}

evidence_fleet::evidence_fleet(const conditions& under)
    : conditions_(under), random_(under.seed)
{
    for (std::size_t i = 0; i < under.instances; ++i)
        add_node();
    discover();
}

void evidence_fleet::add_node()
{
    std::uniform_int_distribution<int> offset_s(0, 36'000);
    std::uniform_int_distribution<int> phase_ms(0, 249);
    auto added = std::make_unique<node>(
        nodes_.size(), 0, std::chrono::seconds(offset_s(random_)));
    added->next_tick = now_ + milliseconds(phase_ms(random_));
    indexes_[added->self.id] = nodes_.size();
    nodes_.push_back(std::move(added));
}

void evidence_fleet::start(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        add_node();
    discover_at_ = now_ + discovery_delay;
}

void evidence_fleet::partition(std::size_t count)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        nodes_[i]->side = i < count ? 1 : 0;
    discover_at_ = now_ + discovery_delay;
}

void evidence_fleet::discover()
{
    discover_at_ = time_point::max();
    std::set<std::size_t> sides;
    for (const auto& each : nodes_)
        sides.insert(each->side);
    for (const auto side : sides)
        discover_side(side);
}

void evidence_fleet::discover_side(std::size_t side)
{
    std::vector<node*> members;
    for (const auto& each : nodes_)
        if (each->side == side)
            members.push_back(each.get());
    const auto find = [&](const instance_id& id)
    { return nodes_[indexes_.at(id)].get(); };
    const auto know_members = [&](node& at)
    {
        fleet::roster known(at.self);
        for (const auto* each : members)
            known.record_direct(each->self, local_now(at));
        at.router.update(known, local_now(at));
        return gateway::evidence_exchange::receivers(known, at.router);
    };
    for (auto* each : members)
    {
        each->router = {};
        know_members(*each);
    }
    for (const auto* each : members)
        if (each->router.relayed())
        {
            auto& relay = *find(each->router.relay());
            relay.router.reports().put_member(
                each->self.id, {}, local_now(relay));
        }
    for (auto* each : members)
    {
        const auto before = std::exchange(each->receivers, know_members(*each));
        each->counters.is_relay = each->router.acts_as_relay();
        std::vector<instance_id> added;
        std::set_difference(each->receivers.begin(), each->receivers.end(),
            before.begin(), before.end(), std::back_inserter(added));
        if (auto update = each->exchange.message(local_now(*each)))
            send(indexes_.at(each->self.id), added, std::move(*update));
    }
}

void evidence_fleet::send(std::size_t from,
    const std::vector<instance_id>& receivers, peer::Evidence_update update)
{
    auto& sender = *nodes_[from];
    peer::Envelope envelope;
    envelope.set_from_instance(sender.self.id.str());
    envelope.set_from_incarnation("1764900000000");
    envelope.set_from_address(sender.self.peer_address);
    envelope.set_to_instance(sender.self.id.str());
    *envelope.mutable_evidence_update() = update;
    const auto bytes = envelope.ByteSizeLong();
    const auto shared =
        std::make_shared<const peer::Evidence_update>(std::move(update));
    std::bernoulli_distribution lost(conditions_.loss);
    std::uniform_int_distribution<std::int64_t> delay_us(
        100, conditions_.max_delay.count());
    for (const auto& id : receivers)
    {
        const auto to = indexes_.at(id);
        ++sender.counters.sent;
        sender.counters.sent_bytes += bytes;
        const auto at = now_ + std::chrono::microseconds(delay_us(random_));
        if (!lost(random_) && nodes_[to]->side == sender.side)
            in_flight_.emplace(at, delivery{from, to, bytes, shared});
    }
}

void evidence_fleet::step()
{
    const auto end = now_ + step_time;
    while (!in_flight_.empty() && in_flight_.begin()->first <= end)
    {
        now_ = std::max(now_, in_flight_.begin()->first);
        const auto next = std::move(in_flight_.begin()->second);
        in_flight_.erase(in_flight_.begin());
        auto& to = *nodes_[next.to];
        ++to.counters.received;
        to.counters.received_bytes += next.bytes;
        to.exchange.receive(*next.update, local_now(to));
    }
    now_ = end;
    if (now_ >= discover_at_)
        discover();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto& each = *nodes_[i];
        if (now_ >= each.next_tick)
        {
            each.exchange.tick(local_now(each));
            each.next_tick += tick_interval;
        }
        if (auto update = each.exchange.take_due(local_now(each)))
            send(i, each.receivers, std::move(*update));
    }
}

void evidence_fleet::run(duration time)
{
    for (const auto end = now_ + time; now_ < end;)
        step();
}

void evidence_fleet::crash(std::uint64_t process,
    const std::vector<std::vector<std::uint64_t>>& requests, std::size_t first)
{
    std::uniform_int_distribution<std::uint64_t> request_id(1ULL << 32U);
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        auto& at = *nodes_[(first + i) % nodes_.size()];
        const auto before = at.evidence.revision();
        at.evidence.note_crash(make_request(requests[i], request_id(random_)),
            endpoint_id("endpoint-" + std::to_string(process)), 1,
            local_now(at));
        if (at.evidence.revision() != before)
            at.exchange.note_change(local_now(at));
    }
}

void evidence_fleet::answer(
    std::size_t instance, const std::vector<std::uint64_t>& parts)
{
    std::uniform_int_distribution<std::uint64_t> request_id(1ULL << 32U);
    auto& at = *nodes_[instance];
    const auto before = at.evidence.revision();
    at.evidence.note_answer(
        make_request(parts, request_id(random_)), local_now(at));
    if (at.evidence.revision() != before)
        at.exchange.note_change(local_now(at));
}

dispatch::prompt_verdict evidence_fleet::verdict(
    std::size_t instance, const std::vector<std::uint64_t>& parts) const
{
    const auto& at = *nodes_[instance];
    return at.evidence.judge(make_request(parts, 0), local_now(at));
}

bool evidence_fleet::agrees(const std::vector<std::uint64_t>& parts) const
{
    return std::all_of(parts.begin(), parts.end(),
        [&](std::uint64_t part)
        {
            const auto first =
                nodes_[0]->evidence.crashes_under(make_request({part}, 0));
            for (std::size_t i = 1; i < nodes_.size(); ++i)
                if (verdict(i, {part}) != verdict(0, {part}) ||
                    nodes_[i]->evidence.crashes_under(
                        make_request({part}, 0)) != first)
                    return false;
            return true;
        });
}

duration evidence_fleet::run_until_agreed(
    const std::vector<std::uint64_t>& parts, duration limit)
{
    const auto begin = now_;
    while (now_ - begin <= limit)
    {
        if (agrees(parts))
            return now_ - begin;
        step();
    }
    return duration(-1);
}

void evidence_fleet::reset_traffic()
{
    for (const auto& each : nodes_)
    {
        const bool is_relay = each->counters.is_relay;
        each->counters = {};
        each->counters.is_relay = is_relay;
    }
}

std::vector<evidence_fleet::traffic> evidence_fleet::counted() const
{
    std::vector<traffic> out;
    for (const auto& each : nodes_)
        out.push_back(each->counters);
    return out;
}

std::size_t evidence_fleet::messages() const
{
    std::size_t out = 0;
    for (const auto& each : nodes_)
        out += each->counters.sent;
    return out;
}

} // namespace tarragonquay::experiment
