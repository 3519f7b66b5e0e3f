#include "daemon/timeline.hpp"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::daemon
{

class timeline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(timeline_test);
    CPPUNIT_TEST(pages_have_neither_gaps_nor_duplicates);
    CPPUNIT_TEST(without_a_cursor_the_latest_events_are_shown);
    CPPUNIT_TEST(dropped_events_are_counted);
    CPPUNIT_TEST(foreign_cursors_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a cursor that is ignored, and against events that are
    // recorded between two calls and shown twice or never.
    void pages_have_neither_gaps_nor_duplicates()
    {
        record(1);
        auto cursor = read_page("", 10).cursor;
        std::vector<std::string> seen;
        for (int round = 0; round < 5; ++round)
        {
            record(3);
            const auto page = read_page(cursor, 2);
            cursor = page.cursor;
            for (const auto& each : page.events)
                seen.push_back(each.subject);
        }
        const auto rest = read_page(cursor, 100);
        for (const auto& each : rest.events)
            seen.push_back(each.subject);
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), seen.size());
        for (std::size_t i = 0; i < seen.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(std::to_string(i + 1), seen[i]);
        CPPUNIT_ASSERT(read_page(rest.cursor, 100).events.empty());
        CPPUNIT_ASSERT_EQUAL(rest.cursor, read_page(rest.cursor, 100).cursor);
    }

    void without_a_cursor_the_latest_events_are_shown()
    {
        record(5);
        const auto page = read_page("", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), page.events[0].subject);
        CPPUNIT_ASSERT(read_page(page.cursor, 10).events.empty());
    }

    // Guards against dropped events that are not reported to the reader.
    void dropped_events_are_counted()
    {
        record(1);
        const auto first = read_page("", 10);
        record(capacity + 3);
        const auto next = read_page(first.cursor, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(capacity), next.events.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), next.dropped);
    }

    // Guards against a cursor of another process, which would skip or repeat
    // events.
    void foreign_cursors_are_refused()
    {
        record(2);
        for (const auto* cursor :
            {"i1-other.1", "i1-a.3", "i1-a.-1", "i1-a.x", "i1-a.", "i1-a", "1"})
        {
            const auto page = timeline_.own(cursor, 10);
            CPPUNIT_ASSERT_MESSAGE(cursor, !page);
            CPPUNIT_ASSERT(page.error().code() == error_code::invalid_argument);
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), read_page("i1-a.1", 9).events.size());
    }

private:
    static constexpr int capacity = 20;

    void record(int count)
    {
        for (; count > 0; --count)
            recorder_.record(
                events::kind::revision_applied, std::to_string(next_++));
    }

    timeline::own_page read_page(const std::string& after, std::size_t limit)
    {
        auto page = timeline_.own(after, limit);
        CPPUNIT_ASSERT(page.has_value());
        return std::move(*page);
    }

    boost::asio::io_context context_;
    events::recorder recorder_{"i1", capacity};
    timeline timeline_{context_, recorder_, "i1-a",
        [](const instance_id&, const peer::Envelope&) {}};
    int next_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(timeline_test);

} // namespace tarragonquay::daemon
