#include <cppunit/extensions/HelperMacros.h>

#include "experiment/crashing_part_experiment.hpp"
#include "experiment/fairness_experiment.hpp"
#include "experiment/limits_experiment.hpp"
#include "experiment/placement_experiment.hpp"
#include "experiment/routing_experiment.hpp"

namespace tarragonquay::experiment
{

class experiment_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(experiment_test);
    CPPUNIT_TEST(same_seed_gives_the_same_table);
    CPPUNIT_TEST(missing_seeds_are_refused);
    CPPUNIT_TEST(figure_shows_mean_and_spread);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an order of iteration or a clock that is not simulated.
    void same_seed_gives_the_same_table()
    {
        const options brief{{7}, 10};
        for (const auto run : {run_limits, run_routing, run_fairness,
                 run_placement, run_crashing_part, run_ordinary_ends})
            CPPUNIT_ASSERT_EQUAL(
                as_json(run(brief).value()), as_json(run(brief).value()));
    }

    void missing_seeds_are_refused()
    {
        for (const auto run : {run_limits, run_routing, run_fairness,
                 run_placement, run_crashing_part, run_ordinary_ends})
            CPPUNIT_ASSERT(error_code::invalid_argument ==
                           run(options{{}, 10}).error().code());
    }

    void figure_shows_mean_and_spread()
    {
        figure value;
        value.add(1);
        value.add(3);
        CPPUNIT_ASSERT_EQUAL(std::string("2.0 (1.0..3.0)"), value.text(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(experiment_test);

} // namespace tarragonquay::experiment
