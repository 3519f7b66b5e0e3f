#include "common/digest.hpp"
#include "common/random.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay
{

class digest_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(digest_test);
    CPPUNIT_TEST(sha256_matches_the_published_vector);
    CPPUNIT_TEST(fast_hash_depends_on_the_seed);
    CPPUNIT_TEST(unique_ids_differ);
    CPPUNIT_TEST_SUITE_END();

public:
    // Test vector "abc" of FIPS 180-4.
    void sha256_matches_the_published_vector()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410"
                        "ff61f20015ad"),
            sha256_hex("abc"));
    }

    // Rendezvous hashing needs an independent order for each key.
    void fast_hash_depends_on_the_seed()
    {
        CPPUNIT_ASSERT(fast_hash("a", 1) != fast_hash("a", 2));
    }

    void unique_ids_differ()
    {
        CPPUNIT_ASSERT(unique_id() != unique_id());
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), unique_id().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(digest_test);

} // namespace tarragonquay
