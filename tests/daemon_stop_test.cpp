#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/background_stream.hpp"
#include "support/callers.hpp"
#include "support/kept_connection.hpp"

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

/// Callers of daemons that are stopped in series. They keep connections beyond
/// the close of idle ones and use them until the process is gone.
class stops_in_series
{
public:
    explicit stops_in_series(std::uint32_t seed)
        : seed_(seed), system_(start_configured({}))
    {
    }

    void run()
    {
        for (std::size_t i = 0; i < system_->daemons(); ++i)
            stop(i);
    }

    /// Requests that were read whole and got nothing, or half an answer.
    std::string unanswered() const { return unanswered_; }
    std::size_t answered() const { return answered_; }
    std::size_t reset_unread() const { return reset_unread_; }

private:
    static constexpr int idle_callers = 40;
    static constexpr int busy_callers = 4;
    /// Idle connections are closed 7 s after the signal: the keep time, the
    /// margin, and the delay of 1 s.
    static constexpr milliseconds first_use{6'000};
    static constexpr milliseconds last_use{8'000};

    void stop(std::size_t daemon)
    {
        auto& child = system_->daemon(daemon);
        std::vector<std::jthread> threads;
        threads.reserve(idle_callers + busy_callers);
        for (int i = 0; i < idle_callers; ++i)
            threads.emplace_back([this, daemon, i] { use_late(daemon, i); });
        for (int i = 0; i < busy_callers; ++i)
            threads.emplace_back(
                [this, daemon, i](const std::stop_token& stopped)
                { keep_using(daemon, i, stopped); });
        std::this_thread::sleep_for(milliseconds(200));
        child.send_signal(SIGTERM);
        const bool ended = child.wait(stop_time);
        for (auto& thread : threads)
            thread.request_stop();
        threads.clear();
        if (!ended || child.exit_code() != 0)
            note_failure(fmt::format("daemon {} did not stop", daemon));
    }

    std::mt19937 make_random(std::size_t daemon, int caller) const
    {
        return std::mt19937(seed_ * 1'000 + std::uint32_t(daemon) * 100 +
                            std::uint32_t(caller));
    }

    // One request, a long pause, and another one about when the connection is
    // closed.
    void use_late(std::size_t daemon, int caller)
    {
        auto random = make_random(daemon, caller);
        std::uniform_int_distribution<std::int64_t> pause(
            first_use.count(), last_use.count());
        const auto id = fmt::format("late-{}-{}", daemon, caller);
        kept_connection connection(system_->entry(daemon));
        if (caller % 2 == 0)
            call(connection, id + "-0", random);
        std::this_thread::sleep_for(milliseconds(pause(random)));
        call(connection, id + "-1", random);
    }

    void keep_using(
        std::size_t daemon, int caller, const std::stop_token& stopped)
    {
        auto random = make_random(daemon, idle_callers + caller);
        std::uniform_int_distribution<int> pause(0, 50);
        auto connection =
            std::make_unique<kept_connection>(system_->entry(daemon));
        for (int i = 0; !stopped.stop_requested(); ++i)
        {
            if (!connection->open())
                connection =
                    std::make_unique<kept_connection>(system_->entry(daemon));
            if (connection->open())
                call(*connection,
                    fmt::format("busy-{}-{}-{}", daemon, caller, i), random);
            std::this_thread::sleep_for(milliseconds(pause(random)));
        }
    }

    void call(kept_connection& connection, const std::string& id,
        std::mt19937& random)
    {
        const completion_call completion{
            .max_tokens = 3, .stream = random() % 2 == 0};
        auto request = random() % 3 == 0 ? order_request(system_.key1, id)
                                         : completion.request(system_.key1);
        request.headers["Host"] = "x";
        connection.write(to_text(request));
        const auto seen = connection.read();
        const std::scoped_lock lock(mutex_);
        if (seen.complete)
            ++answered_;
        else if (seen.swallowed || seen.status != 0)
            unanswered_ += fmt::format("{} (status {}{}); ", id, seen.status,
                seen.swallowed ? ", read and discarded" : "");
        else
            ++reset_unread_;
    }

    void note_failure(const std::string& text)
    {
        const std::scoped_lock lock(mutex_);
        unanswered_ += text + "; ";
    }

    const std::uint32_t seed_;
    const configured_system system_;
    std::mutex mutex_;
    std::string unanswered_;
    std::size_t answered_ = 0;
    std::size_t reset_unread_ = 0;
};

} // namespace

class daemon_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(daemon_stop_test);
    CPPUNIT_TEST(requests_that_run_are_answered_before_the_exit);
    CPPUNIT_TEST(requests_that_wait_are_refused_as_not_run);
    CPPUNIT_TEST(kept_connections_lose_no_request_in_a_series_of_stops);
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

    // Guards against whole requests that get neither an answer nor a reset
    // when they cross the close of an idle connection.
    void kept_connections_lose_no_request_in_a_series_of_stops()
    {
        stops_in_series played(seed());
        played.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), played.unanswered());
        // Too few requests on either side of the close would show nothing.
        CPPUNIT_ASSERT(played.answered() > 100);
        CPPUNIT_ASSERT(played.reset_unread() > 10);
    }

private:
    static std::uint32_t seed()
    {
        const auto* given = std::getenv("TQ_DAEMON_STOP_SEED");
        return given == nullptr ? 1
                                : static_cast<std::uint32_t>(std::atoi(given));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_stop_test);

} // namespace tarragonquay::test_support
