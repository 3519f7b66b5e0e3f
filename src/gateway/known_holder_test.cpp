#include "gateway/known_holder.hpp"

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::gateway
{

class known_holder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(known_holder_test);
    CPPUNIT_TEST(nobody_is_alive_at_the_start);
    CPPUNIT_TEST(silent_holder_is_alive_for_the_allowed_time);
    CPPUNIT_TEST(holder_that_gave_up_its_lease_is_not_alive);
    CPPUNIT_TEST(older_news_passed_on_does_not_revive_a_holder);
    CPPUNIT_TEST(holder_that_confirmed_its_lease_is_alive_again);
    CPPUNIT_TEST(next_holder_replaces_the_former_one);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds allowed{1'500};

    fake_clock clock_;
    known_holder tested_;
    const instance_id a_{"a"};
    const instance_id b_{"b"};

    bool alive() const { return tested_.alive(clock_.now(), allowed); }

public:
    // Guards against a first holder that is waited for and never comes.
    void nobody_is_alive_at_the_start()
    {
        CPPUNIT_ASSERT(!alive());
        CPPUNIT_ASSERT(tested_.id().empty());
    }

    // Guards against a fleet that waits for ever for a holder that died.
    void silent_holder_is_alive_for_the_allowed_time()
    {
        tested_.note(a_, 1, clock_.now());
        clock_.advance(allowed - std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(alive());
        clock_.advance(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(!alive());
    }

    // Guards against a takeover that waits for the silence of an instance that
    // says that it stops: models were not moved for 1.5 to 3 s longer.
    void holder_that_gave_up_its_lease_is_not_alive()
    {
        tested_.note(a_, 1, clock_.now());
        clock_.advance(std::chrono::milliseconds(250));
        tested_.note_without_lease(b_, clock_.now());
        CPPUNIT_ASSERT(alive());
        tested_.note_without_lease(a_, clock_.now());
        CPPUNIT_ASSERT(!alive());
    }

    // Guards against relays that keep each other's old news alive.
    void older_news_passed_on_does_not_revive_a_holder()
    {
        const auto heard = clock_.now();
        tested_.note(a_, 1, heard);
        clock_.advance(std::chrono::milliseconds(250));
        tested_.note_without_lease(a_, clock_.now());
        tested_.note(a_, 1, heard);
        CPPUNIT_ASSERT(!alive());
    }

    // Guards against a holder that is passed over after one lost answer.
    void holder_that_confirmed_its_lease_is_alive_again()
    {
        tested_.note(a_, 1, clock_.now());
        tested_.note_without_lease(a_, clock_.now());
        clock_.advance(std::chrono::milliseconds(250));
        tested_.note(a_, 1, clock_.now());
        CPPUNIT_ASSERT(alive());
    }

    // Guards against news of an earlier holder that hides the present one.
    void next_holder_replaces_the_former_one()
    {
        tested_.note(a_, 1, clock_.now());
        tested_.note(b_, 2, clock_.now());
        tested_.note(a_, 1, clock_.now());
        CPPUNIT_ASSERT(b_ == tested_.id());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), tested_.fencing());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(known_holder_test);

} // namespace tarragonquay::gateway
