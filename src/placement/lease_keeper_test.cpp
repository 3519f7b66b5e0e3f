#include <utility>

#include "placement/lease_keeper.hpp"

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "store/fake_store.hpp"

namespace tarragonquay::placement
{

class lease_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_keeper_test);
    CPPUNIT_TEST(holder_obtains_the_lease_again_after_a_lost_answer);
    CPPUNIT_TEST(lease_is_lost_when_it_cannot_be_confirmed_in_time);
    CPPUNIT_TEST(others_read_the_row_only_when_they_may_take_it);
    CPPUNIT_TEST(released_lease_is_taken_after_its_distance);
    CPPUNIT_TEST_SUITE_END();

    using fault = store::fake_store::fault;
    using keeper = lease_keeper<store::fake_store, fake_clock>;

    static constexpr std::chrono::milliseconds tick_interval{250};

    static lease_settings settings_of(const char* instance)
    {
        using std::chrono::milliseconds;
        lease_settings out;
        out.key = "placement/lease";
        out.instance = instance;
        out.incarnation = "1";
        out.timing.renewal_interval = milliseconds(1'000);
        out.timing.valid_for = milliseconds(4'000);
        out.timing.takeover_after = milliseconds(7'500);
        out.timing.takeover_after_release = milliseconds(3'500);
        return out;
    }

    fake_clock clock_;
    store::fake_store store_;

    void run(keeper& tested, duration time, bool may_take)
    {
        for (auto left = time; left > duration::zero(); left -= tick_interval)
        {
            clock_.advance(tick_interval);
            tested.tick(may_take);
        }
    }

public:
    // Guards against a holder that gives no commands until its own lease has
    // lapsed at all instances: it hears of itself as the holder, so it was not
    // allowed to take the lease that it still had.
    void holder_obtains_the_lease_again_after_a_lost_answer()
    {
        keeper tested(settings_of("a"), store_, clock_);
        int unconfirmed = 0;
        tested.on_unconfirmed([&](const error&) { ++unconfirmed; });
        tested.tick(true);
        CPPUNIT_ASSERT(tested.holds());
        store_.set_fault(fault::answers_lost);
        run(tested, std::chrono::seconds(1), false);
        store_.set_fault(fault::none);
        CPPUNIT_ASSERT(!tested.holds());
        CPPUNIT_ASSERT_EQUAL(1, unconfirmed);
        run(tested, 2 * std::chrono::seconds(1), false);
        CPPUNIT_ASSERT(tested.holds());
    }

    // Guards against commands of a holder whose lease others may have taken.
    void lease_is_lost_when_it_cannot_be_confirmed_in_time()
    {
        keeper tested(settings_of("a"), store_, clock_);
        int lost = 0;
        tested.on_lost([&] { ++lost; });
        tested.tick(true);
        store_.set_fault(fault::down);
        run(tested, std::chrono::seconds(4), false);
        CPPUNIT_ASSERT(!tested.holds());
        CPPUNIT_ASSERT_EQUAL(1, lost);
        // From now on it is an instance like the others.
        store_.set_fault(fault::none);
        run(tested, std::chrono::seconds(4), false);
        CPPUNIT_ASSERT(!tested.holds());
    }

    // Guards against calls of the store by each instance of a fleet.
    void others_read_the_row_only_when_they_may_take_it()
    {
        keeper holder(settings_of("a"), store_, clock_);
        holder.tick(true);
        keeper tested(settings_of("b"), store_, clock_);
        run(tested, std::chrono::seconds(20), false);
        CPPUNIT_ASSERT(!tested.holds());
        // The row is seen for the first time now.
        run(tested, std::chrono::seconds(7), true);
        CPPUNIT_ASSERT(!tested.holds());
        run(tested, std::chrono::seconds(2), true);
        CPPUNIT_ASSERT(tested.holds());
    }

    // Guards against two holders whose commands follow each other too closely.
    void released_lease_is_taken_after_its_distance()
    {
        keeper holder(settings_of("a"), store_, clock_);
        holder.tick(true);
        holder.release();
        keeper tested(settings_of("b"), store_, clock_);
        run(tested, std::chrono::milliseconds(3'500), true);
        CPPUNIT_ASSERT(!tested.holds());
        run(tested, std::chrono::milliseconds(1'500), true);
        CPPUNIT_ASSERT(tested.holds());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_keeper_test);

} // namespace tarragonquay::placement
