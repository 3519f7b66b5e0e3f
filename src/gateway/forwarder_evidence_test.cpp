#include "gateway/forwarder_fixture_test.hpp"

namespace tarragonquay::gateway
{

using namespace testing;

/// Requests under which engines end.
class forwarder_evidence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarder_evidence_test);
    CPPUNIT_TEST(a_prompt_with_a_part_that_crashes_engines_is_not_sent);
    CPPUNIT_TEST(a_waiting_request_is_withdrawn_when_its_prompt_is_refused);
    CPPUNIT_TEST(an_engine_that_ends_under_a_request_is_recorded);
    CPPUNIT_TEST(a_broken_connection_to_a_living_engine_is_no_crash);
    CPPUNIT_TEST(a_suspect_request_is_not_repeated_after_a_crash);
    CPPUNIT_TEST(an_engine_that_ends_after_the_first_event_is_recorded);
    CPPUNIT_TEST(the_end_of_an_engine_under_an_established_stream_is_no_crash);
    CPPUNIT_TEST(a_begun_stream_whose_prompt_is_refused_is_not_resumed);
    CPPUNIT_TEST(a_begun_stream_resumes_when_its_prompt_is_cleared);
    CPPUNIT_TEST(an_established_stream_resumes_though_its_prompt_is_suspect);
    CPPUNIT_TEST(a_silent_stream_with_a_suspect_prompt_is_not_moved);
    CPPUNIT_TEST(an_engine_that_ends_when_asked_to_take_over_is_recorded);
    CPPUNIT_TEST(a_plain_request_whose_prompt_is_refused_is_not_sent);
    CPPUNIT_TEST(an_engine_that_ends_under_a_plain_request_is_recorded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending one request after the other to engines that end
    // under them.
    void a_prompt_with_a_part_that_crashes_engines_is_not_sent()
    {
        fixture tested({{ok_answer}}, {{ok_answer}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        note_crashes(tested.ctx, 3);
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(503, tested.out.whole->status);
        CPPUNIT_ASSERT_EQUAL(
            std::string("Retry-After"), tested.out.whole->headers[0].name);
    }

    // Guards against a request that waits at an engine and ends it after other
    // instances have found out that its prompt crashes engines.
    void a_waiting_request_is_withdrawn_when_its_prompt_is_refused()
    {
        fixture tested({{"", then::silent}}, {{"", then::silent}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        asio::steady_timer news(tested.io, 100ms);
        news.async_wait(
            [&](const boost::system::error_code&)
            {
                note_crashes(tested.ctx, 3);
                tested.ctx.evidence_changed.raise();
            });
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(502, tested.out.whole->status);
        CPPUNIT_ASSERT(tested.poll_until(
            [&] { return tested.servers[0].closed_by_client == 1; }));
    }

    // Guards against a crash that leaves no evidence.
    void an_engine_that_ends_under_a_request_is_recorded()
    {
        fixture tested({{stream_head}}, {{stream_head}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        for (auto& server : tested.servers)
            server.refuse_new_connections();
        tested.run("/stream/x");
        const auto now = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), tested.ctx.evidence.records(now).size());
        CPPUNIT_ASSERT_EQUAL(502, tested.out.whole->status);
    }

    // Guards against blaming a prompt for a connection that was reset.
    void a_broken_connection_to_a_living_engine_is_no_crash()
    {
        fixture tested({{stream_head}}, {{stream_head}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        tested.run("/stream/x");
        CPPUNIT_ASSERT(
            tested.ctx.evidence.records(std::chrono::steady_clock::now())
                .empty());
    }

    // Guards against a request that ends one engine after the other.
    void a_suspect_request_is_not_repeated_after_a_crash()
    {
        fixture tested({{stream_head}},
            {{stream_head + chunk(event(1)) + stream_end, then::keep_open}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        note_crashes(tested.ctx, 2);
        tested.servers[0].refuse_new_connections();
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(502, tested.out.whole->status);
    }

    // Guards against a crash after the first event that leaves no evidence.
    void an_engine_that_ends_after_the_first_event_is_recorded()
    {
        fixture tested({{stream_head + chunk(event(1))}},
            {{stream_head + chunk(event(2))}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        for (auto& server : tested.servers)
            server.refuse_new_connections();
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), crashes_of_part(tested.ctx));
        CPPUNIT_ASSERT(!tested.out.ended);
    }

    // Guards against blaming a sound stream for a crash that it did not cause.
    void the_end_of_an_engine_under_an_established_stream_is_no_crash()
    {
        fixture tested({established_stream()},
            {{stream_head + chunk(event(5)) + stream_end, then::keep_open}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        tested.servers[0].refuse_new_connections();
        tested.run("/stream/x");
        CPPUNIT_ASSERT(tested.out.ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), crashes_of_part(tested.ctx));
    }

    // Guards against a resumed stream that crashes one more engine, and against
    // a first event that clears the part.
    void a_begun_stream_whose_prompt_is_refused_is_not_resumed()
    {
        fixture tested({{stream_head + chunk(event(1))}},
            {{stream_head + chunk(event(2)) + stream_end, then::keep_open}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        note_crashes(tested.ctx, 2);
        tested.servers[0].refuse_new_connections();
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(event(1), tested.out.stream);
        CPPUNIT_ASSERT(!tested.out.ended);
    }

    // Guards against ending a sound stream that was lost beside the one that
    // caused the crash.
    void a_begun_stream_resumes_when_its_prompt_is_cleared()
    {
        fixture tested({{stream_head + chunk(event(1))}},
            {{stream_head + chunk(event(2)) + stream_end, then::keep_open}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        note_crashes(tested.ctx, 1);
        tested.servers[0].refuse_new_connections();
        asio::steady_timer news(tested.io, 300ms);
        news.async_wait(
            [&](const boost::system::error_code&)
            {
                dispatch::prompt sound;
                sound.parts = {{5, 10}, {7, 10}};
                tested.ctx.evidence.note_answer(
                    sound, std::chrono::steady_clock::now());
                tested.ctx.evidence_changed.raise();
            });
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), tested.out.stream);
        CPPUNIT_ASSERT(tested.out.ended);
    }

    // Guards against ending a stream for crashes that it can't have caused.
    void an_established_stream_resumes_though_its_prompt_is_suspect()
    {
        fixture tested({established_stream()},
            {{stream_head + chunk(event(5)) + stream_end, then::keep_open}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        std::vector<dispatch::prompt_verdict> verdicts;
        tested.out.on_events = [&]
        {
            if (!tested.out.stream.ends_with(event(4)))
                return;
            note_crash(tested.ctx, 1, std::chrono::steady_clock::now());
            note_crash(tested.ctx, 2, std::chrono::steady_clock::now());
            verdicts.push_back(tested.ctx.evidence.judge(
                *tested.make_request("/stream/x", "k", "1500").prompt,
                std::chrono::steady_clock::now()));
        };
        tested.run("/stream/x");
        CPPUNIT_ASSERT(
            verdicts == std::vector{dispatch::prompt_verdict::suspect});
        CPPUNIT_ASSERT(tested.out.ended);
    }

    // Guards against a stream that crashes another engine while its own one
    // does not answer.
    void a_silent_stream_with_a_suspect_prompt_is_not_moved()
    {
        fixture tested({{stream_head + chunk(event(1)), then::silent}},
            {{stream_head + chunk(event(2)) + stream_end, then::keep_open}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        tested.out.on_events = [&] { note_crashes(tested.ctx, 2); };
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.arrivals());
    }

    // Guards against a crash without evidence at an engine that was asked to
    // take a silent stream over.
    void an_engine_that_ends_when_asked_to_take_over_is_recorded()
    {
        fixture tested(
            {{stream_head + chunk(event(1)), then::close, {{1'100ms, ""}}}},
            {{stream_head}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        tested.servers[1].refuse_new_connections();
        tested.run("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), crashes_of_part(tested.ctx));
    }

    // Guards against a route without streams on which nothing is refused.
    void a_plain_request_whose_prompt_is_refused_is_not_sent()
    {
        fixture tested({{ok_answer}}, {{ok_answer}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        note_crashes(tested.ctx, 3);
        tested.run("/safe/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(503, tested.out.whole->status);
    }

    // Guards against a crash after the head of a plain answer that leaves no
    // evidence.
    void an_engine_that_ends_under_a_plain_request_is_recorded()
    {
        const auto cut = ok_answer.substr(0, ok_answer.size() - 1);
        fixture tested({{cut}}, {{cut}});
        tested.prompt_headers = prompt_of("5:10,6:10");
        for (auto& server : tested.servers)
            server.refuse_new_connections();
        tested.run("/safe/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), crashes_of_part(tested.ctx));
        CPPUNIT_ASSERT_EQUAL(502, tested.out.whole->status);
    }

private:
    // Four events within 600 ms, then the end of the connection.
    static scripted_answer established_stream()
    {
        return {stream_head + chunk(event(1)), then::close,
            {{200ms, chunk(event(2))}, {200ms, chunk(event(3))},
                {200ms, chunk(event(4))}}};
    }

    static std::size_t crashes_of_part(const context& ctx)
    {
        dispatch::prompt other;
        other.parts = {{5, 10}, {7, 10}};
        return ctx.evidence.crashes_under(other);
    }

    // An engine that ended under a request with part 5.
    static void note_crash(context& ctx, int number, time_point at)
    {
        dispatch::prompt lost;
        lost.parts = {{5, 10}, {100 + static_cast<std::uint64_t>(number), 10}};
        ctx.evidence.note_crash(
            lost, endpoint_id("gone" + std::to_string(number)), 1, at);
    }

    // Engines that ended one second after the other under requests with part 5.
    static void note_crashes(context& ctx, int count)
    {
        for (int i = 0; i < count; ++i)
            note_crash(ctx, i,
                std::chrono::steady_clock::now() -
                    std::chrono::seconds(count - i));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarder_evidence_test);

} // namespace tarragonquay::gateway
