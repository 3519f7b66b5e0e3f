#include "common/plain_name.hpp"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay
{

class plain_name_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plain_name_test);
    CPPUNIT_TEST(usual_names_are_plain);
    CPPUNIT_TEST(control_characters_and_invalid_utf8_are_not_plain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing names that other writers may use.
    void usual_names_are_plain()
    {
        for (const std::string& text :
            {std::string("e0"), std::string("model-7b.v2"), std::string("a b"),
                std::string("\xc4\x8d\xe2\x82\xac\xf0\x9f\x98\x80")})
            CPPUNIT_ASSERT_MESSAGE(text, is_plain_name(text));
        CPPUNIT_ASSERT(is_plain_name(std::string(max_name_bytes, 'x')));
        CPPUNIT_ASSERT(is_plain_text(""));
    }

    // Guards against added header fields and against protobuf messages that
    // can't be parsed.
    void control_characters_and_invalid_utf8_are_not_plain()
    {
        for (const std::string& text :
            {std::string("a\r\nb"), std::string("a\0b", 3), std::string("\x7f"),
                std::string("\xc2\x85"), std::string("\xff"),
                std::string("\x80"), std::string("\xc0\xaf"),
                std::string("\xed\xa0\x80"), std::string("\xf4\x90\x80\x80"),
                std::string("a\xe2\x82"), std::string("\xc4x"),
                std::string(max_name_bytes + 1, 'x'), std::string()})
            CPPUNIT_ASSERT_MESSAGE(text, !is_plain_name(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_name_test);

} // namespace tarragonquay
