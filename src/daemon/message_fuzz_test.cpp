#include <limits>

#include <cppunit/extensions/HelperMacros.h>

#include "daemon/demand_exchange.hpp"
#include "daemon/timeline.hpp"
#include "support/message_mutation.hpp"

namespace tarragonquay::daemon
{

// Passes mutated peer messages to the demand exchange and the timeline.
class message_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_fuzz_test);
    CPPUNIT_TEST(damaged_demand_is_refused_or_in_range);
    CPPUNIT_TEST(demand_from_unknown_instances_is_bounded);
    CPPUNIT_TEST(damaged_requests_for_events_get_a_bounded_answer);
    CPPUNIT_TEST(damaged_event_replies_end_a_collection_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;

    static peer::Demand_report valid_report()
    {
        peer::Demand_report report;
        for (const char* model : {"m", "n"})
        {
            auto& item = *report.add_entries();
            item.set_model(model);
            item.set_tokens(100);
            item.set_tokens_per_second(10);
            item.set_waiting(2);
            item.set_waited_ms(500);
        }
        return report;
    }

public:
    // Guards against an overflow of the sums, and against a NaN rate, which
    // would make every comparison of the planner false.
    void damaged_demand_is_refused_or_in_range()
    {
        const fake_clock clock;
        test_support::message_mutator random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto report = random.damage(valid_report());
            demand_exchange exchange;
            for (const char* from : {"i2", "i3"})
            {
                const auto received =
                    exchange.receive(instance_id(from), report, clock.now());
                CPPUNIT_ASSERT_MESSAGE(report.ShortDebugString(),
                    received || received.error().code() ==
                                    error_code::malformed_message);
                accepted += received ? 1 : 0;
            }
            for (const auto& entry : exchange.total({}, clock.now()))
            {
                CPPUNIT_ASSERT(entry.tokens >= 0 && entry.waiting >= 0);
                CPPUNIT_ASSERT(entry.tokens_per_second >= 0);
                CPPUNIT_ASSERT(!entry.waiting_since ||
                               *entry.waiting_since <= clock.now());
            }
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < 2 * cases);
    }

    // Guards against memory that grows with each instance id or entry.
    void demand_from_unknown_instances_is_bounded()
    {
        constexpr int instances = 3000;
        constexpr int entries = 100'000;
        fake_clock clock;
        demand_exchange exchange;
        int accepted = 0;
        for (int i = 0; i < instances; ++i)
            accepted += exchange.receive(instance_id(std::to_string(i)),
                            valid_report(), clock.now())
                            ? 1
                            : 0;
        CPPUNIT_ASSERT(accepted >= 700 && accepted < instances);
        clock.advance(std::chrono::seconds(6));
        CPPUNIT_ASSERT(
            exchange.receive(instance_id("later"), valid_report(), clock.now())
                .has_value());
        peer::Demand_report report;
        for (int i = 0; i < entries; ++i)
            report.add_entries()->set_model(std::to_string(i));
        const auto received =
            exchange.receive(instance_id("i2"), report, clock.now());
        CPPUNIT_ASSERT(
            received.error().code() == error_code::payload_too_large);
    }

    // Guards against a requested limit outside the range of the kept events.
    void damaged_requests_for_events_get_a_bounded_answer()
    {
        constexpr std::size_t kept = 8;
        boost::asio::io_context context;
        events::recorder events("i1", kept);
        for (std::size_t i = 0; i < 2 * kept; ++i)
            events.record(events::kind::member_silent, std::to_string(i));
        int replies = 0;
        timeline tested(context, events, "i1-1",
            [&](const instance_id&, const peer::Envelope& message)
            {
                ++replies;
                const auto& reply = message.events_reply();
                CPPUNIT_ASSERT(
                    static_cast<std::size_t>(reply.events_size()) <= kept);
            });
        peer::Events_request valid;
        valid.set_request_id(1);
        valid.set_limit(3);
        test_support::message_mutator random(seed);
        for (int i = 0; i < cases; ++i)
            tested.on_request(instance_id("i2"), random.damage(valid));
        CPPUNIT_ASSERT_EQUAL(cases, replies);
    }

    // Guards against a second call of the handler and against more events
    // than requested.
    void damaged_event_replies_end_a_collection_once()
    {
        constexpr std::size_t limit = 5;
        boost::asio::io_context context;
        events::recorder events("i1", 8);
        events.record(events::kind::member_silent, "own");
        std::int64_t request = 0;
        timeline tested(context, events, "i1-1",
            [&](const instance_id&, const peer::Envelope& message)
            { request = message.events_request().request_id(); });
        test_support::message_mutator random(seed);
        constexpr int collections = 5000;
        int ended = 0;
        for (int i = 0; i < collections; ++i)
        {
            tested.collect({instance_id("i2")}, limit,
                [&](const timeline::collected& all)
                {
                    ++ended;
                    CPPUNIT_ASSERT(all.events.size() <= limit);
                });
            peer::Events_reply valid;
            valid.set_request_id(request);
            valid.add_events()->set_kind("member_silent");
            const auto damaged = random.damage(valid);
            tested.on_reply(instance_id("i2"), damaged);
            tested.on_reply(instance_id("i2"), damaged);
            tested.on_reply(instance_id("i2"), valid);
        }
        CPPUNIT_ASSERT_EQUAL(collections, ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_fuzz_test);

} // namespace tarragonquay::daemon
