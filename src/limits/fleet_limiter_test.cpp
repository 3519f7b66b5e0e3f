#include "limits/fleet_limiter.hpp"

#include <random>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::limits
{
namespace
{

using namespace std::chrono_literals;

const workspace_id acme("acme");

std::vector<routes::workspace> limit(std::int64_t rate, std::int64_t burst)
{
    routes::workspace out;
    out.id = acme;
    out.rate_per_second = rate;
    out.burst = burst;
    out.limit_in_tokens = true;
    return {out};
}

// Instances that tell each other their demands every quarter of a second.
class fleet
{
public:
    fleet(std::size_t count, std::int64_t rate, std::int64_t burst)
        : limiters(count)
    {
        for (auto& each : limiters)
            each.apply(limit(rate, burst), now);
        run_for(5s, {});
    }

    // Lets each instance serve these requests a second with this cost.
    double run_for(duration time, std::vector<double> per_second,
        std::int64_t cost = 1, std::size_t cut_off = 1'000)
    {
        constexpr duration step = 10ms;
        double admitted = 0;
        per_second.resize(limiters.size());
        std::vector<double> due(limiters.size());
        for (const auto end = now + time; now < end; now += step)
        {
            for (std::size_t i = 0; i < limiters.size(); ++i)
            {
                due[i] += per_second[i] * 0.01;
                for (; due[i] >= 1; --due[i])
                {
                    time_point retry_at;
                    if (limiters[i].admit(acme, cost, now, retry_at))
                        admitted += static_cast<double>(cost);
                }
            }
            if ((now.time_since_epoch() / step) % 25 == 0)
                tell(cut_off);
        }
        return admitted;
    }

    std::vector<fleet_limiter> limiters;
    time_point now{std::chrono::hours(1)};

private:
    void tell(std::size_t cut_off)
    {
        for (std::size_t from = 0; from < limiters.size(); ++from)
            for (std::size_t to = 0; to < limiters.size(); ++to)
            {
                if (from == to)
                    continue;
                const instance_id id("i" + std::to_string(from));
                if (from == cut_off || to == cut_off)
                    limiters[to].mark_peer_lost(id, now);
                else
                    limiters[to].put_peer_demands(
                        id, 1, limiters[from].own_demands(now), now);
            }
    }
};

} // namespace

class fleet_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_limiter_test);
    CPPUNIT_TEST(demand_below_the_rate_is_admitted_wherever_it_arrives);
    CPPUNIT_TEST(several_times_the_rate_is_cut_to_the_rate);
    CPPUNIT_TEST(large_requests_get_their_share_of_an_exceeded_limit);
    CPPUNIT_TEST(very_small_requests_pass_while_large_ones_use_the_limit_up);
    CPPUNIT_TEST(an_instance_that_is_cut_off_keeps_to_its_part);
    CPPUNIT_TEST(a_lower_limit_binds_at_once);
    CPPUNIT_TEST(sums_of_a_relay_count_as_all_their_instances);
    CPPUNIT_TEST(units_that_were_not_used_come_back);
    CPPUNIT_TEST(a_limit_without_tokens_counts_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals within the rate when all callers use one of
    // seven instances.
    void demand_below_the_rate_is_admitted_wherever_it_arrives()
    {
        fleet tested(7, 100'000, 100'000);
        const auto admitted =
            tested.run_for(10s, {9, 0, 0, 0, 0, 0, 0}, 10'000);
        CPPUNIT_ASSERT_EQUAL(890'000.0, admitted);
    }

    // Guards against one workspace at 7.5 times its usual that takes the
    // others' engines.
    void several_times_the_rate_is_cut_to_the_rate()
    {
        fleet tested(7, 100'000, 100'000);
        const std::vector<double> per_second(7, 10.7);
        const auto admitted = tested.run_for(8s, per_second, 10'000);
        // Rate and burst, and the excess that the limit's bound leaves.
        CPPUNIT_ASSERT(admitted <= (8 * 100'000 + 100'000) * 1.1 + 110'000);
        CPPUNIT_ASSERT(admitted >= 8 * 100'000 * 0.9);
    }

    // Guards against large requests that starve behind small ones of the same
    // workspace.
    void large_requests_get_their_share_of_an_exceeded_limit()
    {
        fleet tested(1, 10'000, 10'000);
        auto& limiter = tested.limiters.front();
        double small = 0;
        double large = 0;
        time_point retry_at;
        std::mt19937 random(1);
        for (int i = 0; i < 40'000; ++i)
        {
            tested.now += 10ms;
            const bool is_large = random() % 10 == 0;
            const auto cost = is_large ? 5'000 : 500;
            if (limiter.admit(acme, cost, tested.now, retry_at))
                ++(is_large ? large : small);
        }
        // There are nine small ones for each large one.
        CPPUNIT_ASSERT(large / 1 >= small / 9 * 0.5);
    }

    // Guards against an instance without news of the others that spends the
    // whole limit.
    void an_instance_that_is_cut_off_keeps_to_its_part()
    {
        fleet tested(7, 100'000, 100'000);
        const std::vector<double> per_second(7, 10.7);
        tested.run_for(5s, per_second, 10'000);
        const auto admitted = tested.run_for(8s, per_second, 10'000, 3);
        CPPUNIT_ASSERT(admitted <= (8 * 100'000 + 100'000) * 1.1 + 110'000);
    }

    // Guards against status lookups that are refused as often as long prompts
    // when a workspace asks for several times its rate.
    void very_small_requests_pass_while_large_ones_use_the_limit_up()
    {
        fleet tested(1, 100'000, 100'000);
        auto& limiter = tested.limiters.front();
        int small = 0;
        int large = 0;
        time_point retry_at;
        for (int i = 0; i < 1'000; ++i)
        {
            tested.now += 10ms;
            large += limiter.admit(acme, 10'000, tested.now, retry_at) ? 1 : 0;
            small += limiter.admit(acme, 200, tested.now, retry_at) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1'000, small);
        CPPUNIT_ASSERT((large * 10'000 + small * 200) <=
                       (10 * 100'000 + 100'000) * 1.1 + 110'000);
    }

    void a_lower_limit_binds_at_once()
    {
        fleet tested(3, 100'000, 100'000);
        for (auto& each : tested.limiters)
            each.apply(limit(10'000, 10'000), tested.now);
        const auto admitted = tested.run_for(8s, {3, 3, 3}, 10'000);
        CPPUNIT_ASSERT(admitted <= (8 * 10'000 + 10'000) * 1.1 + 110'000);
    }

    // Guards against an instance of ninety that spends half of the limit when
    // its relay falls silent.
    void sums_of_a_relay_count_as_all_their_instances()
    {
        fleet tested(1, 100'000, 100'000);
        auto& limiter = tested.limiters.front();
        const instance_id relay("r1");
        for (int i = 0; i < 40; ++i)
        {
            tested.now += 250ms;
            limiter.put_peer_demands(
                relay, 1, {{acme, 200'000, 0}}, tested.now, 89);
        }
        limiter.mark_peer_lost(relay, tested.now);
        const auto admitted = tested.run_for(8s, {1}, 10'000);
        // Its part by demand, and the burst's.
        CPPUNIT_ASSERT(admitted <= 9 * 100'000 * 0.1);
    }

    void units_that_were_not_used_come_back()
    {
        fleet tested(1, 1'000, 1'000);
        auto& limiter = tested.limiters.front();
        time_point retry_at;
        CPPUNIT_ASSERT(limiter.admit(acme, 5'000, tested.now, retry_at));
        CPPUNIT_ASSERT(!limiter.admit(acme, 1, tested.now, retry_at));
        CPPUNIT_ASSERT(retry_at > tested.now + 3s);
        CPPUNIT_ASSERT(retry_at < tested.now + 5s);
        limiter.refund(acme, 5'000, tested.now);
        CPPUNIT_ASSERT(limiter.admit(acme, 1, tested.now, retry_at));
    }

    void a_limit_without_tokens_counts_requests()
    {
        auto workspace = limit(1, 1).front();
        workspace.default_request_tokens = 200;
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(200), fleet_limiter::cost(workspace, std::nullopt));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(70), fleet_limiter::cost(workspace, 70));
        workspace.limit_in_tokens = false;
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1), fleet_limiter::cost(workspace, 70));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_limiter_test);

} // namespace tarragonquay::limits
