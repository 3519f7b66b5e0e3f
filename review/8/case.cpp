// Rule BUDGET (news of the pages, letter 4): does every machine know which part
// crashes replicas, after the fleet has shrunk and some machines have started
// again?
#include "crashing_replica.hpp"

namespace
{

using namespace crashing;

/// The machines of the sheet and its spares.
constexpr int machines = 10;
constexpr int removed = 2;
constexpr int restarted = 4;
constexpr int replicas = 12;
constexpr int pairs = 4;
constexpr std::int64_t pair_interval_ms = 4'000;

std::atomic<int> sound_answered = 0;
std::atomic<int> sound_lost = 0;

// Stops a gateway with SIGTERM and waits for its end.
bool stop(kit::gateway& one)
{
    one.signal(SIGTERM);
    for (const auto until = kit::now_ms() + 9'000; kit::now_ms() < until;
         kit::sleep_ms(50))
        if (!one.running())
            return true;
    return false;
}

void ask_pair(std::vector<std::thread>& callers,
    const std::vector<kit::gateway*>& at, int number)
{
    record.line("pair ", number);
    for (int i = 0; i < 2; ++i)
        callers.emplace_back(
            [=]
            {
                const auto* to =
                    at[static_cast<std::size_t>(2 * number + i) % at.size()];
                const auto id =
                    "9" + std::to_string(10 + number) + std::to_string(10 + i);
                const auto got = ask(to->callers, id,
                    "a1:2520," + bad_part + ":500,c" +
                        std::to_string(10 + (i * 5 + number) % 30) + ":3280,e" +
                        id + ":2890");
                record.line("request ", id, " of pair ", number, " at ",
                    to->name(), ": ", got.how);
            });
}

int play()
{
    const kit::temporary_folder folder;
    auto& store = *new kit::store;
    for (int i = 0; i < replicas; ++i)
        new replica("r-" + std::to_string(10 + i), store);
    store.put("op", "config", configuration());
    std::vector<std::unique_ptr<kit::gateway>> gateways;
    for (int i = 0; i < machines; ++i)
        gateways.push_back(std::make_unique<kit::gateway>(
            "front-" + std::to_string(i + 1), folder.path(), store.address(),
            i == 0 ? 0 : gateways[0]->peers));
    for (const auto& each : gateways)
        each->start();
    for (const auto& each : gateways)
        if (!each->wait_ready(15'000))
            return kit::could_not_run;
    kit::sleep_ms(5'000);

    // The gateway that passes the others' reports on is neither removed nor
    // started again.
    std::string relay;
    for (const auto until = kit::now_ms() + 10'000;
         relay.empty() && kit::now_ms() < until; kit::sleep_ms(200))
        relay = gateways[0]->last_logged("relay_chosen", "relay");
    record.line("relay: ", relay);
    if (relay.empty())
        return kit::could_not_run;
    std::vector<kit::gateway*> leaving;
    std::vector<kit::gateway*> starting;
    std::vector<kit::gateway*> staying;
    for (const auto& each : gateways)
        if (each->name() == relay)
            staying.push_back(each.get());
        else if (leaving.size() < removed)
            leaving.push_back(each.get());
        else if (starting.size() < restarted)
            starting.push_back(each.get());
        else
            staying.push_back(each.get());
    if (kit::trouble())
    {
        // One machine at a time, as roll_term does.
        for (auto* each : leaving)
        {
            record.line(each->name(), " leaves (SIGTERM)");
            if (!stop(*each))
                return kit::could_not_run;
        }
        kit::sleep_ms(4'000);
        for (auto* each : starting)
        {
            record.line(
                each->name(), " is stopped (SIGTERM) and started again");
            if (!stop(*each))
                return kit::could_not_run;
            each->start();
            if (!each->wait_ready(15'000))
                return kit::could_not_run;
        }
    }
    // All machines are in touch from here on.
    kit::sleep_ms(contact_ms + 2'000);

    const auto end = kit::now_ms() + 2'000 + 2 * pairs * pair_interval_ms;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < staying.size(); ++i)
        callers.emplace_back(
            [&, i]
            {
                for (int n = 0; kit::now_ms() < end; ++n)
                {
                    const auto number = static_cast<int>(i);
                    const auto id = "5" + std::to_string(100 + number) +
                                    std::to_string(100 + n);
                    const auto got = ask(staying[i]->callers, id,
                        "a1:2520,c" + std::to_string(10 + (number + n) % 30) +
                            ":3780,e" + id + ":2890");
                    if (got.status == 200)
                        ++sound_answered;
                    else if (got.status == 0 && got.head.start.size() > 1)
                        ++sound_lost;
                    kit::sleep_ms(200);
                }
            });
    kit::sleep_ms(1'000);
    // Pairs at machines that were not stopped, then at those that were.
    for (int pair = 1; pair <= 2 * pairs; ++pair)
    {
        const auto next = kit::now_ms() + pair_interval_ms;
        ask_pair(callers, pair <= pairs ? staying : starting, pair);
        while (kit::now_ms() < next)
            kit::sleep_ms(5);
    }
    for (auto& each : callers)
        each.join();
    const auto late = late_arrivals();
    record.line("sound requests: ", sound_answered.load(), " answered, ",
        sound_lost.load(), " ended inside their answer");
    return late > allowed ? kit::broken : kit::held;
}

} // namespace

int main(int argc, char** argv)
{
    return kit::run_case(argc, argv, play);
}
