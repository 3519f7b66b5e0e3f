#include <algorithm>
#include <set>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway/demand_trend.hpp"
#include "gateway/limited_engines.hpp"
#include "gateway/load_window.hpp"
#include "gateway/model_demand.hpp"

namespace tarragonquay::gateway
{

using namespace std::chrono_literals;

class placement_inputs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_inputs_test);
    CPPUNIT_TEST(loads_stay_within_the_rate_in_every_window);
    CPPUNIT_TEST(loads_of_successive_holders_stay_within_the_rate);
    CPPUNIT_TEST(a_new_holder_starts_loads_at_once);
    CPPUNIT_TEST(rising_demand_is_extrapolated);
    CPPUNIT_TEST(steady_demand_is_not_mistaken_for_a_trend);
    CPPUNIT_TEST(demand_that_has_ended_is_dropped);
    CPPUNIT_TEST(demand_counts_as_larger_for_models_of_limited_engines);
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
            while (tested.allowed(limit(rate), now_) > 0)
            {
                tested.note_load(now_);
                started.push_back(now_);
            }
        }
        CPPUNIT_ASSERT(most_in_window(started) <= rate * 5 * 1.1 + 3);
        CPPUNIT_ASSERT(started.size() > 20);
    }

    // Guards against successive lease holders that each start the usual number
    // of loads, whenever the next one takes over.
    void loads_of_successive_holders_stay_within_the_rate()
    {
        for (const double rate : {1.1, 1.4, 2.7, 23.0})
            for (auto pause = 0ms; pause <= 6s; pause += 500ms)
            {
                std::vector<time_point> started;
                load_window first;
                start_all(first, rate, 20s, started);
                const auto ended = now_;
                now_ += pause;
                load_window second;
                second.note_takeover(ended);
                start_all(second, rate, 20s, started);
                CPPUNIT_ASSERT(most_in_window(started) <= rate * 5 * 1.1 + 3);
            }
    }

    // Guards against 5 s without loads after each change of the lease holder.
    void a_new_holder_starts_loads_at_once()
    {
        for (const double rate : {1.1, 1.4, 2.7, 23.0})
        {
            load_window tested;
            tested.note_takeover(now_);
            CPPUNIT_ASSERT(tested.allowed(limit(rate), now_) >= 3);
        }
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

    // Guards against a model that gets no further replica although the engines
    // that hold it take few of its requests.
    void demand_counts_as_larger_for_models_of_limited_engines()
    {
        const auto engine = [](const char* id, bool ready, bool usable)
        {
            placement::replica_view replica;
            replica.model = model_id("m");
            replica.ready = ready;
            placement::engine_view out;
            out.id = endpoint_id(id);
            out.usable = usable;
            out.replicas = {replica};
            return out;
        };
        const std::vector<placement::engine_view> engines{
            engine("e1", true, true), engine("e2", true, true),
            engine("e3", false, true), engine("e4", true, false)};
        const auto factor = [&](const std::set<endpoint_id>& limited)
        { return demand_factor(model_id("m"), engines, limited); };
        CPPUNIT_ASSERT_EQUAL(1.0, factor({}));
        CPPUNIT_ASSERT_EQUAL(
            1.0, factor({endpoint_id("e3"), endpoint_id("e4")}));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            2 / 1.4, factor({endpoint_id("e1")}), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            2.5, factor({endpoint_id("e1"), endpoint_id("e2")}), 1e-9);
        CPPUNIT_ASSERT_EQUAL(
            1.0, demand_factor(model_id("other"), engines, {}));
    }

private:
    static load_limit limit(double rate)
    {
        return load_limit::create(rate, settings::gateway_bounds());
    }

    // Starts every load that is allowed.
    void start_all(load_window& tested, double rate, duration time,
        std::vector<time_point>& started)
    {
        for (const auto end = now_ + time; now_ < end; now_ += 50ms)
            while (tested.allowed(limit(rate), now_) > 0)
            {
                tested.note_load(now_);
                started.push_back(now_);
            }
    }

    static double most_in_window(const std::vector<time_point>& started)
    {
        std::ptrdiff_t most = 0;
        for (const auto from : started)
            most = std::max(most, std::count_if(started.begin(), started.end(),
                                      [&](time_point at) {
                                          return at >= from && at < from + 5s;
                                      }));
        return static_cast<double>(most);
    }

    time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_inputs_test);

} // namespace tarragonquay::gateway
