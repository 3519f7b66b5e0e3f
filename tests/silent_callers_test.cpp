#include <atomic>

#include <cppunit/extensions/HelperMacros.h>

#include "support/silent_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

// An idle connection of a caller is closed after 60 s.
constexpr milliseconds caller_release_time{90'000};
// A caller with a silent connection gives up after this time.
constexpr milliseconds caller_patience{2'000};

/// Separate from silent_connections_test, because it waits for the idle limit.
class silent_callers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_callers_test);
    CPPUNIT_TEST(callers_that_go_silent_are_released);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against connections of silent callers that are held for ever,
    // and against an order that is lost or run again when its caller repeats
    // it over a new connection.
    void callers_that_go_silent_are_released()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                auto silent = open_caller_connections();
                std::atomic<int> events = 0;
                auto call = completion_call{.max_tokens = 100}.request(
                    shared().fleet.key1);
                call.time = caller_patience;
                call.on_event = [&events](const sse_event&)
                {
                    ++events;
                    return true;
                };
                const auto stream = send_later(caller_address(0), call);
                CPPUNIT_ASSERT(eventually([&] { return events > 2; }));
                order_over_silent_caller_connection(direction);
                for (std::size_t i = 0; i < daemon_count; ++i)
                    CPPUNIT_ASSERT_EQUAL(200,
                        send_once(caller_address(i), models_request()).status);
            },
            caller_release_time);
    }

private:
    static std::string caller_address(std::size_t i)
    {
        return shared().front.address(front_proxy::entry_route(i));
    }

    static http_call models_request()
    {
        http_call call;
        call.target = "/v1/models";
        call.headers["Authorization"] = "Bearer " + shared().fleet.key1;
        return call;
    }

    static std::vector<std::unique_ptr<http_client>> open_caller_connections()
    {
        constexpr std::size_t connections_per_instance = 10;
        std::vector<std::unique_ptr<http_client>> clients;
        for (std::size_t i = 0; i < daemon_count; ++i)
            for (std::size_t j = 0; j < connections_per_instance; ++j)
            {
                clients.push_back(
                    std::make_unique<http_client>(caller_address(i)));
                CPPUNIT_ASSERT_EQUAL(
                    200, clients.back()->send(models_request()).status);
            }
        return clients;
    }

    /// All connections of callers through the proxy go silent while the order
    /// runs; the caller gives up and repeats it.
    static void order_over_silent_caller_connection(
        const std::string& direction)
    {
        const auto order = new_name("caller-order");
        delay_order_answers(500);
        auto call = order_request(shared().fleet.key1, order);
        call.time = caller_patience;
        auto sent = send_later(caller_address(1), call);
        CPPUNIT_ASSERT(eventually([&] { return runs(order) == 1; }));
        for (std::size_t i = 0; i < daemon_count; ++i)
            shared().front.fault(
                front_proxy::entry_route(i), {{"freeze_open", direction}});
        const auto first = sent.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            describe(first), direction == "up", first.status == 200);
        delay_order_answers(0);
        const auto repeat = send_once(caller_address(2), call);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(repeat), 200, repeat.status);
        CPPUNIT_ASSERT_EQUAL(1, runs(order));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_callers_test);

} // namespace
} // namespace tarragonquay::test_support
