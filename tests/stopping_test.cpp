#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/background_stream.hpp"
#include "support/caller_loops.hpp"
#include "support/timeline.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

// A stop lasts for the keep time of 5 s, the running requests and the leave.
// Below the idle limit of 60 s, so that idle connections can't delay it.
constexpr milliseconds stop_time{40'000};
// Longer than the keep time at the 10 ms per token of the engine.
constexpr int long_stream = 900;

void assert_whole(background_stream& stream, int tokens)
{
    const completion_call call{.max_tokens = tokens};
    CPPUNIT_ASSERT_EQUAL(
        std::string(), failure_of("stream", call, stream.reply()));
}

void assert_stops(process& daemon)
{
    daemon.send_signal(SIGTERM);
    CPPUNIT_ASSERT_MESSAGE(
        "the daemon did not end by itself", daemon.wait(stop_time));
    CPPUNIT_ASSERT_EQUAL(0, daemon.exit_code());
}

/// Callers that use one instance for as long as any answer of
/// GET /v1/entries permits it.
class callers_of_one
{
public:
    callers_of_one(const configured_system& system, std::size_t instance)
        : target_(system->entry(instance)), key_(system.key1)
    {
        for (std::size_t i = 0; i < system->daemons(); ++i)
            loops_.add([this, from = system->entry(i)] { return ask(from); },
                milliseconds(20));
    }

    /// Waits until the target was named.
    void wait_named() const
    {
        CPPUNIT_ASSERT(eventually([&] { return permitted(); }));
    }
    void add_new_connections(const completion_call& call)
    {
        add(milliseconds(5), [this, call]
            { return failure_of("new", call, complete(target_, key_, call)); });
    }
    /// Short pauses make a busy connection, long ones an idle one.
    void add_kept_connection(milliseconds pause)
    {
        auto client = std::make_shared<http_client>(target_);
        const completion_call call{.max_tokens = 2, .stream = false};
        const auto what = fmt::format("kept, pause {} ms", pause.count());
        add(pause,
            [this, client, call, what] {
                return failure_of(what, call, client->send(call.request(key_)));
            });
    }
    void add_orders(int thread)
    {
        auto number = std::make_shared<int>(0);
        add(milliseconds(5),
            [this, number, thread]
            {
                const auto order = fmt::format("o-{}-{}", thread, ++*number);
                const auto reply =
                    send_once(target_, order_request(key_, order));
                const std::lock_guard lock(mutex_);
                orders_.push_back(order);
                return reply.status == 200 ? "" : "order: " + describe(reply);
            });
    }
    /// Returns the failures.
    std::string stop()
    {
        loops_.stop();
        return loops_.failures();
    }
    const std::vector<std::string>& orders() const { return orders_; }

private:
    bool permitted() const { return unix_ms() < keep_until_; }

    void add(milliseconds pause, caller_loops::call call)
    {
        loops_.add([this, call = std::move(call)]
            { return permitted() ? call() : std::string(); },
            pause);
    }

    // The stopped instance itself can't be asked at the end.
    std::string ask(const std::string& from)
    {
        const auto answer = fetch_entries(from, "w1");
        if (answer.addresses.empty() && from != target_)
            return "no entries from " + from;
        if (!answer.names(target_))
            return {};
        auto known = keep_until_.load();
        while (known < answer.keep_until_unix_ms &&
               !keep_until_.compare_exchange_weak(
                   known, answer.keep_until_unix_ms))
        {
        }
        return {};
    }

    const std::string target_;
    const std::string key_;
    std::atomic<std::int64_t> keep_until_ = 0;
    std::mutex mutex_;
    std::vector<std::string> orders_;
    caller_loops loops_;
};

class stopping_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stopping_test);
    CPPUNIT_TEST(planned_stop_interrupts_nothing);
    CPPUNIT_TEST(stream_beyond_the_stop_deadline_ends_with_an_error);
    CPPUNIT_TEST(new_instance_is_named_once_it_has_shares);
    CPPUNIT_TEST(rolling_replacement_refuses_nothing);
    CPPUNIT_TEST(engine_that_says_it_leaves_gets_no_new_work);
    CPPUNIT_TEST(engine_that_the_list_calls_leaving_gets_no_new_work);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stop that cuts or refuses a request, closes its
    // address before the answers that named it expire, or does not end.
    void planned_stop_interrupts_nothing()
    {
        const auto system = start_configured({});
        with_timeline(*system.system, 0, [&] { stop_under_load(system); });
    }

    // Guards against a stream that is truncated silently when it runs for
    // longer than a stop may take.
    void stream_beyond_the_stop_deadline_ends_with_an_error()
    {
        constexpr int endless = 5'000;
        deployment_options options;
        options.daemons = 1;
        options.stop_ms = 500;
        const auto system = start_configured(options);
        background_stream stream(system->entry(0), system.key1, endless);
        CPPUNIT_ASSERT(eventually([&] { return stream.events() > 3; }));
        assert_stops(system->daemon(0));
        const auto& reply = stream.reply();
        CPPUNIT_ASSERT_MESSAGE(describe(reply), ends_with_error_event(reply));
        CPPUNIT_ASSERT_EQUAL(std::string("stopping"), error_code_of(reply));
    }

    // Guards against callers that are sent to an instance without shares,
    // which refuses all requests, and against empty answers meanwhile.
    void new_instance_is_named_once_it_has_shares()
    {
        deployment_options options;
        options.daemons = 4;
        const auto system = start_configured(options);
        with_timeline(*system.system, 0, [&] { join_closed_epoch(system); });
    }

    // Guards against a replacement that refuses or cuts requests of callers
    // within their rate, or leaves them without a usable address.
    void rolling_replacement_refuses_nothing()
    {
        const auto system = start_configured({});
        with_timeline(*system.system, 0, [&] { replace_each(system); });
    }

    // Guards against new work for an endpoint that the lagging list does not
    // show as leaving yet, and against a cut of its running streams.
    void engine_that_says_it_leaves_gets_no_new_work()
    {
        const auto system = start_configured({});
        with_timeline(*system.system, 0,
            [&]
            {
                leave_under_load(system,
                    [&](std::size_t engine)
                    {
                        post(system->engine_address(engine), "/admin/faults",
                            {{"leaving", true}});
                    });
            });
    }

    // The same for an engine that does not know that it leaves.
    void engine_that_the_list_calls_leaving_gets_no_new_work()
    {
        const auto system = start_configured({});
        with_timeline(*system.system, 0,
            [&]
            {
                leave_under_load(system,
                    [&](std::size_t engine)
                    {
                        system->list_instance(fmt::format("e{}", engine + 1),
                            system->engine_address(engine), true);
                    });
            });
    }

private:
    static json counts_of(const configured_system& system, std::size_t engine)
    {
        return fetch(system->engine_address(engine), "/admin/counts").json();
    }

    static void leave_under_load(const configured_system& system,
        const std::function<void(std::size_t)>& announce)
    {
        // The state of an engine is polled each second and the list every
        // two seconds, and a poll of either takes up to two seconds.
        constexpr milliseconds notice_time{5'000};
        constexpr milliseconds watched_time{4'000};
        constexpr int threads = 4;
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        caller_loops loops;
        std::vector<std::unique_ptr<background_stream>> streams;
        for (int i = 0; i < threads; ++i)
        {
            const auto entry = system->entry(i % system->daemons());
            const completion_call call{.max_tokens = 5, .stream = i % 2 == 0};
            loops.add(
                [entry, call, key = system.key1] {
                    return failure_of("load", call, complete(entry, key, call));
                },
                milliseconds(10));
            streams.push_back(std::make_unique<background_stream>(
                entry, system.key2, long_stream));
        }
        for (const auto& stream : streams)
            CPPUNIT_ASSERT(eventually([&] { return stream->events() > 3; }));
        const std::size_t leaving = counts_of(system, 0).at("requests") >
                                            counts_of(system, 1).at("requests")
                                        ? 0
                                        : 1;
        const auto before = counts_of(system, leaving).at("requests");
        CPPUNIT_ASSERT_MESSAGE("the engine has no load",
            eventually(
                [&] {
                    return before < counts_of(system, leaving).at("requests");
                }));
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                return fetch(system->engine_address(leaving), "/control/state")
                           .json()
                           .at("running") > 0;
            }));
        announce(leaving);
        std::this_thread::sleep_for(notice_time);
        const auto noticed = counts_of(system, leaving).at("requests");
        const auto other = counts_of(system, 1 - leaving).at("requests");
        std::this_thread::sleep_for(watched_time);
        CPPUNIT_ASSERT_EQUAL(
            noticed.dump(), counts_of(system, leaving).at("requests").dump());
        CPPUNIT_ASSERT_MESSAGE("the other engine had no load",
            other < counts_of(system, 1 - leaving).at("requests"));
        loops.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), loops.failures());
        for (const auto& stream : streams)
            assert_whole(*stream, long_stream);
    }

    static bool names(
        const configured_system& system, std::size_t asked, std::size_t named)
    {
        return fetch_entries(system->entry(asked), "w1")
            .names(system->entry(named));
    }

    static bool is_member(
        const configured_system& system, const std::string& instance)
    {
        const auto status = system->status(0);
        if (!status.is_object())
            return false;
        const auto members =
            status.value("members", std::vector<std::string>());
        return std::find(members.begin(), members.end(), instance) !=
               members.end();
    }

    // The epoch opens only after all members have applied the change, so a
    // paused one keeps it closed for about 16 s, until it is fenced.
    static void join_closed_epoch(const configured_system& system)
    {
        constexpr std::size_t paused = 2;
        constexpr std::size_t joining = 3;
        constexpr int rounds = 20;
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2, 3}));
        assert_stops(system->daemon(joining));
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        system->daemon(paused).send_signal(SIGSTOP);
        system->start_daemon(joining);
        CPPUNIT_ASSERT(eventually([&] { return is_member(system, "i4"); }));
        CPPUNIT_ASSERT(eventually([&] { return names(system, joining, 0); }));
        const completion_call call{.max_tokens = 1};
        for (int i = 0; i < rounds; ++i)
        {
            CPPUNIT_ASSERT(!system->status(0).value("epoch_open", true));
            for (const std::size_t asked : {std::size_t{0}, joining})
            {
                CPPUNIT_ASSERT(names(system, asked, 0));
                CPPUNIT_ASSERT(names(system, asked, 1));
                CPPUNIT_ASSERT(!names(system, asked, joining));
            }
            for (const std::size_t named : {0, 1})
                CPPUNIT_ASSERT_EQUAL(std::string(),
                    failure_of("closed epoch", call,
                        complete(system->entry(named), system.key1, call)));
        }
        system->daemon(paused).send_signal(SIGCONT);
        for (const std::size_t asked : {0, 1, 2, 3})
            for (const std::size_t named : {0, 1, 2, 3})
                CPPUNIT_ASSERT(
                    eventually([&] { return names(system, asked, named); },
                        milliseconds(30'000)));
        CPPUNIT_ASSERT_EQUAL(std::string(),
            failure_of("joined", call,
                complete(system->entry(joining), system.key1, call)));
    }

    static void add_follower(caller_loops& loops, const std::string& first,
        const std::string& workspace, const std::string& key,
        const completion_call& call, milliseconds pause)
    {
        auto follower = std::make_shared<entries_follower>(first, workspace);
        loops.add(
            [follower, call, key, workspace]
            {
                const auto address = follower->address();
                return address.empty()
                           ? "no entries"
                           : failure_of(workspace + " at " + address, call,
                                 complete(address, key, call));
            },
            pause);
    }

    static void replace_each(const configured_system& system)
    {
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        // A short call reserves 36 tokens (17 bytes, 16 for the message and 3
        // of output), so at most 20 calls a second take at most 720 tokens.
        constexpr milliseconds pause{50};
        const completion_call short_call{.max_tokens = 3, .stream = false};
        system->put_workspace("w3", 800, 1'600);
        const auto key3 = system->issue_key("k3", "w3");
        caller_loops loops;
        add_follower(loops, system->entry(0), "w3", key3, short_call, pause);
        // The name decides which instance comes first in the answers, so that
        // each instance has callers, also right after it has joined.
        constexpr int followers = 10;
        for (int i = 0; i < followers; ++i)
        {
            const auto first = system->entry(i % system->daemons());
            add_follower(loops, first, fmt::format("n{}", i), system.key1,
                short_call, milliseconds(10));
            add_follower(loops, first, fmt::format("n{}", i), system.key2,
                {.max_tokens = 100}, pause);
        }
        for (std::size_t i = 0; i < system->daemons(); ++i)
        {
            assert_stops(system->daemon(i));
            system->start_daemon(i);
            CPPUNIT_ASSERT(system->wait_healthy(i));
        }
        loops.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), loops.failures());
    }

    static void stop_under_load(const configured_system& system)
    {
        constexpr std::size_t stopped = 1;
        constexpr int threads = 3;
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        const auto target = system->entry(stopped);
        post(system->service_address(0), "/admin/faults",
            {{"delay_after_ms", 400}});
        std::vector<std::unique_ptr<http_client>> idle;
        std::vector<std::unique_ptr<background_stream>> streams;
        const completion_call short_call{.max_tokens = 2, .stream = false};
        callers_of_one callers(system, stopped);
        callers.wait_named();
        for (int i = 0; i < threads; ++i)
        {
            idle.push_back(std::make_unique<http_client>(target));
            CPPUNIT_ASSERT_EQUAL(
                200, idle.back()->send(short_call.request(system.key2)).status);
            CPPUNIT_ASSERT(idle.back()->connected());
            streams.push_back(std::make_unique<background_stream>(
                target, system.key2, long_stream));
            callers.add_new_connections(short_call);
            callers.add_new_connections({.max_tokens = 60});
            callers.add_kept_connection(milliseconds(5));
            callers.add_kept_connection(milliseconds(1'100 + 300 * i));
            callers.add_orders(i);
        }
        for (const auto& stream : streams)
            CPPUNIT_ASSERT(eventually([&] { return stream->events() > 3; }));

        assert_stops(system->daemon(stopped));
        CPPUNIT_ASSERT_EQUAL(std::string(), callers.stop());
        for (const auto& stream : streams)
            assert_whole(*stream, long_stream);
        const auto ran = fetch(system->service_address(0), "/admin/orders")
                             .json()
                             .at("orders");
        CPPUNIT_ASSERT(!callers.orders().empty());
        for (const auto& order : callers.orders())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(order, 1, ran.value(order, 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stopping_test);

} // namespace
} // namespace tarragonquay::test_support
