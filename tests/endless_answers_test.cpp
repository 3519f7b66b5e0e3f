#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/caller_loops.hpp"
#include "support/gateway_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

/// Memory that a gateway may use on the users' machines.
constexpr std::int64_t memory_bound = 160'000'000;
constexpr int faulty_callers = 64;
constexpr int sound_callers = 4;
/// Time for which callers send requests to endpoints with one fault.
constexpr milliseconds fault_time{700};

/// Deadline of requests whose answers stall.
constexpr auto stalled_deadline_ms = "700";

const std::vector<std::string> faults = {"stalled", "head", "heads", "body",
    "length", "chunks", "extension", "trailer"};

/// One request to a faulty endpoint.
struct faulty_call
{
    std::string id;
    std::string fault;
    std::string route;
    int status = 0;
    bool complete = false;
};

/// Endpoint s1 and the engines serve one service each; s2 serves a third one.
json make_separate_services()
{
    auto out = make_configuration(5);
    out["routes"].push_back(make_route("/sound/", "unsafe", "sound"));
    out["services"].push_back({{"name", "sound"}, {"max_connections", 100}});
    return out;
}

class endless_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_answers_test);
    CPPUNIT_TEST(endless_answers_harm_no_other_request);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an endpoint whose answers without end use up the memory
    // of the gateway, and with it the requests of all other callers.
    void endless_answers_harm_no_other_request()
    {
        gateway_system system;
        system.configure(make_separate_services());
        system.put("servers", "s2",
            {{"service", "sound"}, {"address", system.platform->address("s2")},
                {"zone", "z1"}, {"version", "v1"}, {"slots", 4},
                {"state", "ready"}, {"born", 1}, {"sequence", 0},
                {"models", json::array()}});
        CPPUNIT_ASSERT(eventually(
            [&] { return system.call(0, "/sound/x").status == 200; }));
        // The directory may still list s2 under its first service.
        CPPUNIT_ASSERT(eventually(
            [&] {
                return system.call(0, "/once/x").body.find("s1") !=
                       std::string::npos;
            }));
        caller_loops sound;
        std::atomic<int> answered = 0;
        for (int i = 0; i < sound_callers; ++i)
            sound.add(
                [&]
                {
                    const auto reply = system.call(0, "/sound/x");
                    if (reply.status == 200 && reply.complete &&
                        reply.body.find("s2") != std::string::npos)
                    {
                        ++answered;
                        return std::string();
                    }
                    return fmt::format(
                        "sound request: {} {}", reply.status, reply.body);
                },
                milliseconds(10));

        for (const auto& fault : faults)
            play(system, "s1", fault, {"/once/x", "/safe/x"}, {});
        for (const auto* fault : {"chunks", "head", "extension"})
        {
            // Engines that failed are asked again after a while.
            CPPUNIT_ASSERT(eventually(
                [&]
                {
                    const auto reply = system.call(0, "/stream/x", "m");
                    return reply.complete && reply.events.size() == 5;
                },
                milliseconds(25'000)));
            play(system, "e1", fault, {"/stream/x"}, "m");
        }
        sound.stop();

        auto& gateway = *system.gateways[0];
        const auto peak = gateway.peak_resident_bytes();
        std::cout << fmt::format(
            "\n{} faulty requests were sent, {} not; {} sound answers; peak "
            "{} MB\n",
            sent_, calls_.size() - sent_, answered.load(), peak / 1'000'000);
        CPPUNIT_ASSERT(gateway.running());
        CPPUNIT_ASSERT_EQUAL(std::string(), sound.failures());
        CPPUNIT_ASSERT_GREATER(100, answered.load());
        CPPUNIT_ASSERT_EQUAL(std::string(), wrong_);
        CPPUNIT_ASSERT_LESS(memory_bound, peak);
    }

private:
    void play(gateway_system& system, const std::string& endpoint,
        const std::string& fault, const std::vector<std::string>& routes,
        const std::string& model)
    {
        const std::vector<std::string> endpoints =
            model.empty() ? std::vector<std::string>{endpoint}
                          : std::vector<std::string>{"e1", "e2"};
        for (const auto& each : endpoints)
            system.fault(each, {{"endless", fault}});
        std::mutex mutex;
        std::vector<faulty_call> calls;
        std::vector<std::thread> callers;
        callers.reserve(faulty_callers);
        const auto end = std::chrono::steady_clock::now() + fault_time;
        for (int i = 0; i < faulty_callers; ++i)
            callers.emplace_back(
                [&, i]
                {
                    while (std::chrono::steady_clock::now() < end)
                    {
                        const auto& route = routes[i % routes.size()];
                        auto call = system.make_call(route, model, "k1");
                        if (fault == "stalled")
                            call.headers["Deadline-Ms"] = stalled_deadline_ms;
                        const auto reply = send_once(system.entry(0), call);
                        {
                            const std::lock_guard lock(mutex);
                            calls.push_back({call.headers.at("Request-Id"),
                                fault, route, reply.status, reply.complete});
                        }
                        std::this_thread::sleep_for(milliseconds(20));
                    }
                });
        for (auto& each : callers)
            each.join();
        for (const auto& each : endpoints)
            system.fault(each, json::object());
        check(system, endpoints, calls);
    }

    // An endpoint that failed is not asked for a while; requests that reach no
    // endpoint get 503.
    void check(const gateway_system& system,
        const std::vector<std::string>& endpoints,
        const std::vector<faulty_call>& calls)
    {
        std::map<std::string, int> runs;
        for (const auto& endpoint : endpoints)
        {
            const auto seen = system.runs(endpoint).at("runs");
            for (const auto& [id, count] : seen.items())
                runs[id] += count.get<int>();
        }
        std::size_t sent = 0;
        for (const auto& each : calls)
        {
            const auto found = runs.find(each.id);
            const int times = found == runs.end() ? 0 : found->second;
            sent += times > 0 ? 1 : 0;
            const bool at_most_once = each.route == "/once/x";
            const bool failed_as_sent =
                each.status == 502 || each.status == 504;
            if (!each.complete || (at_most_once && times > 1) ||
                !(failed_as_sent || (each.status == 503 && times == 0)))
                wrong_ += fmt::format("{} {} {}: {}, sent {} times\n",
                    each.fault, each.route, each.id, each.status, times);
        }
        if (sent == 0)
            wrong_ += "no request was sent to " + endpoints.front() + ", " +
                      calls.front().fault + "\n";
        calls_.insert(calls_.end(), calls.begin(), calls.end());
        sent_ += sent;
    }

    std::vector<faulty_call> calls_;
    std::size_t sent_ = 0;
    std::string wrong_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answers_test);

} // namespace
} // namespace tarragonquay::test_support
