#include <functional>
#include <future>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/background_stream.hpp"
#include "support/key_checks.hpp"
#include "support/silent_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

// Longer than the view lease of 5 s.
constexpr milliseconds longer_than_view_lease{8'000};

void fault_services(const json& fault)
{
    for (std::size_t i = 0; i < endpoint_count; ++i)
        fleet().fault_service(i, fault);
}

std::string execution_of(const http_reply& reply)
{
    const auto body = json::parse(reply.body, nullptr, false);
    const json::json_pointer path("/error/execution");
    return body.is_object() && body.contains(path)
               ? body.at(path).get<std::string>()
               : std::string();
}

/// Issues a key and returns its secret.
std::string issue_key(const std::string& id)
{
    const auto issued =
        fleet().tqctl(0, {"key", "issue", id, "--workspace", "w1"});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(issued.errors, 0, issued.exit_code);
    return json::parse(issued.output).at("secret").get<std::string>();
}

void assert_all_serve(const std::string& key)
{
    for (std::size_t i = 0; i < daemon_count; ++i)
        assert_serves(fleet(), i, key);
}

void assert_all_refuse(const std::string& key)
{
    for (std::size_t i = 0; i < daemon_count; ++i)
        assert_refuses(fleet(), i, key, "withdrawn_key");
}

/// Operations that the store has recorded.
std::size_t recorded_operations()
{
    return fetch(fleet().platform_admin(), "/admin/rows?prefix=config/op/")
        .json()
        .at("rows")
        .size();
}

/// Issues a key through a connection to the first instance that goes silent
/// at some point of the call.
run_outcome issue_key_over_silent(const std::string& id,
    const std::string& direction, const std::function<bool()>& reached)
{
    constexpr int delay_ms = 100;
    const auto& front = shared().front;
    const auto route = front_proxy::operator_route(0);
    front.fault(route, {{"delay_ms", delay_ms}});
    auto call = std::async(std::launch::async,
        [&]
        {
            return process::run(
                "tqctl", {"--address", front.address(route), "--output", "json",
                             "key", "issue", id, "--workspace", "w1"});
        });
    const bool came = eventually(reached);
    front.fault(route, {{"freeze_open", direction}, {"delay_ms", 0}});
    auto outcome = call.get();
    CPPUNIT_ASSERT(came);
    return outcome;
}

class silent_connections_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_connections_test);
    CPPUNIT_TEST(streams_over_silent_engine_connections_are_completed);
    CPPUNIT_TEST(lookups_pass_silent_service_connections);
    CPPUNIT_TEST(orders_over_silent_service_connections_run_once);
    CPPUNIT_TEST(silent_platform_connections_are_replaced);
    CPPUNIT_TEST(silent_peer_connections_are_replaced);
    CPPUNIT_TEST(silent_operator_connections_are_replaced_and_released);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that hang, lose or repeat events.
    void streams_over_silent_engine_connections_are_completed()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                constexpr int tokens = 50;
                std::vector<std::unique_ptr<background_stream>> streams;
                for (std::size_t i = 0; i < daemon_count; ++i)
                    streams.push_back(std::make_unique<background_stream>(
                        fleet().entry(i), shared().fleet.key1, tokens));
                for (const auto& stream : streams)
                    CPPUNIT_ASSERT(
                        eventually([&] { return stream->events() > 2; }));
                for (std::size_t i = 0; i < endpoint_count; ++i)
                    fleet().fault_engine(i, {{"freeze_open", direction}});
                const auto key = issue_key(new_name("engine-key"));
                for (const auto& stream : streams)
                {
                    const auto& reply = stream->reply();
                    CPPUNIT_ASSERT_MESSAGE(
                        describe(reply), claims_whole(reply));
                    CPPUNIT_ASSERT_EQUAL(
                        completion_call{.max_tokens = tokens}.expected_text(),
                        text_of(reply));
                }
                assert_all_serve(key);
            });
    }

    // Guards against idempotent calls that wait for their whole deadline on a
    // pooled connection, and against pooled connections that stay open after
    // their maximum idle age.
    void lookups_pass_silent_service_connections()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                fill_service_pools();
                fault_services({{"freeze_open", direction}});
                for (std::size_t i = 0; i < daemon_count; ++i)
                {
                    const auto reply = send_once(
                        fleet().entry(i), lookup_request(shared().fleet.key1));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        direction + ": " + describe(reply), 200, reply.status);
                }
            });
    }

    // Guards against a second run of an order whose connection went silent
    // after the service got it, and against a wrong execution state.
    void orders_over_silent_service_connections_run_once()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                const auto order = new_name("service-order");
                delay_order_answers(500);
                auto call = order_request(shared().fleet.key1, order);
                call.headers["X-Deadline-Ms"] = "3000";
                auto keyless = call;
                keyless.headers.erase("Idempotency-Key");
                keyless.body = json{{"order", order + "-keyless"}}.dump();
                auto sent = send_later(fleet().entry(0), call);
                auto sent_keyless = send_later(fleet().entry(1), keyless);
                CPPUNIT_ASSERT(eventually([&]
                    { return runs(order) + runs(order + "-keyless") == 2; }));
                fault_services({{"freeze_open", direction}});
                const bool answered = direction == "up";
                for (auto* one : {&sent, &sent_keyless})
                {
                    const auto reply = one->get();
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        describe(reply), answered, reply.status == 200);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(reply),
                        std::string(answered ? "" : "unknown"),
                        execution_of(reply));
                }
                delay_order_answers(0);
                for (std::size_t i = 0; i < daemon_count; ++i)
                {
                    const auto repeat = send_once(fleet().entry(i),
                        order_request(shared().fleet.key1, order));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(repeat),
                        std::string(answered ? "" : "outcome_unknown"),
                        error_code_of(repeat));
                }
                CPPUNIT_ASSERT_EQUAL(1, runs(order));
                CPPUNIT_ASSERT_EQUAL(1, runs(order + "-keyless"));
            });
    }

    // Guards against a channel to the platform that stays silent: changes,
    // withdrawals and orders would wait for good.
    void silent_platform_connections_are_replaced()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                const auto old_id = new_name("old-key");
                const auto withdrawn = issue_key(old_id);
                assert_all_serve(withdrawn);
                const auto order = new_name("store-order");
                fleet().fault_platform({{"freeze_open", direction}});
                auto sent = send_later(fleet().entry(1),
                    order_request(shared().fleet.key1, order));
                const auto key = issue_key(new_name("store-key"));
                fleet().withdraw_key(old_id);
                const auto reply = sent.get();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    describe(reply), 200, reply.status);
                CPPUNIT_ASSERT_EQUAL(1, runs(order));
                assert_all_serve(key);
                assert_all_refuse(withdrawn);
            });
    }

    // Guards against instances that lose their view lease during an outage of
    // the store because the connections between them went silent, and against
    // changes that do not reach them.
    void silent_peer_connections_are_replaced()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                const auto old_id = new_name("old-key");
                const auto withdrawn = issue_key(old_id);
                assert_all_serve(withdrawn);
                freeze_peers(direction);
                const auto key = issue_key(new_name("peer-key"));
                fleet().withdraw_key(old_id);
                assert_all_serve(key);
                assert_all_refuse(withdrawn);
                fleet().platform_mode({{"mode", "down"}});
                freeze_peers(direction);
                std::this_thread::sleep_for(longer_than_view_lease);
                fleet().platform_mode({{"mode", "up"}});
            });
    }

    // Guards against changes that are lost or made twice when the operator's
    // connection goes silent, and against connections of operators that are
    // held for ever.
    void silent_operator_connections_are_replaced_and_released()
    {
        for_each_direction(
            [&](const std::string& direction)
            {
                const auto route = front_proxy::operator_route(0);
                const int accepted = shared().front.accepted(route);
                const auto recorded = recorded_operations();
                const std::vector<std::function<bool()>> points = {[&]
                    { return shared().front.accepted(route) > accepted; },
                    [&] { return recorded_operations() > recorded + 1; }};
                for (const auto& reached : points)
                {
                    const auto issued = issue_key_over_silent(
                        new_name("operator-key"), direction, reached);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        direction + ": " + issued.errors, 0, issued.exit_code);
                    assert_all_serve(json::parse(issued.output)
                                         .at("secret")
                                         .get<std::string>());
                }
                CPPUNIT_ASSERT_EQUAL(recorded + 2, recorded_operations());
            });
    }

private:
    /// Parallel lookups leave several pooled connections on each instance.
    static void fill_service_pools()
    {
        constexpr int parallel_lookups = 8;
        std::vector<std::future<http_reply>> lookups;
        for (std::size_t i = 0; i < daemon_count; ++i)
            for (int j = 0; j < parallel_lookups; ++j)
                lookups.push_back(send_later(
                    fleet().entry(i), lookup_request(shared().fleet.key1)));
        for (auto& lookup : lookups)
            CPPUNIT_ASSERT_EQUAL(200, lookup.get().status);
    }

    static void freeze_peers(const std::string& direction)
    {
        for (std::size_t i = 0; i < daemon_count; ++i)
            fleet().fault_peer(i, {{"freeze_open", direction}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_connections_test);

} // namespace
} // namespace tarragonquay::test_support
