#include "dispatch/repeat_budget.hpp"

#include <deque>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay::dispatch
{

using namespace std::chrono_literals;

class repeat_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeat_budget_test);
    CPPUNIT_TEST(repeats_are_limited_to_a_fraction_of_the_requests);
    CPPUNIT_TEST(slack_is_split_among_the_instances);
    CPPUNIT_TEST(no_window_exceeds_the_limits);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeats_are_limited_to_a_fraction_of_the_requests()
    {
        repeat_budget budget;
        for (int i = 0; i < 100; ++i)
            budget.count_request(start_);
        CPPUNIT_ASSERT_EQUAL(
            16, take_until_empty(budget, {0.2, 10'000, 0}, 1, start_));
        CPPUNIT_ASSERT_EQUAL(
            0, take_until_empty(budget, {0.2, 10'000, 0}, 1, start_ + 30s));
    }

    // Guards against a fleet in which each instance uses the whole slack.
    void slack_is_split_among_the_instances()
    {
        int all = 0;
        for (int i = 0; i < 7; ++i)
        {
            repeat_budget budget;
            all += take_until_empty(budget, {0.2, 10'000, 54}, 7, start_);
        }
        CPPUNIT_ASSERT(all > 30);
        CPPUNIT_ASSERT(all <= 54);
    }

    // Guards against exceeding the limits in a window that is not aligned with
    // the slots of the counter.
    void no_window_exceeds_the_limits()
    {
        CPPUNIT_ASSERT(rc::check(
            [this](const std::vector<std::uint8_t>& steps)
            {
                repeat_budget budget;
                const repeat_limits limits{0.2, 10'000, 10};
                std::deque<time_point> requests;
                std::deque<time_point> repeats;
                auto now = start_;
                for (const auto step : steps)
                {
                    now += std::chrono::milliseconds(step * 10);
                    budget.count_request(now);
                    requests.push_back(now);
                    if (budget.take(limits, 1, now))
                        repeats.push_back(now);
                    // Requests of this window and of the one before it count.
                    const auto within = [&](const auto& times, duration length)
                    {
                        return std::count_if(times.begin(), times.end(),
                            [&](time_point at) { return now - at < length; });
                    };
                    RC_ASSERT(static_cast<double>(within(repeats, 9500ms)) <=
                              limits.ratio * static_cast<double>(
                                                 within(requests, 20s)) +
                                  limits.slack);
                }
            }));
    }

private:
    static int take_until_empty(repeat_budget& budget,
        const repeat_limits& limits, std::int64_t instances, time_point now)
    {
        int taken = 0;
        while (budget.take(limits, instances, now))
            ++taken;
        return taken;
    }

    const time_point start_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_budget_test);

} // namespace tarragonquay::dispatch
