#include <cppunit/extensions/HelperMacros.h>

#include "gateway/demand_trend.hpp"
#include "gateway/load_window.hpp"
#include "gateway/model_demand.hpp"

namespace tarragonquay::gateway
{

using namespace std::chrono_literals;

class placement_inputs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_inputs_test);
    CPPUNIT_TEST(loads_stay_within_the_rate_in_every_window);
    CPPUNIT_TEST(a_new_holder_waits_for_the_loads_of_the_previous_one);
    CPPUNIT_TEST(rising_demand_is_extrapolated);
    CPPUNIT_TEST(steady_demand_is_not_mistaken_for_a_trend);
    CPPUNIT_TEST(demand_that_has_ended_is_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more loads than the store allows in any five seconds.
    void loads_stay_within_the_rate_in_every_window()
    {
        constexpr double rate = 1.4;
        load_window tested;
        std::vector<time_point> started;
        for (int i = 0; i < 400; ++i)
        {
            now_ += 50ms;
            while (tested.allowed(rate, now_) > 0)
            {
                tested.note_load(now_);
                started.push_back(now_);
            }
        }
        for (const auto from : started)
        {
            const auto count = std::count_if(started.begin(), started.end(),
                [&](time_point at) { return at >= from && at < from + 5s; });
            CPPUNIT_ASSERT(static_cast<double>(count) <= rate * 5 * 1.1 + 3);
        }
        CPPUNIT_ASSERT(started.size() > 20);
    }

    // Guards against two successive lease holders that each start the allowed
    // number of loads.
    void a_new_holder_waits_for_the_loads_of_the_previous_one()
    {
        load_window tested;
        tested.note_takeover(now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), tested.allowed(1.4, now_ + 4s));
        CPPUNIT_ASSERT(tested.allowed(1.4, now_ + 5s) > 0);
    }

    // Guards against replicas that become ready seconds after the demand:
    // demand can move to another model within six seconds, and a load takes
    // four.
    void rising_demand_is_extrapolated()
    {
        demand_trend tested;
        for (int i = 0; i <= 12; ++i, now_ += 250ms)
            tested.add(i * 25.0, now_);
        CPPUNIT_ASSERT(tested.forecast(4) > 600);
        CPPUNIT_ASSERT(tested.forecast(4) <= 300 * demand_trend::max_growth);
    }

    void steady_demand_is_not_mistaken_for_a_trend()
    {
        demand_trend tested;
        for (int i = 0; i <= 12; ++i, now_ += 250ms)
            tested.add(i % 2 == 0 ? 95 : 105, now_);
        CPPUNIT_ASSERT(tested.forecast(4) > 80);
        CPPUNIT_ASSERT(tested.forecast(4) < 130);
    }

    void demand_that_has_ended_is_dropped()
    {
        model_demand tested;
        tested.add({service_id("s"), model_id("m"), {}}, 100, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.rates(now_).size());
        CPPUNIT_ASSERT(tested.rates(now_ + 60s).empty());
    }

private:
    time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_inputs_test);

} // namespace tarragonquay::gateway
