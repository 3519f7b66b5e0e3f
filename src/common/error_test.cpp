#include "common/error.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay
{

class error_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_test);
    CPPUNIT_TEST(names_round_trip_for_every_code);
    CPPUNIT_TEST(unknown_name_is_internal);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a new code without an entry in the table of names.
    void names_round_trip_for_every_code()
    {
        for (int i = 0; i <= static_cast<int>(error_code::internal); ++i)
        {
            const auto code = static_cast<error_code>(i);
            CPPUNIT_ASSERT_EQUAL(
                i, static_cast<int>(error_code_from_string(to_string(code))));
        }
    }

    void unknown_name_is_internal()
    {
        CPPUNIT_ASSERT(
            error_code_from_string("no_such_code") == error_code::internal);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_test);

} // namespace tarragonquay
