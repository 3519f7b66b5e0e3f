#include <csignal>
#include <future>
#include <map>
#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/background_stream.hpp"
#include "support/callers.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

/// Longer than any stop in this file, which lasts for the keep time of 5 s,
/// the margin of 1 s, stop_ms and the leave.
constexpr milliseconds stop_time{20'000};
/// Longer than a stop.
constexpr milliseconds long_time{60'000};
/// More tokens than the engine produces in long_time.
constexpr int endless = 20'000;

http_call with_long_deadline(http_call call)
{
    call.headers["X-Deadline-Ms"] = std::to_string(long_time.count());
    call.time = long_time;
    return call;
}

std::string execution_of(const http_reply& reply)
{
    const auto body = json::parse(reply.body, nullptr, false);
    const json::json_pointer path("/error/execution");
    return body.is_object() && body.contains(path)
               ? body.at(path).get<std::string>()
               : std::string();
}

/// What the callers of a daemon get at the end of its planned stop.
class stopping_daemon
{
public:
    stopping_daemon() : system(start_configured(make_options())) {}

    void send(const std::string& name, const http_call& call)
    {
        sent_[name] = std::async(std::launch::async,
            [entry = system->entry(0), call = with_long_deadline(call)]
            { return send_once(entry, call); });
    }

    void stop()
    {
        system->daemon(0).send_signal(SIGTERM);
        CPPUNIT_ASSERT_MESSAGE("the daemon did not end by itself",
            system->daemon(0).wait(stop_time));
        CPPUNIT_ASSERT_EQUAL(0, system->daemon(0).exit_code());
    }

    /// The answers that are not 503, "stopping" and of the given execution.
    std::string others(const std::string& execution)
    {
        std::string out;
        for (auto& [name, reply] : sent_)
        {
            const auto got = reply.get();
            if (got.status != 503 || !got.complete ||
                error_code_of(got) != "stopping" ||
                execution_of(got) != execution)
                out += name + ": " + describe(got) + "\n";
        }
        return out;
    }

    configured_system system;

private:
    static deployment_options make_options()
    {
        deployment_options options;
        options.daemons = 1;
        options.engines = 1;
        options.stop_ms = 500;
        return options;
    }

    std::map<std::string, std::future<http_reply>> sent_;
};

} // namespace

class daemon_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(daemon_stop_test);
    CPPUNIT_TEST(requests_that_run_are_answered_before_the_exit);
    CPPUNIT_TEST(requests_that_wait_are_refused_as_not_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a connection that is closed without an answer at the end
    // of a stop while an endpoint works on its request.
    void requests_that_run_are_answered_before_the_exit()
    {
        stopping_daemon tested;
        post(tested.system->service_address(0), "/admin/faults",
            {{"delay_before_ms", long_time.count()}});
        const auto& key = tested.system.key1;
        tested.send("order", order_request(key, "o1"));
        auto unrepeatable = order_request(key, "o2");
        unrepeatable.headers.erase("Idempotency-Key");
        tested.send("call that must not be repeated", unrepeatable);
        tested.send("completion",
            completion_call{.max_tokens = endless, .stream = false}.request(
                key));
        background_stream begun(tested.system->entry(0), key, endless);
        CPPUNIT_ASSERT(eventually([&] { return begun.events() > 3; }));
        // The stream below is sent, and gets no event.
        tested.system->engine(0).send_signal(SIGSTOP);
        tested.send("stream without an event",
            completion_call{.max_tokens = endless}.request(key));
        std::this_thread::sleep_for(milliseconds(300));
        tested.stop();
        tested.system->engine(0).send_signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(std::string(), tested.others("unknown"));
        const auto& stream = begun.reply();
        CPPUNIT_ASSERT_MESSAGE(describe(stream), ends_with_error_event(stream));
    }

    // Guards against a request that waits inside the daemon until the process
    // is gone, and is neither sent nor refused.
    void requests_that_wait_are_refused_as_not_run()
    {
        stopping_daemon tested;
        // A model that fits no engine.
        tested.system->put_model("m2", "1", 90'000'000'000);
        for (const bool stream : {true, false})
            tested.send(stream ? "stream" : "completion",
                completion_call{.stream = stream, .model = "m2"}.request(
                    tested.system.key1));
        std::this_thread::sleep_for(milliseconds(300));
        tested.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), tested.others("not_run"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_stop_test);

} // namespace tarragonquay::test_support
