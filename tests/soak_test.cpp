#include <mutex>
#include <numeric>
#include <random>
#include <set>
#include <stop_token>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

constexpr int gateway_count = 3;
constexpr int callers_per_gateway = 2;
/// Time for faults in one case, and for the fleet to serve again afterwards.
constexpr milliseconds fault_time{6'000};
constexpr milliseconds recovery_time{20'000};
/// Time that the settings give a gateway to stop.
constexpr milliseconds stop_time{4'000};

/// What callers saw of non-idempotent requests and of streams.
class observations
{
public:
    void note_call(const std::string& id, int status)
    {
        const std::scoped_lock lock(mutex_);
        calls_[id] = status;
    }

    void note_stream(const std::string& id, const http_reply& reply)
    {
        const std::scoped_lock lock(mutex_);
        for (std::size_t i = 0; i < reply.events.size(); ++i)
            if (reply.events[i].id != std::to_string(i + 1))
                wrong_ += "stream " + id + " misses or repeats an event; ";
        if (reply.status == 200 && reply.complete && reply.events.size() != 5)
            wrong_ += "stream " + id + " looks complete and is not; ";
    }

    // Compares the answers with what endpoints ran.
    std::string broken_promises(const gateway_system& system) const
    {
        auto out = wrong_;
        std::map<std::string, int> runs;
        for (const auto* each : {"s1", "s2"})
        {
            const auto ran = system.runs(each);
            for (const auto& [id, count] : ran.at("runs").items())
                runs[id] += count.get<int>();
        }
        for (const auto& [id, status] : calls_)
        {
            if (runs[id] > 1)
                out += "call " + id + " ran twice; ";
            if ((status == 503 || status == 429) && runs[id] > 0)
                out += "call " + id + " was refused and ran; ";
            if (status == 200 && runs[id] != 1)
                out += "call " + id + " was answered and has not run; ";
        }
        return out;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> calls_;
    std::string wrong_;
};

/// Injects random faults from outside the programs, in series and overlapping.
class fault_injector
{
public:
    fault_injector(gateway_system& system, std::uint32_t seed)
        : system_(system), random_(seed)
    {
    }

    void run()
    {
        const auto end = std::chrono::steady_clock::now() + fault_time;
        while (std::chrono::steady_clock::now() < end)
        {
            inject(draw(0, 8));
            pause(draw(20, 400));
        }
        for (int i = 0; i < gateway_count; ++i)
            gateway(i).send_signal(SIGCONT);
        post(system_.platform->address("store"), "/admin/down",
            {{"down", false}});
        system_.disturb_store({{"heal", true}, {"cut_all", true}});
        for (int i = 0; i < gateway_count; ++i)
        {
            // One that stops ends within its time, and is not killed.
            if (stopping_.contains(i) && !gateway(i).wait(stop_time))
                failures_ += fmt::format("gateway {} did not stop; ", i);
            revive(i);
        }
    }

    const std::string& story() const { return story_; }
    const std::string& failures() const { return failures_; }

private:
    int draw(int low, int high)
    {
        return std::uniform_int_distribution(low, high)(random_);
    }

    static void pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

    process& gateway(int i)
    {
        return *system_.gateways[static_cast<std::size_t>(i)];
    }

    void start(int i)
    {
        stopping_.erase(i);
        system_.start(i);
    }

    void revive(int i)
    {
        if (!gateway(i).running())
            start(i);
    }

    void inject(int kind)
    {
        const int i = draw(0, gateway_count - 1);
        story_ += fmt::format("{}@{} ", kind, i);
        const auto* service = i == 0 ? "s1" : "s2";
        const auto* engine = i == 0 ? "e1" : "e2";
        switch (kind)
        {
        case 0:
            gateway(i).send_signal(SIGSTOP);
            pause(draw(50, 1'200));
            return gateway(i).send_signal(SIGCONT);
        case 1:
            gateway(i).kill();
            return start(i);
        case 2:
            stopping_.insert(i);
            return gateway(i).send_signal(SIGTERM);
        case 3:
            for (int k = 0; k < gateway_count; ++k)
                revive(k);
            return;
        case 4:
            return void(post(system_.platform->address("store"), "/admin/down",
                {{"down", draw(0, 1) == 1}}));
        case 5:
            return system_.disturb_store({{"cut_all", true}});
        case 6:
            return system_.disturb_store(
                {{"freeze_open", "down"}, {"delay_ms", draw(0, 200)}});
        case 7:
            system_.fault(service, {{"lose_answers", draw(1, 3)}});
            return system_.fault(engine,
                {{"cut_streams", draw(0, 2)}, {"event_ms", draw(1, 200)}});
        default:
            return system_.configure(make_configuration(++version_));
        }
    }

    gateway_system& system_;
    std::mt19937 random_;
    int version_ = 3;
    std::set<int> stopping_;
    std::string story_;
    std::string failures_;
};

// Uses one connection until it is closed, then a new one.
void keep_calling(gateway_system& system, int number, observations& seen,
    const std::stop_token& stop)
{
    const auto entry = system.entry(number % gateway_count);
    auto client = std::make_unique<http_client>(entry);
    for (int i = 0; !stop.stop_requested(); ++i)
    {
        const bool streamed = i % 3 == 2;
        auto call = system.make_call(
            streamed ? "/stream/x" : "/once/x", streamed ? "m" : "", "k1");
        const auto id = fmt::format("c{}-{}", number, i);
        call.headers["Request-Id"] = id;
        if (!client->connected())
            client = std::make_unique<http_client>(entry);
        const auto reply = client->send(call);
        if (streamed)
            seen.note_stream(id, reply);
        else
            seen.note_call(id, reply.status);
        if (reply.status == 0)
            std::this_thread::sleep_for(milliseconds(20));
    }
}

// Seeds of the cases. TQ_SOAK_FIRST and TQ_SOAK_COUNT choose others than those
// that every run plays. Seed 1 failed once, when the soak did not wait for a
// gateway that was still stopping.
std::vector<std::uint32_t> seeds()
{
    const auto* first = std::getenv("TQ_SOAK_FIRST");
    const auto* count = std::getenv("TQ_SOAK_COUNT");
    if (first == nullptr)
        return {1, 2};
    std::vector<std::uint32_t> out(
        count == nullptr ? 1 : static_cast<std::size_t>(std::atoi(count)));
    std::iota(
        out.begin(), out.end(), static_cast<std::uint32_t>(std::atoi(first)));
    return out;
}

} // namespace

class soak_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(soak_test);
    CPPUNIT_TEST(promises_hold_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calls that run twice, refusals of calls that ran, and
    // streams with gaps, while processes and the store fail.
    void promises_hold_under_random_faults()
    {
        for (const auto seed : seeds())
            play(seed);
    }

private:
    static void play(std::uint32_t seed)
    {
        gateway_system system(gateway_count);
        observations seen;
        // Ends the callers also when a fault can't be injected.
        std::vector<std::jthread> callers;
        constexpr int caller_count = gateway_count * callers_per_gateway;
        callers.reserve(std::size_t(caller_count));
        for (int i = 0; i < caller_count; ++i)
            callers.emplace_back([&, i](const std::stop_token& stop)
                { keep_calling(system, i, seen, stop); });
        fault_injector faults(system, seed);
        faults.run();
        bool serves = true;
        for (int i = 0; i < gateway_count; ++i)
            serves = serves &&
                     eventually([&]
                         { return system.call(i, "/once/x").status == 200; },
                         recovery_time);
        for (auto& each : callers)
            each.request_stop();
        callers.clear();
        const auto place =
            fmt::format("seed {}, faults {}: ", seed, faults.story());
        CPPUNIT_ASSERT_MESSAGE(place + "a gateway does not serve", serves);
        const auto broken = faults.failures() + seen.broken_promises(system);
        CPPUNIT_ASSERT_MESSAGE(place + broken, broken.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);

} // namespace tarragonquay::test_support
