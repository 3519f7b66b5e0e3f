#include "gateway/forwarder_fixture_test.hpp"

namespace tarragonquay::gateway
{

using namespace testing;

/// Requests that a planned stop interrupts, or that it leaves no time for.
class forwarder_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarder_stop_test);
    CPPUNIT_TEST(a_request_at_work_is_refused_when_it_is_interrupted);
    CPPUNIT_TEST(a_request_that_was_not_sent_is_refused_as_not_run);
    CPPUNIT_TEST(a_rejected_request_is_refused_as_not_run);
    CPPUNIT_TEST(a_begun_stream_is_cut_when_it_is_interrupted);
    CPPUNIT_TEST(a_takeover_ends_when_it_is_interrupted);
    CPPUNIT_TEST(an_interruption_is_no_failure_of_the_endpoint);
    CPPUNIT_TEST(a_request_without_time_left_is_refused_at_once);
    CPPUNIT_TEST(a_stream_without_time_left_is_refused_at_once);
    CPPUNIT_TEST(a_resumed_stream_is_not_refused_for_its_whole_length);
    CPPUNIT_TEST(a_slow_request_stays_at_its_endpoint_late_in_a_stop);
    CPPUNIT_TEST(a_request_that_connects_is_refused_when_it_is_interrupted);
    CPPUNIT_TEST(a_request_with_time_left_is_served);
    CPPUNIT_TEST(a_request_whose_deadline_comes_first_is_served);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array repeatable_and_not{
        "/safe/x", "/once/x", "/stream/x", "/stream-once/x"};

    // Interrupts the request when the condition holds. Requests have 6 s.
    static void run_interrupted(fixture& tested, const std::string& path,
        const std::function<bool()>& condition)
    {
        asio::steady_timer timer(tested.io);
        std::function<void()> check = [&]
        {
            timer.expires_after(1ms);
            timer.async_wait(
                [&](const boost::system::error_code& failed)
                {
                    if (failed)
                        return;
                    if (!condition())
                        return check();
                    tested.ctx.interrupts_at = std::chrono::steady_clock::now();
                    tested.ctx.interrupt_requests();
                });
        };
        check();
        const auto began = std::chrono::steady_clock::now();
        tested.run_long(path);
        CPPUNIT_ASSERT_MESSAGE(
            path, std::chrono::steady_clock::now() - began < 3s);
        CPPUNIT_ASSERT_MESSAGE(path, ended_by_the_stop(tested));
    }

    // Whether the reason of the outcome is the stop.
    static bool ended_by_the_stop(const fixture& tested)
    {
        return tested.ctx.metrics.prometheus_text().find(
                   "outcome=\"stopping\"") != std::string::npos;
    }

    static std::function<bool()> was_sent(const fixture& tested)
    {
        return [&] { return tested.arrivals() > 0; };
    }

    // As if earlier requests had taken this long.
    static void note_plain_times(fixture& tested, duration taken)
    {
        const auto now = std::chrono::steady_clock::now();
        dispatch::in_flight_request sent;
        sent.sent_at = now - taken;
        for (int i = 0; i < 30; ++i)
            tested.ctx.pool.note_plain_end(sent, service_id("s"), now);
    }

    // As if earlier streams of the size of the test's had taken this long.
    static void note_stream_times(fixture& tested, duration taken)
    {
        const auto now = std::chrono::steady_clock::now();
        dispatch::in_flight_request sent;
        sent.answered_at = now - taken;
        const auto request = tested.make_request("/stream/x", "k", "1500");
        for (int i = 0; i < 30; ++i)
            tested.ctx.pool.note_stream_end(sent, service_id("s"),
                request.prompt->model, request.prompt->output_tokens, now);
    }

public:
    // Guards against a connection that is closed without an answer at the end
    // of a stop, and against a promise that work which runs has not run.
    void a_request_at_work_is_refused_when_it_is_interrupted()
    {
        for (const auto* path : repeatable_and_not)
        {
            fixture tested({{"", then::silent}}, {{"", then::silent}});
            run_interrupted(tested, path, was_sent(tested));
            CPPUNIT_ASSERT_MESSAGE(path, tested.out.whole);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502, tested.out.whole->status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                path, std::size_t(1), tested.arrivals());
        }
    }

    // Guards against a refusal that does not tell callers that they may send
    // the request again.
    void a_request_that_was_not_sent_is_refused_as_not_run()
    {
        for (const auto* path : repeatable_and_not)
        {
            fixture tested({{ok_answer}}, {});
            tested.ctx.interrupts_at = std::chrono::steady_clock::now();
            tested.ctx.interrupt_requests();
            tested.run_long(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                path, std::size_t(0), tested.arrivals());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, tested.out.whole->status);
        }
    }

    // The same after an endpoint has rejected it.
    void a_rejected_request_is_refused_as_not_run()
    {
        for (const auto* path : repeatable_and_not)
        {
            fixture tested(
                {{"", then::keep_open, {{400ms, rejected_answer}}}}, {});
            tested.ctx.pool.erase(endpoint_id("e1"));
            tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 200ms;
            tested.run_long(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                path, std::size_t(1), tested.arrivals());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, tested.out.whole->status);
            CPPUNIT_ASSERT_MESSAGE(path, ended_by_the_stop(tested));
        }
    }

    // Guards against a partial stream that looks complete.
    void a_begun_stream_is_cut_when_it_is_interrupted()
    {
        for (const auto* path : {"/stream/x", "/stream-once/x"})
        {
            fixture tested({{stream_head + chunk(event(1)), then::silent}}, {});
            tested.ctx.pool.erase(endpoint_id("e1"));
            run_interrupted(
                tested, path, [&] { return !tested.out.stream.empty(); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, event(1), tested.out.stream);
            CPPUNIT_ASSERT_MESSAGE(path, !tested.out.ended);
            CPPUNIT_ASSERT_MESSAGE(path, !tested.out.whole);
        }
    }

    // Guards against another endpoint that begins the stream while the process
    // ends.
    void a_takeover_ends_when_it_is_interrupted()
    {
        fixture tested({{stream_head + chunk(event(1)), then::silent}},
            {{"", then::silent}});
        run_interrupted(tested, "/stream/x",
            [&] { return tested.servers[1].requests.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(event(1), tested.out.stream);
        CPPUNIT_ASSERT(!tested.out.ended);
        CPPUNIT_ASSERT(tested.poll_until(
            [&] { return tested.servers[1].closed_by_client == 1; }));
    }

    // Guards against endpoints that look faulty because the gateway stopped.
    void an_interruption_is_no_failure_of_the_endpoint()
    {
        for (const auto* path : repeatable_and_not)
        {
            fixture tested({{"", then::silent}}, {});
            tested.ctx.pool.erase(endpoint_id("e1"));
            run_interrupted(tested, path, was_sent(tested));
            CPPUNIT_ASSERT_MESSAGE(
                path, !tested.suspended_by_one_more_failure("e0"));
        }
    }

    // Guards against taking a request that is known to be cut later.
    void a_request_without_time_left_is_refused_at_once()
    {
        for (const auto* path : {"/safe/x", "/once/x"})
        {
            fixture tested({{ok_answer}}, {});
            note_plain_times(tested, 3s);
            tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 2s;
            tested.run_long(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                path, std::size_t(0), tested.arrivals());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, tested.out.whole->status);
        }
    }

    // Guards against refusals of requests that end before the stop.
    void a_request_with_time_left_is_served()
    {
        fixture tested({{ok_answer}}, {});
        note_plain_times(tested, 1s);
        tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 2s;
        tested.run_long("/once/x");
        CPPUNIT_ASSERT_EQUAL(200, tested.out.whole->status);
    }

    // Guards against refusals of requests that nobody waits for when the stop
    // interrupts them.
    void a_request_whose_deadline_comes_first_is_served()
    {
        fixture tested({{ok_answer}}, {});
        note_plain_times(tested, 3s);
        tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 2s;
        tested.run("/once/x", "k", "1500");
        CPPUNIT_ASSERT_EQUAL(200, tested.out.whole->status);
    }

    // The same for streams, whose time depends on their length.
    void a_stream_without_time_left_is_refused_at_once()
    {
        fixture tested({{stream_head + chunk(event(1)) + stream_end}}, {});
        tested.prompt_headers = prompt_of("5:10");
        note_stream_times(tested, 3s);
        tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 2s;
        tested.run_long("/stream/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tested.arrivals());
        CPPUNIT_ASSERT_EQUAL(503, tested.out.whole->status);
    }

    // Guards against a second refusal of streams that a stop cut near their
    // end.
    void a_resumed_stream_is_not_refused_for_its_whole_length()
    {
        fixture tested({{stream_head + chunk(event(5)) + stream_end}}, {});
        tested.prompt_headers = prompt_of("5:10");
        tested.prompt_headers.push_back({"Last", "4"});
        note_stream_times(tested, 3s);
        tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 2s;
        tested.run_long("/stream/x");
        CPPUNIT_ASSERT(tested.out.ended);
    }

    // Guards against closing the connection for a send that is refused then.
    void a_slow_request_stays_at_its_endpoint_late_in_a_stop()
    {
        fixture tested({{"", then::keep_open, {{500ms, ok_answer}}}},
            {{ok_answer, then::keep_open}});
        note_plain_times(tested, 1'900ms);
        tested.ctx.interrupts_at = std::chrono::steady_clock::now() + 2s;
        tested.run_long("/safe/x");
        CPPUNIT_ASSERT_EQUAL(200, tested.out.whole->status);
    }

    // Guards against a connect that outlasts the time for refusals.
    void a_request_that_connects_is_refused_when_it_is_interrupted()
    {
        // A full backlog of a listener that accepts nothing leaves further
        // connects waiting.
        asio::io_context io;
        asio::ip::tcp::acceptor full(io);
        full.open(asio::ip::tcp::v4());
        full.bind({asio::ip::address_v4::loopback(), 0});
        full.listen(0);
        std::vector<asio::ip::tcp::socket> waiting;
        for (int i = 0; i < 4; ++i)
            waiting.emplace_back(io).async_connect(
                full.local_endpoint(), [](const boost::system::error_code&) {});
        fixture tested({}, {});
        auto entry = *tested.ctx.pool.find(endpoint_id("e0"));
        entry.address =
            "127.0.0.1:" + std::to_string(full.local_endpoint().port());
        tested.ctx.pool.put(entry);
        tested.ctx.pool.erase(endpoint_id("e1"));
        const auto began = std::chrono::steady_clock::now();
        tested.ctx.interrupts_at = began + 50ms;
        tested.run_long("/once/x");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < 250ms);
        CPPUNIT_ASSERT_EQUAL(503, tested.out.whole->status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarder_stop_test);

} // namespace tarragonquay::gateway
