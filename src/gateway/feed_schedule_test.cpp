#include "gateway/feed_schedule.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::gateway
{

using namespace std::chrono_literals;

namespace
{

constexpr auto max_wait = 8s;
/// Until then, the calls of instances that begin together are spread.
constexpr auto settling_time = 20s;
constexpr auto watched_time = 120s;
constexpr auto heartbeat = 250ms;

struct instance
{
    feed_schedule schedule;
    instance_id id;
    time_point ends_at;
    time_point next_heartbeat;
};

instance_id id_of(int number)
{
    return instance_id("i" + std::to_string(100 + number));
}

/// Instances on a simulated clock that tell each other the ends of their calls
/// with each heartbeat. A call ends a few milliseconds late.
class simulated_fleet
{
public:
    simulated_fleet(int size, unsigned seed) : random_(seed)
    {
        for (int i = 0; i < size; ++i)
            add(i);
    }

    void add(int number)
    {
        const auto id = id_of(number);
        all_.push_back({feed_schedule(id), id, now_ + random_ms(0, 50),
            now_ + random_ms(0, 250)});
    }

    void remove_first() { all_.erase(all_.begin()); }

    // All calls are answered with a change.
    void change()
    {
        for (auto& each : all_)
            each.ends_at = each.schedule.next_end(now_, max_wait, true);
    }

    void run_for(duration time)
    {
        const auto end = now_ + time;
        for (; now_ < end; now_ += 5ms)
            for (auto& each : all_)
                step(each);
    }

    // The ends of calls since the last look.
    std::vector<time_point> take_ends() { return std::exchange(ended_, {}); }

    time_point now() const { return now_; }

private:
    std::chrono::milliseconds random_ms(int from, int to)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(from, to)(random_));
    }

    void step(instance& each)
    {
        if (now_ >= each.ends_at + 5ms)
        {
            ended_.push_back(now_);
            each.ends_at = each.schedule.next_end(now_, max_wait, false);
        }
        if (now_ < each.next_heartbeat)
            return;
        each.next_heartbeat = now_ + heartbeat;
        if (each.schedule.ends_too_late(each.ends_at, now_))
            each.ends_at = each.schedule.next_end(now_, max_wait, false);
        for (auto& other : all_)
            if (other.id != each.id)
                other.schedule.put(each.id, each.ends_at, now_);
    }

    time_point now_{std::chrono::hours(1)};
    std::mt19937 random_;
    std::vector<instance> all_;
    std::vector<time_point> ended_;
};

duration longest_distance(const std::vector<time_point>& ends)
{
    duration out{};
    for (std::size_t i = 1; i < ends.size(); ++i)
        out = std::max(out, ends[i] - ends[i - 1]);
    return out;
}

// Heartbeats are that old, and the last call may end just too late to count.
constexpr auto longest_permitted =
    feed_schedule::max_distance + feed_schedule::tolerance + 2 * heartbeat;

} // namespace

class feed_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(feed_schedule_test);
    CPPUNIT_TEST(calls_of_a_fleet_end_one_after_the_other);
    CPPUNIT_TEST(calls_are_spread_anew_after_a_change);
    CPPUNIT_TEST(an_instance_that_is_lost_is_replaced);
    CPPUNIT_TEST(a_long_call_is_cut_short_when_the_others_make_none);
    CPPUNIT_TEST(a_large_fleet_makes_no_more_calls_than_with_the_longest_wait);
    CPPUNIT_TEST(a_single_instance_waits_for_the_longest_distance);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against instances that all notice silent connections late, since
    // their calls end together or seldom.
    void calls_of_a_fleet_end_one_after_the_other()
    {
        for (const int size : {1, 2, 3, 7, 9, 28})
            for (unsigned seed = 1; seed <= 5; ++seed)
            {
                simulated_fleet fleet(size, seed);
                fleet.run_for(settling_time);
                fleet.take_ends();
                fleet.run_for(watched_time);
                check_distance(fleet, size);
            }
    }

    // Guards against calls that begin together after a change and end together
    // a long time later.
    void calls_are_spread_anew_after_a_change()
    {
        for (const int size : {1, 2, 3, 7, 9, 28})
            for (unsigned seed = 1; seed <= 5; ++seed)
            {
                simulated_fleet fleet(size, seed);
                fleet.run_for(settling_time + 170ms * seed);
                fleet.take_ends();
                fleet.change();
                const auto changed_at = fleet.now();
                fleet.run_for(settling_time);
                auto ends = fleet.take_ends();
                ends.insert(ends.begin(), changed_at);
                CPPUNIT_ASSERT_MESSAGE(describe(ends, size),
                    longest_distance(ends) <= longest_permitted);
            }
    }

    // Guards against a gap that stays when the instance whose call ended in it
    // is gone.
    void an_instance_that_is_lost_is_replaced()
    {
        for (const int size : {2, 3, 7})
        {
            simulated_fleet fleet(size, 1);
            fleet.run_for(settling_time);
            fleet.take_ends();
            fleet.remove_first();
            fleet.run_for(watched_time);
            check_distance(fleet, size, feed_schedule::report_lifetime);
        }
    }

    // Guards against a call that was planned among many and is the only one
    // left when the others leave the store to relays.
    void a_long_call_is_cut_short_when_the_others_make_none()
    {
        simulated_fleet fleet(12, 1);
        fleet.change();
        for (int i = 1; i < 12; ++i)
            fleet.remove_first();
        fleet.take_ends();
        fleet.run_for(max_wait);
        const auto first = fleet.take_ends().front();
        CPPUNIT_ASSERT(first - (fleet.now() - max_wait) <=
                       longest_permitted + feed_schedule::report_lifetime);
    }

    // Guards against calls to the store that grow with the fleet.
    void a_large_fleet_makes_no_more_calls_than_with_the_longest_wait()
    {
        constexpr int size = 28;
        simulated_fleet fleet(size, 1);
        fleet.run_for(settling_time);
        fleet.take_ends();
        fleet.run_for(watched_time);
        const auto calls = fleet.take_ends().size();
        const auto least = size * (watched_time / max_wait);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= 11 * least / 10);
    }

    void a_single_instance_waits_for_the_longest_distance()
    {
        const feed_schedule tested(id_of(1));
        const time_point now{std::chrono::hours(1)};
        CPPUNIT_ASSERT(tested.next_end(now, max_wait, false) ==
                       now + feed_schedule::max_distance);
        CPPUNIT_ASSERT(tested.next_end(now, 300ms, true) == now + 300ms);
    }

private:
    static std::string describe(const std::vector<time_point>& ends, int size)
    {
        return std::to_string(size) + " instances, " +
               std::to_string(ends.size()) + " calls, " +
               std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       longest_distance(ends))
                       .count()) +
               " ms";
    }

    static void check_distance(
        simulated_fleet& fleet, int size, duration additional = {})
    {
        const auto ends = fleet.take_ends();
        CPPUNIT_ASSERT_MESSAGE(describe(ends, size),
            longest_distance(ends) <= longest_permitted + additional);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(feed_schedule_test);

} // namespace tarragonquay::gateway
