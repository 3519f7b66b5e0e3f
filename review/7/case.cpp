// Rule LOST: does a machine that takes over the callers of two lost ones stay
// within its memory, when requests are as long as the operator permits?
#include "kit-2.hpp"

namespace
{

using kit::json;
using kit::milliseconds;
using kit::record;

/// memory_mb of a machine, in the larger of its two readings.
constexpr std::int64_t memory_limit_bytes = 260LL * 1024 * 1024;
constexpr std::size_t max_body_bytes = 4'194'304;
constexpr std::size_t body_bytes = 3'500'000;
constexpr int callers_in_all = 40;
constexpr int events = 20;
constexpr int event_ms = 200;

std::mutex lock;
/// Requests that a replica has begun, and those that it has ended.
std::set<std::string> begun;
std::set<std::string> ended;

bool run(kit::channel& peer, const kit::message& request)
{
    if (request.path() == "/-/report")
        return kit::answer_json(peer, 200,
            {{"stage", "both"},
                {"models", {{{"name", "model-a"}, {"version", 1},
                               {"adapters", json::array()}}}},
                {"busy", false}, {"sequence", 0}, {"waiting", 0},
                {"running", 0}, {"kv_used", 0}, {"kv_total", 265689},
                {"handles", 0}});
    const auto id = request.field("request-id");
    {
        const std::lock_guard hold(lock);
        begun.insert(id);
    }
    bool open = peer.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                          "\r\nResponse-Stamp: s." + id +
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n");
    for (int next = 1; open && next <= events; ++next)
    {
        const auto event = "id: " + std::to_string(next) + "\ndata: x\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        open = peer.send(chunk.str());
        kit::sleep_ms(event_ms);
    }
    open = open && peer.send("0\r\n\r\n");
    const std::lock_guard hold(lock);
    if (open)
        ended.insert(id);
    return open;
}

json configuration()
{
    return {{"version", 7},
        {"routes",
            {{{"name", "batch"}, {"hostname", "desk.example"},
                {"prefix", "/batch/"}, {"route_type", "streaming"},
                {"timeout_ms", 10000}, {"target_latency_ms", 3000},
                {"priority", 1}, {"service", "desk"}, {"max_attempts", 1},
                {"anonymous", false}, {"session_affinity", true},
                {"resumable", false}, {"gap_aim_ms", 250}}}},
        {"services",
            {{{"name", "desk"}, {"health_path", "/healthz"},
                {"max_connections", 360}, {"protocol", "h1"}, {"tls", false},
                {"engine",
                    {{"slots", 64}, {"kv_capacity", 265689},
                        {"models", {{{"name", "model-a"},
                                       {"weights_mb", 72700.0}, {"load_s", 4.2},
                                       {"adapters", 0}, {"adapter_mb", 66.0}}}},
                        {"weights_mb", 200000.0}, {"adapter_slots", 5},
                        {"loads_per_s", 1.4}}}}}},
        {"limits",
            {{"max_header_bytes", 16384}, {"max_body_bytes", max_body_bytes},
                {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants",
            {{{"name", "tenant-1"}, {"api_keys", {"key-1"}}, {"priority", 1},
                {"unit", "token_stream"}, {"plain_tokens", 200},
                {"rate_per_s", 1190130}, {"burst", 1190130}}}}};
}

struct tally
{
    std::atomic<int> answered = 0;
    /// Closed without an answer, though a sound replica ran the request.
    std::atomic<int> lost = 0;
    std::atomic<int> other = 0;
};

int play()
{
    const kit::temporary_folder folder;
    auto& store = *new kit::store;
    for (const auto* id : {"r-1", "r-2", "r-3"})
    {
        auto& replica = *new kit::server;
        replica.listen(run);
        std::thread(
            [&store, &replica, id]
            {
                for (int beat = 1;; ++beat)
                {
                    store.put("servers", id,
                        {{"service", "desk"}, {"address", replica.address()},
                            {"zone", "zone-a"}, {"version", "v1"},
                            {"slots", 64}, {"state", "ready"},
                            {"cold_remaining_ms", 0}, {"stage", "both"},
                            {"models", {{{"name", "model-a"}, {"version", 1},
                                           {"adapters", json::array()}}}},
                            {"sequence", beat}, {"born", 1'790'000'000'000}});
                    kit::sleep_ms(1'200);
                }
            })
            .detach();
    }
    store.put("op", "config", configuration());
    std::vector<std::unique_ptr<kit::gateway>> gateways;
    for (int i = 0; i < 3; ++i)
        gateways.push_back(std::make_unique<kit::gateway>(
            "front-" + std::to_string(i + 1), folder.path(), store.address(),
            i == 0 ? 0 : gateways[0]->peers));
    for (const auto& each : gateways)
        each->start();
    for (const auto& each : gateways)
        if (!each->wait_ready(15'000))
            return kit::could_not_run;
    kit::sleep_ms(4'000);

    // What the kit does for each machine: a process above its memory is killed.
    std::atomic<bool> alive[3] = {true, true, true};
    std::atomic<int> killed_for_memory = 0;
    std::atomic<bool> stop = false;
    std::int64_t peak[3] = {};
    std::mutex processes;
    std::thread platform(
        [&]
        {
            for (; !stop; kit::sleep_ms(10))
            {
                const std::lock_guard hold(processes);
                for (int i = 0; i < 3; ++i)
                {
                    if (!alive[i])
                        continue;
                    const auto used = gateways[i]->memory_bytes();
                    peak[i] = std::max(peak[i], used);
                    if (used <= memory_limit_bytes)
                        continue;
                    record.line(gateways[i]->name(), " uses ", used / 1'000'000,
                        " MB, more than its machine has: it is killed");
                    alive[i] = false;
                    ++killed_for_memory;
                    gateways[i]->kill();
                }
            }
        });

    tally seen;
    const std::string body(body_bytes, 'c');
    const auto end = kit::now_ms() + 26'000;
    const auto loss = kit::now_ms() + 10'000;
    std::vector<std::thread> callers;
    for (int i = 0; i < callers_in_all; ++i)
        callers.emplace_back(
            [&, i]
            {
                kit::sleep_ms(i * 100);
                std::unique_ptr<kit::channel> kept;
                int at = -1;
                for (int n = 0; kit::now_ms() < end; ++n)
                {
                    // A connection that failed is replaced by one to a machine
                    // that serves.
                    if (!kept)
                    {
                        at = -1;
                        for (int k = 0; k < 3 && at < 0; ++k)
                            if (alive[(i + k) % 3])
                                at = (i + k) % 3;
                        if (at < 0)
                        {
                            kit::sleep_ms(200);
                            continue;
                        }
                        kept = kit::channel::connect(gateways[at]->callers);
                        if (!kept)
                        {
                            kit::sleep_ms(100);
                            continue;
                        }
                    }
                    const auto id =
                        std::to_string(1000 + i) + std::to_string(100 + n);
                    const bool planned = !alive[at];
                    const auto got = kit::send_request(*kept, "POST",
                        "/batch/x",
                        {{"Host", "desk.example"}, {"Request-Id", id},
                            {"Model", "model-a"}, {"Token-Counts", "9000,73"},
                            {"Prompt-Prefix",
                                "a1:2520,b" + id + ":3780,c" + id + ":2700"},
                            {"Deadline-Ms", "10000"}, {"Credential", "key-1"}},
                        body, milliseconds(10'500));
                    if (got.status == 200)
                    {
                        ++seen.answered;
                        continue;
                    }
                    kept.reset();
                    bool ran = false;
                    {
                        const std::lock_guard hold(lock);
                        ran = begun.contains(id);
                    }
                    // Those of the machines that the case kills are excused.
                    const bool survivor = at == 2 || !kit::trouble();
                    const bool closed =
                        got.status == 0 && ran && survivor && !planned;
                    ++(closed ? seen.lost : seen.other);
                    if (survivor)
                        record.line("request ", id, " at ",
                            gateways[at]->name(), ": ", got.how,
                            ran ? ", a replica ran it" : "");
                    kit::sleep_ms(200);
                }
            });
    while (kit::now_ms() < loss)
        kit::sleep_ms(10);
    {
        const std::lock_guard hold(processes);
        for (int i = 0; i < 3; ++i)
            record.line(gateways[i]->name(), ": peak of ", peak[i] / 1'000'000,
                " MB before the loss");
        for (int i = 0; i < 2 && kit::trouble(); ++i)
        {
            record.line(gateways[i]->name(), " is lost (SIGKILL)");
            alive[i] = false;
            gateways[i]->kill();
        }
    }
    for (auto& each : callers)
        each.join();
    stop = true;
    platform.join();
    for (int i = 0; i < 3; ++i)
        record.line(gateways[i]->name(), ": peak of ", peak[i] / 1'000'000,
            " MB of ", memory_limit_bytes / 1'000'000);
    record.line(seen.answered.load(), " answered; ", seen.lost.load(),
        " closed without an answer by a machine that was not lost, though a "
        "replica ran them; ",
        seen.other.load(), " otherwise");
    return killed_for_memory > 0 && seen.lost > 3 ? kit::broken : kit::held;
}

} // namespace

int main(int argc, char** argv)
{
    return kit::run_case(argc, argv, play);
}
