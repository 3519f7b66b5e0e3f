#include "events/recorder.hpp"

#include <limits>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::events
{

class recorder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recorder_test);
    CPPUNIT_TEST(keeps_only_the_latest_events);
    CPPUNIT_TEST(cursor_continues_after_the_previous_page);
    CPPUNIT_TEST(page_counts_events_that_are_no_longer_kept);
    CPPUNIT_TEST(latest_returns_the_last_events_and_their_cursor);
    CPPUNIT_TEST(event_after_a_received_message_is_later_than_its_cause);
    CPPUNIT_TEST(implausible_timestamps_are_ignored);
    CPPUNIT_TEST(counter_overflow_advances_the_wall_time);
    CPPUNIT_TEST(merge_orders_events_of_several_instances);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against unbounded growth.
    void keeps_only_the_latest_events()
    {
        recorder events("i1", 2);
        for (const char* subject : {"a", "b", "c"})
            events.record(kind::member_silent, subject);
        const auto page = events.since(0, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page.events.front().subject);
    }

    void cursor_continues_after_the_previous_page()
    {
        recorder events("i1", 10);
        events.record(kind::member_silent, "a");
        events.record(kind::member_silent, "b");
        const auto first = events.since(0, 1);
        const auto second = events.since(first.cursor, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), second.events.front().subject);
    }

    // Guards against a gap that looks like a complete continuation.
    void page_counts_events_that_are_no_longer_kept()
    {
        recorder events("i1", 2);
        events.record(kind::member_silent, "a");
        const auto first = events.since(0, 10);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), first.dropped);
        for (const char* subject : {"b", "c", "d", "e"})
            events.record(kind::member_silent, subject);
        const auto next = events.since(first.cursor, 10);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), next.events.front().subject);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), next.dropped);
    }

    void latest_returns_the_last_events_and_their_cursor()
    {
        recorder events("i1", 10);
        for (const char* subject : {"a", "b", "c"})
            events.record(kind::member_silent, subject);
        const auto page = events.latest(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page.events.front().subject);
        CPPUNIT_ASSERT(events.since(page.cursor, 10).events.empty());
    }

    // Guards against an effect sorted before its cause when the receiver's
    // wall clock is behind the sender's.
    void event_after_a_received_message_is_later_than_its_cause()
    {
        recorder events("i1", 10);
        auto cause = events.now();
        cause.wall_ms += 3'600'000;
        events.observe(cause);
        events.record(kind::revision_applied, "7");
        CPPUNIT_ASSERT(events.since(0, 1).events.front().time > cause);
    }

    // Guards against a corrupted message that moves the clocks of all
    // instances into the far future.
    void implausible_timestamps_are_ignored()
    {
        recorder events("i1", 10);
        events.observe({std::numeric_limits<std::int64_t>::max(), 0});
        events.observe({events.now().wall_ms, -1});
        const auto now = events.now();
        CPPUNIT_ASSERT(now.wall_ms < std::numeric_limits<std::int64_t>::max());
        CPPUNIT_ASSERT(now.logical >= 0);
    }

    // Guards against a counter overflow that would reverse the event order.
    void counter_overflow_advances_the_wall_time()
    {
        recorder events("i1", 10);
        auto ahead = events.now();
        ahead.wall_ms += 3'600'000;
        ahead.logical = std::numeric_limits<std::int32_t>::max();
        events.observe(ahead);
        CPPUNIT_ASSERT(events.now() > ahead);
    }

    void merge_orders_events_of_several_instances()
    {
        const event early{{1, 0}, "i2", kind::process_started, "", ""};
        const event late{{1, 1}, "i1", kind::process_started, "", ""};
        const auto merged = merge({{late}, {early}});
        CPPUNIT_ASSERT(merged.front() == early);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recorder_test);

} // namespace tarragonquay::events
