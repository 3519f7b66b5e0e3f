#include "gateway/event_framer.hpp"

#include <ctime>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay::gateway
{

class event_framer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_framer_test);
    CPPUNIT_TEST(events_keep_their_bytes_wherever_the_input_is_cut);
    CPPUNIT_TEST(a_part_of_an_event_is_not_reported);
    CPPUNIT_TEST(an_oversized_event_fails);
    CPPUNIT_TEST(an_event_in_small_parts_is_searched_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are lost or changed at the boundary of two
    // reads.
    void events_keep_their_bytes_wherever_the_input_is_cut()
    {
        const std::string input =
            "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
        CPPUNIT_ASSERT(rc::check(
            [&]
            {
                const auto size = *rc::gen::inRange<std::size_t>(1, 9);
                event_framer framer;
                std::string joined;
                std::string ids;
                for (std::size_t at = 0; at < input.size(); at += size)
                {
                    framer.feed(input.substr(at, size));
                    for (auto event = framer.pop(); *event;
                         event = framer.pop())
                    {
                        joined += (*event)->bytes;
                        const auto& id = (*event)->id;
                        ids += (id ? std::to_string(*id) : "-") + ",";
                    }
                }
                RC_ASSERT(joined == input);
                RC_ASSERT(ids == "1,2,-,");
                RC_ASSERT(!framer.has_partial_event());
            }));
    }

    // Guards against an event that is joined from parts of two streams.
    void a_part_of_an_event_is_not_reported()
    {
        event_framer framer;
        framer.feed("id: 1\ndata: a\n");
        CPPUNIT_ASSERT(!framer.pop()->has_value());
        CPPUNIT_ASSERT(framer.has_partial_event());
    }

    // Guards against an endpoint that exhausts the gateway's memory.
    void an_oversized_event_fails()
    {
        event_framer framer;
        framer.feed(std::string(event_framer::max_event_bytes + 1, 'x'));
        CPPUNIT_ASSERT(!framer.pop());
    }

    // Guards against a stream without event ends that takes the processor from
    // all other requests: each part made the framer search all earlier ones.
    void an_event_in_small_parts_is_searched_once()
    {
        constexpr std::size_t part_bytes = 64;
        const std::string part(part_bytes, 'x');
        event_framer framer;
        const auto start = std::clock();
        for (std::size_t size = 0; size < event_framer::max_event_bytes;
             size += part_bytes)
        {
            framer.feed(part);
            CPPUNIT_ASSERT(!framer.pop()->has_value());
        }
        framer.feed("\n\n");
        CPPUNIT_ASSERT_EQUAL(event_framer::max_event_bytes + 2,
            framer.pop()->value().bytes.size());
        // Other requests wait meanwhile; their latency targets are some
        // hundred milliseconds.
        const auto used_s = static_cast<double>(std::clock() - start) /
                            static_cast<double>(CLOCKS_PER_SEC);
        CPPUNIT_ASSERT_LESS(0.2, used_s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_framer_test);

} // namespace tarragonquay::gateway
