#include "dispatch/run_time.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::dispatch
{

using namespace std::chrono_literals;

class run_time_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(run_time_test);
    CPPUNIT_TEST(nothing_is_estimated_before_a_measurement);
    CPPUNIT_TEST(a_run_without_a_size_is_ignored);
    CPPUNIT_TEST(estimate_is_proportional_to_the_size);
    CPPUNIT_TEST(estimate_approaches_the_mean_of_equal_runs);
    CPPUNIT_TEST(estimate_covers_runs_that_vary);
    CPPUNIT_TEST(estimate_follows_slower_runs);
    CPPUNIT_TEST(a_slow_small_run_does_not_outweigh_large_ones);
    CPPUNIT_TEST(huge_sizes_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a refusal without evidence.
    void nothing_is_estimated_before_a_measurement()
    {
        CPPUNIT_ASSERT(!run_time().upper_estimate(100));
    }

    // Guards against a division by zero.
    void a_run_without_a_size_is_ignored()
    {
        run_time tested;
        tested.observe(0, 1s);
        CPPUNIT_ASSERT(!tested.upper_estimate(100));
        tested.observe(10, 1s);
        CPPUNIT_ASSERT(!tested.upper_estimate(0));
    }

    // Guards against long streams that are taken for short ones.
    void estimate_is_proportional_to_the_size()
    {
        run_time tested;
        tested.observe(10, 100ms);
        const auto difference =
            *tested.upper_estimate(40) - 4 * *tested.upper_estimate(10);
        CPPUNIT_ASSERT(difference < 1ms && difference > -1ms);
    }

    // Guards against refusals of requests that would end in time.
    void estimate_approaches_the_mean_of_equal_runs()
    {
        run_time tested;
        for (int i = 0; i < 30; ++i)
            tested.observe(10, 100ms);
        CPPUNIT_ASSERT(*tested.upper_estimate(10) >= 99ms);
        CPPUNIT_ASSERT(*tested.upper_estimate(10) < 110ms);
    }

    // Guards against an estimate that the usual spread of runs exceeds.
    void estimate_covers_runs_that_vary()
    {
        run_time tested;
        for (int i = 0; i < 30; ++i)
            tested.observe(10, i % 2 == 0 ? 50ms : 150ms);
        CPPUNIT_ASSERT(*tested.upper_estimate(10) > 150ms);
    }

    // Guards against an estimate that ignores that engines have become slow.
    void estimate_follows_slower_runs()
    {
        run_time tested;
        for (int i = 0; i < 30; ++i)
            tested.observe(10, 100ms);
        for (int i = 0; i < 5; ++i)
            tested.observe(10, 400ms);
        CPPUNIT_ASSERT(*tested.upper_estimate(10) > 400ms);
    }

    // Guards against one pause in a short run that refuses all long ones.
    void a_slow_small_run_does_not_outweigh_large_ones()
    {
        run_time tested;
        for (int i = 0; i < 30; ++i)
            tested.observe(500, 500ms);
        tested.observe(1, 2s);
        CPPUNIT_ASSERT(*tested.upper_estimate(500) < 5s);
    }

    // Guards against an overflow of the estimate, and against a stated size
    // that makes all runs look short.
    void huge_sizes_are_bounded()
    {
        constexpr std::int64_t huge = std::int64_t(1) << 62;
        run_time tested;
        tested.observe(1, 1'000h);
        CPPUNIT_ASSERT(*tested.upper_estimate(huge) == run_time::max_estimate);
        run_time short_run;
        short_run.observe(huge, 65'536ms);
        CPPUNIT_ASSERT(*short_run.upper_estimate(1) >= 1ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_time_test);

} // namespace tarragonquay::dispatch
