#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "support/background_stream.hpp"
#include "support/callers.hpp"
#include "support/key_checks.hpp"
#include "support/timeline.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

// The longest stated deadline: 10 s for the first event of a stream (design,
// section 3), and some time to resume the stream over a new connection.
constexpr milliseconds recovery_time{15'000};
// An idle connection of a caller is closed after 60 s.
constexpr milliseconds caller_release_time{90'000};
// A caller with a silent connection gives up after this time.
constexpr milliseconds caller_patience{2'000};
// Longer than the view lease of 5 s.
constexpr milliseconds longer_than_view_lease{8'000};
// Memory of one instance (design, section 1.7).
constexpr std::int64_t memory_limit_bytes = std::int64_t(256) << 20;
constexpr std::size_t daemon_count = 3;
constexpr std::size_t endpoint_count = 2;

/// Proxy before the listeners for callers and operators of all daemons.
class front_proxy
{
public:
    explicit front_proxy(const deployment& system)
    {
        std::vector<std::string> arguments;
        for (std::size_t i = 0; i < daemon_count; ++i)
            add_route(arguments, system.entry(i));
        for (std::size_t i = 0; i < daemon_count; ++i)
            add_route(arguments, system.operator_address(i));
        child_ = process::start_standin("proxy", arguments);
    }

    static std::size_t entry_route(std::size_t i) { return i; }
    static std::size_t operator_route(std::size_t i)
    {
        return daemon_count + i;
    }
    std::string address(std::size_t route) const
    {
        return child_->address(fmt::format("proxy-{}", route));
    }
    void fault(std::size_t route, json fault) const
    {
        fault["route"] = route;
        CPPUNIT_ASSERT_EQUAL(
            200, post(child_->address("admin"), "/admin/routes", fault).status);
    }
    int accepted(std::size_t route) const
    {
        return fetch(child_->address("admin"), "/admin/routes")
            .json()
            .at("routes")
            .at(route)
            .at("accepted")
            .get<int>();
    }

private:
    static void add_route(
        std::vector<std::string>& arguments, const std::string& target)
    {
        arguments.insert(
            arguments.end(), {"--listen", "127.0.0.1:0", "--target", target});
    }

    std::unique_ptr<process> child_;
};

/// Daemons and proxies that all tests of this program share.
struct shared_system
{
    configured_system fleet = start_configured(options());
    front_proxy front{*fleet.system};
    int next_name = 0;

    static deployment_options options()
    {
        deployment_options options;
        options.daemons = daemon_count;
        options.engines = options.services = endpoint_count;
        options.proxies = true;
        options.engine_arguments = {"--token-ms", "20"};
        return options;
    }
};

shared_system& shared()
{
    static shared_system system;
    return system;
}

deployment& fleet()
{
    return *shared().fleet.system;
}

std::string new_name(const std::string& kind)
{
    return fmt::format("{}-{}", kind, ++shared().next_name);
}

http_call lookup_request(const std::string& key)
{
    http_call call;
    call.target = "/services/orders/status/x";
    call.headers["Authorization"] = "Bearer " + key;
    call.time = recovery_time;
    return call;
}

/// Callers that send completions and lookups to every instance, one after
/// another, and keep what was not answered.
class steady_callers
{
public:
    steady_callers()
    {
        for (std::size_t i = 0; i < daemon_count; ++i)
        {
            threads_.emplace_back([this, i] { complete_on(i); });
            threads_.emplace_back([this, i] { look_up_on(i); });
        }
    }
    ~steady_callers() { stop(); }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    /// Ends the callers and asserts that each request was answered.
    void assert_all_answered()
    {
        stop();
        CPPUNIT_ASSERT(answered_ > 0);
        CPPUNIT_ASSERT_EQUAL(
            std::string(), fmt::format("{}", fmt::join(failures_, "\n")));
    }

private:
    void complete_on(std::size_t i)
    {
        const completion_call wanted{.max_tokens = 2};
        auto call = wanted.request(shared().fleet.key2);
        call.time = recovery_time;
        while (!stopped_)
        {
            const auto reply = send_once(fleet().entry(i), call);
            note(i,
                claims_whole(reply) && text_of(reply) == wanted.expected_text(),
                reply);
        }
    }

    void look_up_on(std::size_t i)
    {
        const auto call = lookup_request(shared().fleet.key2);
        while (!stopped_)
        {
            const auto reply = send_once(fleet().entry(i), call);
            note(i, reply.status == 200 && reply.complete, reply);
        }
    }

    void note(std::size_t i, bool answered, const http_reply& reply)
    {
        const std::scoped_lock lock(mutex_);
        if (answered)
            ++answered_;
        else
            failures_.push_back(fmt::format("i{}: {}", i + 1, describe(reply)));
        // A paced caller leaves the machine to the processes under test.
        std::this_thread::sleep_for(milliseconds(5));
    }

    void stop()
    {
        stopped_ = true;
        for (auto& thread : threads_)
            if (thread.joinable())
                thread.join();
    }

    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    int answered_ = 0;
    std::vector<std::string> failures_;
    std::vector<std::thread> threads_;
};

/// Open descriptors of the idle daemons at one time.
class descriptor_baseline
{
public:
    descriptor_baseline()
    {
        for (std::size_t i = 0; i < daemon_count; ++i)
            counts_.push_back(fleet().daemon(i).open_descriptors());
        // Connections of polls come and go.
        constexpr int samples = 20;
        for (int sample = 0; sample < samples; ++sample)
        {
            std::this_thread::sleep_for(milliseconds(100));
            for (std::size_t i = 0; i < daemon_count; ++i)
                counts_[i] =
                    std::min(counts_[i], fleet().daemon(i).open_descriptors());
        }
    }

    /// Asserts that nothing beyond the baseline stays open, and that the
    /// memory is within the limit of an instance.
    void assert_released(milliseconds time) const
    {
        for (std::size_t i = 0; i < daemon_count; ++i)
        {
            std::size_t last = 0;
            const bool released = eventually(
                [&]
                {
                    last = fleet().daemon(i).open_descriptors();
                    return last <= counts_[i];
                },
                time);
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("i{} has {} open descriptors instead of {}", i + 1,
                    last, counts_[i]),
                released);
            CPPUNIT_ASSERT(
                fleet().daemon(i).resident_bytes() < memory_limit_bytes);
        }
    }

private:
    std::vector<std::size_t> counts_;
};

/// How often an order ran at the services.
int runs(const std::string& order)
{
    int sum = 0;
    for (std::size_t i = 0; i < endpoint_count; ++i)
        sum += fetch(fleet().service_address(i), "/admin/orders")
                   .json()
                   .at("orders")
                   .value(order, 0);
    return sum;
}

/// Services answer orders only this long after they have run.
void delay_order_answers(int time_ms)
{
    for (std::size_t i = 0; i < endpoint_count; ++i)
        post(fleet().service_address(i), "/admin/faults",
            {{"delay_after_ms", time_ms}});
}

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
    CPPUNIT_TEST(callers_that_go_silent_are_released);
    CPPUNIT_TEST(streams_over_silent_engine_connections_are_completed);
    CPPUNIT_TEST(lookups_pass_silent_service_connections);
    CPPUNIT_TEST(orders_over_silent_service_connections_run_once);
    CPPUNIT_TEST(silent_platform_connections_are_replaced);
    CPPUNIT_TEST(silent_peer_connections_are_replaced);
    CPPUNIT_TEST(silent_operator_connections_are_replaced_and_released);
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
    /// Runs the test for each direction that can go silent, while other
    /// callers send requests. Nothing may stay open at the end.
    static void for_each_direction(
        const std::function<void(const std::string&)>& test,
        milliseconds release_time = recovery_time)
    {
        with_timeline(fleet(), 0,
            [&]
            {
                CPPUNIT_ASSERT(fleet().wait_epoch_open({0, 1, 2}));
                const descriptor_baseline before;
                steady_callers others;
                for (const std::string direction : {"up", "down", "both"})
                    test(direction);
                others.assert_all_answered();
                before.assert_released(release_time);
            });
    }

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

    static std::future<http_reply> send_later(
        const std::string& address, const http_call& call)
    {
        return std::async(std::launch::async,
            [address, call] { return send_once(address, call); });
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
