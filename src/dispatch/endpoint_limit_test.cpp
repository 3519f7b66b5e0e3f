#include "dispatch/endpoint_limit.hpp"

#include <algorithm>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::dispatch
{

class endpoint_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_limit_test);
    CPPUNIT_TEST(a_repeated_value_is_no_news);
    CPPUNIT_TEST(a_late_report_does_not_bring_a_limit_back);
    CPPUNIT_TEST(order_and_repetition_of_reports_do_not_matter);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_repeated_value_is_no_news()
    {
        const auto first = endpoint_limit().after_answer(1.5);
        CPPUNIT_ASSERT(first.after_answer(1.5) == first);
        CPPUNIT_ASSERT(endpoint_limit().after_answer({}) == endpoint_limit());
    }

    // Guards against an endpoint that is limited for ever, since instances tell
    // each other of a limit that has ended.
    void a_late_report_does_not_bring_a_limit_back()
    {
        const auto named = endpoint_limit().after_answer(1.5);
        const auto ended = named.after_answer({});
        CPPUNIT_ASSERT(ended.merged_with(named) == ended);
        CPPUNIT_ASSERT(named.merged_with(ended) == ended);
        CPPUNIT_ASSERT(!ended.requests_per_second);
    }

    void order_and_repetition_of_reports_do_not_matter()
    {
        std::vector<endpoint_limit> reports{
            {1, 1.5}, {2, {}}, {2, 3.0}, {2, 0.5}, {1, {}}};
        std::sort(reports.begin(), reports.end());
        do
        {
            endpoint_limit merged;
            for (const auto& each : reports)
                merged = merged.merged_with(each).merged_with(each);
            CPPUNIT_ASSERT((merged == endpoint_limit{2, 0.5}));
        } while (std::next_permutation(reports.begin(), reports.end()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_limit_test);

} // namespace tarragonquay::dispatch
