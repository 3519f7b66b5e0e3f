#include <cppunit/extensions/HelperMacros.h>

#include "limits/limiter_model_test.hpp"

namespace tarragonquay::limits
{

// Guards against sequences of events in which more than the rate and burst of a
// workspace is admitted, for each share policy.
class limiter_bounds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limiter_bounds_test);
    CPPUNIT_TEST(bounds_hold_with_transfers);
    CPPUNIT_TEST(bounds_hold_with_a_static_split);
    CPPUNIT_TEST(bounds_hold_with_owner_grants);
    CPPUNIT_TEST_SUITE_END();

public:
    void bounds_hold_with_transfers()
    {
        CPPUNIT_ASSERT(bounds_hold<transfer_policy>("transfers"));
    }
    void bounds_hold_with_a_static_split()
    {
        CPPUNIT_ASSERT(bounds_hold<static_split_policy>("static split"));
    }
    void bounds_hold_with_owner_grants()
    {
        CPPUNIT_ASSERT(bounds_hold<owner_grant_policy>("owner grants"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limiter_bounds_test);

} // namespace tarragonquay::limits
