#include <cppunit/extensions/HelperMacros.h>

#include "support/key_checks.hpp"

namespace tarragonquay::test_support
{
namespace
{

class outage_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outage_start_test);
    CPPUNIT_TEST(instance_that_starts_during_an_outage_serves);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that refuses valid keys because it can't
    // join the membership before the store is back.
    void instance_that_starts_during_an_outage_serves()
    {
        const auto system = start_with_short_leases();
        restart_during_outage(*system.system, 1);
        assert_serves(*system.system, 1, system.key1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outage_start_test);

} // namespace
} // namespace tarragonquay::test_support
