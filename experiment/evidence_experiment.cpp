#include "experiment/evidence_experiment.hpp"

#include <algorithm>
#include <array>
#include <chrono>

#include "experiment/evidence_fleet.hpp"

namespace tarragonquay::experiment
{

namespace
{

using namespace std::chrono_literals;

constexpr std::array<std::size_t, 4> sizes{7, 65, 90, 700};
constexpr std::array<std::size_t, 3> record_counts{1, 10, 64};
constexpr std::array<double, 2> losses{0, 0.2};
constexpr std::size_t crashes_of_a_part = 4;
constexpr duration agreement_limit = 30s;
/// Measured after agreement, in the steady state.
constexpr std::chrono::seconds measured_time{10};

struct figures
{
    figure rounds;
    figure member_sent;
    figure member_received;
    figure relay_sent;
    figure relay_received;
    /// The instance with the most bytes in both directions.
    figure highest;
};

void measure(evidence_fleet& fleet, figures& to)
{
    fleet.run(2s);
    fleet.reset_traffic();
    fleet.run(measured_time);
    struct sums
    {
        double sent = 0;
        double received = 0;
        double instances = 0;
    };
    std::array<sums, 2> by_role;
    double highest = 0;
    const auto seconds = static_cast<double>(measured_time.count());
    for (const auto& each : fleet.counted())
    {
        auto& role = by_role.at(each.is_relay ? 1 : 0);
        const auto sent = static_cast<double>(each.sent_bytes) / seconds;
        const auto received =
            static_cast<double>(each.received_bytes) / seconds;
        role.sent += sent;
        role.received += received;
        role.instances += 1;
        highest = std::max(highest, sent + received);
    }
    const auto [members, relays] = by_role;
    to.member_sent.add(members.sent / std::max(1.0, members.instances));
    to.member_received.add(members.received / std::max(1.0, members.instances));
    to.relay_sent.add(relays.sent / std::max(1.0, relays.instances));
    to.relay_received.add(relays.received / std::max(1.0, relays.instances));
    to.highest.add(highest);
}

result<void> run_once(
    const evidence_fleet::conditions& under, std::size_t records, figures& to)
{
    evidence_fleet fleet(under);
    std::vector<std::uint64_t> parts;
    for (std::uint64_t part = 1; part <= records; ++part)
        parts.push_back(part * 1'000'003);
    // Each process ends under one request with all parts.
    for (std::size_t i = 0; i < crashes_of_a_part; ++i)
        fleet.crash(i + 1, {parts}, i * 3);
    const auto took = fleet.run_until_agreed(parts, agreement_limit);
    if (took < 0s)
        return fail(error_code::internal, "the instances did not agree");
    to.rounds.add(std::chrono::duration<double>(took) /
                  gateway::evidence_exchange::repeat_interval);
    measure(fleet, to);
    return {};
}

} // namespace

result<table> run_evidence(const options& settings)
{
    if (settings.seeds.empty())
        return fail(error_code::invalid_argument, "no seeds given");
    table out{"Exchange of crash evidence: seconds (rounds of repetition) to "
              "agreement; bytes a second of one instance afterwards",
        {"instances", "records", "lost", "seconds", "member sent",
            "member received", "relay sent", "relay received", "highest sum"},
        {}};
    for (const auto instances : sizes)
        for (const auto records : record_counts)
            for (const auto loss : losses)
            {
                figures of;
                for (const auto seed : settings.seeds)
                {
                    const auto done =
                        run_once({instances, loss, 3'000us, seed}, records, of);
                    if (!done)
                        return tl::unexpected<error>(done.error());
                }
                out.rows.push_back({std::to_string(instances),
                    std::to_string(records), loss > 0 ? "20%" : "0%",
                    of.rounds.text(2), of.member_sent.text(0),
                    of.member_received.text(0), of.relay_sent.text(0),
                    of.relay_received.text(0), of.highest.text(0)});
            }
    return out;
}

} // namespace tarragonquay::experiment
