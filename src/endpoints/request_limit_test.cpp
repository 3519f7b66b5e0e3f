#include "endpoints/request_limit.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::endpoints
{

class request_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_limit_test);
    CPPUNIT_TEST(decimal_numbers_are_accepted);
    CPPUNIT_TEST(other_values_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void decimal_numbers_are_accepted()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, parse_request_limit("0").value());
        CPPUNIT_ASSERT_EQUAL(1.9, parse_request_limit("1.9").value());
        CPPUNIT_ASSERT_EQUAL(250.0, parse_request_limit("250").value());
    }

    // Guards against an endpoint that gets no request, or all of them, because
    // of a value that is no rate.
    void other_values_are_rejected()
    {
        for (const auto* each : {"", "-1", "+1", "nan", "inf", "1e9", "1,5",
                 "1.5/s", " 1", "1 ", ".5", "0x10"})
            CPPUNIT_ASSERT_MESSAGE(each, !parse_request_limit(each));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_limit_test);

} // namespace tarragonquay::endpoints
