// Rule BUDGET (news of the pages, letter 4): is it known which part crashes
// replicas, after all processes were killed at the same moment?
#include "crashing_replica.hpp"

namespace
{

using namespace crashing;

constexpr int machines = 4;
constexpr int replicas = 12;
constexpr int pairs = 8;
constexpr std::int64_t pair_interval_ms = 6'000;
/// The kill comes this long after the fourth pair, whose requests are refused.
constexpr std::int64_t kill_after_ms = 1'000;
constexpr std::int64_t restart_after_ms = 1'000;

std::atomic<int> sound_answered = 0;
std::atomic<int> sound_lost = 0;

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
    kit::sleep_ms(4'000);

    // A sound caller at each machine, which shares the first part and the
    // subjects with the others.
    const auto end = kit::now_ms() + 4'000 + pairs * pair_interval_ms;
    std::vector<std::thread> callers;
    for (int i = 0; i < machines; ++i)
        callers.emplace_back(
            [&, i]
            {
                for (int n = 0; kit::now_ms() < end; ++n)
                {
                    const auto id =
                        "5" + std::to_string(100 + i) + std::to_string(100 + n);
                    const auto got = ask(gateways[i]->callers, id,
                        "a1:2520,c" + std::to_string(10 + (i + n) % 30) +
                            ":3780,e" + id + ":2890");
                    if (got.status == 200)
                        ++sound_answered;
                    else if (got.status == 0 && got.head.start.size() > 1)
                        ++sound_lost;
                    kit::sleep_ms(200);
                }
            });
    kit::sleep_ms(3'000);
    // Not in touch: from the kill until contact_ms after the last start.
    std::int64_t killed_at = 0;
    std::int64_t in_touch_at = 0;
    for (int pair = 0; pair < pairs; ++pair)
    {
        const auto next = kit::now_ms() + pair_interval_ms;
        record.line("pair ", pair + 1);
        for (int i = 0; i < 2; ++i)
            callers.emplace_back(
                [&, i, pair]
                {
                    const auto at = (2 * pair + i) % machines;
                    const auto id = "9" + std::to_string(10 + pair) +
                                    std::to_string(10 + i);
                    const auto got = ask(gateways[at]->callers, id,
                        "a1:2520," + bad_part + ":500,c" +
                            std::to_string(10 + (i * 5 + pair) % 30) +
                            ":3280,e" + id + ":2890");
                    record.line("request ", id, " of pair ", pair + 1, " at ",
                        gateways[at]->name(), ": ", got.how);
                });
        if (pair == 3 && kit::trouble())
        {
            kit::sleep_ms(kill_after_ms);
            record.line("all processes are killed (SIGKILL)");
            killed_at = kit::now_ms();
            for (const auto& each : gateways)
                each->kill();
            kit::sleep_ms(restart_after_ms);
            for (const auto& each : gateways)
                each->start();
            in_touch_at = kit::now_ms() + contact_ms;
            record.line("all processes are started again");
        }
        while (kit::now_ms() < next)
            kit::sleep_ms(5);
    }
    for (auto& each : callers)
        each.join();
    const auto late = late_arrivals(killed_at, in_touch_at);
    record.line("sound requests: ", sound_answered.load(), " answered, ",
        sound_lost.load(), " ended inside their answer");
    return late > allowed ? kit::broken : kit::held;
}

} // namespace

int main(int argc, char** argv)
{
    return kit::run_case(argc, argv, play);
}
