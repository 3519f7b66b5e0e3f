#include <algorithm>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr int gateway_count = 3;
constexpr int engine_count = 6;
constexpr milliseconds bad_interval{250};
constexpr int bad_requests = 40;
/// Sound requests alone, before the first request with the bad part.
constexpr milliseconds sound_time{3'000};

// The targets of issue 20.
constexpr std::size_t counted_crash = 5;
constexpr std::int64_t arrivals_after_ms = 3'000;
constexpr std::size_t max_late_arrivals = 3;
constexpr std::int64_t sound_after_ms = 6'000;

// The stand-in reports times of the same clock.
std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        clock::now().time_since_epoch())
        .count();
}

std::string engine(int i)
{
    return fmt::format("e{}", i + 1);
}

// The times of all engines in their order.
std::vector<std::int64_t> times(
    const gateway_system& system, const std::string& kind)
{
    std::vector<std::int64_t> out;
    for (int i = 0; i < engine_count; ++i)
    {
        const auto runs = system.runs(engine(i));
        for (const auto& at : runs.at(kind))
            out.push_back(at.get<std::int64_t>());
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::size_t count_within(
    const std::vector<std::int64_t>& times, std::int64_t from, std::int64_t to)
{
    return static_cast<std::size_t>(std::count_if(times.begin(), times.end(),
        [&](std::int64_t each) { return each >= from && each < to; }));
}

/// Callers of sound requests at each gateway, one request after another, and
/// the times of their answers.
class sound_callers
{
public:
    explicit sound_callers(gateway_system& system)
    {
        constexpr int callers_of_a_gateway = 2;
        for (int i = 0; i < gateway_count * callers_of_a_gateway; ++i)
            threads_.emplace_back(
                [this, &system, i](const std::stop_token& stop)
                { call(system, i, stop); });
    }

    std::vector<std::int64_t> answers() const
    {
        const std::lock_guard lock(mutex_);
        return answers_;
    }

private:
    void call(gateway_system& system, int i, const std::stop_token& stop)
    {
        for (int n = 0; !stop.stop_requested(); ++n)
        {
            auto call = system.stream_call("m");
            call.headers["Prompt-Prefix"] =
                fmt::format("1:60,5{}:20,7{:x}:20", n % 5, i * 10'000 + n);
            const auto reply = send_once(system.entry(i % gateway_count), call);
            if (reply.status == 200 && reply.complete)
            {
                const std::lock_guard lock(mutex_);
                answers_.push_back(now_ms());
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    mutable std::mutex mutex_;
    std::vector<std::int64_t> answers_;
    // Ends before the members that it uses.
    std::vector<std::jthread> threads_;
};

// Requests with the bad part at different places of the prompt, each with other
// parts of its own.
void send_bad_requests(gateway_system& system)
{
    std::vector<std::jthread> callers;
    for (int n = 0; n < bad_requests; ++n)
    {
        auto call = system.stream_call("m");
        call.headers["Prompt-Prefix"] =
            n % 2 == 0 ? fmt::format("1:60,bad:20,8{:x}:20,9{:x}:20", n, n)
                       : fmt::format("1:60,8{:x}:20,bad:20,9{:x}:20", n, n);
        callers.emplace_back([entry = system.entry(n % gateway_count), call]
            { send_once(entry, call); });
        std::this_thread::sleep_for(bad_interval);
    }
}

} // namespace

class crashing_part_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_part_test);
    CPPUNIT_TEST(a_part_that_crashes_engines_is_kept_from_them);
    CPPUNIT_TEST(a_part_that_crashes_engines_after_an_event_is_kept_from_them);
    CPPUNIT_TEST(a_part_that_crashes_engines_at_both_moments_is_kept_from_them);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that crash one engine after another although
    // what they have in common is known, and against sound requests that are
    // refused with them.
    void a_part_that_crashes_engines_is_kept_from_them()
    {
        play([](int) { return 0; });
    }

    // Guards against a first event that is taken for the answer to a request,
    // so that the crash after it counts as no evidence.
    void a_part_that_crashes_engines_after_an_event_is_kept_from_them()
    {
        play([](int) { return 1; });
    }

    // Guards against a first event at one engine that clears the crashes before
    // the first event at others.
    void a_part_that_crashes_engines_at_both_moments_is_kept_from_them()
    {
        play([](int number) { return number % 2; });
    }

private:
    // `events_before_crash` tells how many events of a bad request an engine
    // sends before it ends.
    static void play(const std::function<int(int)>& events_before_crash)
    {
        gateway_system system(gateway_count, engine_count);
        for (int i = 0; i < engine_count; ++i)
            system.fault(
                engine(i), {{"crash_part", "bad"}, {"begin_ms", 50},
                               {"crash_after_events", events_before_crash(i)}});
        const sound_callers callers(system);
        CPPUNIT_ASSERT(eventually([&] { return callers.answers().size() > 20; },
            milliseconds(25'000)));
        std::this_thread::sleep_for(sound_time);
        send_bad_requests(system);

        const auto crashes = times(system, "crashes");
        CPPUNIT_ASSERT(!crashes.empty());
        // The decision may need fewer crashes.
        const auto decided =
            crashes.at(std::min(counted_crash, crashes.size()) - 1);
        const auto sound_window_end =
            decided + sound_after_ms + milliseconds(sound_time).count();
        while (now_ms() < sound_window_end)
            std::this_thread::sleep_for(milliseconds(50));
        const auto late = count_within(times(system, "crash_part_arrivals"),
            decided + arrivals_after_ms, now_ms());
        const auto answers = callers.answers();
        const auto before = count_within(
            answers, crashes.front() - sound_time.count(), crashes.front());
        const auto after =
            count_within(answers, decided + sound_after_ms, sound_window_end);
        const auto seen = fmt::format(
            "{} crashes, {} late arrivals; {} sound answers before, {} after",
            times(system, "crashes").size(), late, before, after);
        CPPUNIT_ASSERT_MESSAGE(seen, late <= max_late_arrivals);
        CPPUNIT_ASSERT_MESSAGE(seen, 2 * after >= before);
        CPPUNIT_ASSERT_MESSAGE(seen, before > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_part_test);

} // namespace tarragonquay::test_support
