#include "common/base64.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay
{

class base64_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(base64_test);
    CPPUNIT_TEST(decoding_reverses_encoding);
    CPPUNIT_TEST(invalid_base64_is_refused);
    CPPUNIT_TEST(misplaced_padding_is_refused);
    CPPUNIT_TEST(any_text_is_decoded_or_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost or added bytes at the padding.
    void decoding_reverses_encoding()
    {
        CPPUNIT_ASSERT(rc::check(
            [](const std::string& bytes)
            {
                const auto decoded = decode_base64(encode_base64(bytes));
                RC_ASSERT(decoded.has_value());
                RC_ASSERT(*decoded == bytes);
            }));
        CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), encode_base64("node-1"));
    }

    // Guards against decoding a row that another program wrote in another
    // format.
    void invalid_base64_is_refused()
    {
        for (const auto* text : {"a", "ab=", "{}!!", "abc"})
            CPPUNIT_ASSERT_MESSAGE(text, !decode_base64(text));
    }

    // Guards against removing more padding than there are decoded bytes, which
    // is undefined behaviour.
    void misplaced_padding_is_refused()
    {
        for (const auto* text : {"====", "========", "A===", "=AAA", "AA=A",
                 "AA==AAAA", "AAAA====", "AAAA AA=", "\n\n\n\n", "AAA\n"})
            CPPUNIT_ASSERT_MESSAGE(text, !decode_base64(text));
        CPPUNIT_ASSERT_EQUAL(std::string(), *decode_base64(""));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), *decode_base64("YQ=="));
    }

    // Guards against bytes of other writers that end the process.
    void any_text_is_decoded_or_refused()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const auto text = *rc::gen::container<std::string>(
                    rc::gen::element('=', 'A', 'b', '/', ' ', '\n', '-'));
                const auto decoded = decode_base64(text);
                if (decoded)
                    RC_ASSERT(encode_base64(*decoded).size() == text.size());
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base64_test);

} // namespace tarragonquay
