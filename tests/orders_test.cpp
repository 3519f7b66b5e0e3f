#include <csignal>
#include <future>
#include <map>
#include <mutex>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "orders/order_types.hpp"
#include "support/deployment.hpp"
#include "support/http_client.hpp"
#include "support/timeline.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

// Generous: a member is removed and fenced within about 20 s.
constexpr milliseconds removal_time{60'000};
constexpr int short_deadline_ms = 1500;
constexpr int deadline_ms = 20'000;
constexpr int long_deadline_ms = 120'000;

/// What a caller saw of one attempt.
struct attempt
{
    int status = 0;
    std::string code;
    std::string execution;
    std::string body;
};

attempt to_attempt(const http_reply& reply)
{
    attempt out{reply.status, "", "", reply.body};
    const auto body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("error"))
    {
        out.code = body["error"].value("code", "");
        out.execution = body["error"].value("execution", "");
    }
    return out;
}

/// Daemons and order services that all tests of this program share; one
/// start per test would take most of the time.
class order_system
{
public:
    order_system()
    {
        deployment_options options;
        options.engines = 0;
        options.services = 3;
        options.proxies = true;
        system = deployment::start(options);
        for (std::size_t i = 0; i < system->daemons(); ++i)
            CPPUNIT_ASSERT(system->wait_healthy(i, removal_time));
        system->put_workspace("w", 1'000'000, 1'000'000);
        secret = system->issue_key("k", "w");
        system->put_service("orders");
        system->put_endpoints("orders");
        for (std::size_t i = 0; i < system->daemons(); ++i)
            CPPUNIT_ASSERT(
                eventually([&] { return status_of(i, "none") == 200; }));
    }

    attempt send(std::size_t daemon, const std::string& order,
        int time_ms = deadline_ms, const std::string& more = "",
        bool keyed = true) const
    {
        http_call call;
        call.method = "POST";
        call.target = "/services/orders/send";
        call.headers = headers(time_ms);
        if (keyed)
            call.headers["Idempotency-Key"] = order;
        call.body = json({{"order", order}, {"more", more}}).dump();
        call.time = milliseconds(time_ms + 10'000);
        return to_attempt(send_once(system->entry(daemon), call));
    }

    std::future<attempt> start(std::size_t daemon, const std::string& order,
        int time_ms = deadline_ms) const
    {
        return std::async(std::launch::async,
            [=, this] { return send(daemon, order, time_ms); });
    }

    /// Status of an idempotent lookup.
    int status_of(
        std::size_t daemon, const std::string& order, int time_ms = 2000) const
    {
        http_call call;
        call.target = "/services/orders/status/" + order;
        call.headers = headers(time_ms);
        return send_once(system->entry(daemon), call).status;
    }

    /// How often an order ran at the services that are alive.
    int runs(const std::string& order) const
    {
        int sum = 0;
        for (std::size_t i = 0; i < services; ++i)
            if (system->service(i).running())
                sum += fetch(system->service_address(i), "/admin/orders")
                           .json()
                           .at("orders")
                           .value(order, 0);
        return sum;
    }

    bool has_row(const std::string& order) const
    {
        const auto key = orders::order_row_key(workspace_id("w"), order);
        return !fetch(system->platform_admin(), "/admin/rows?prefix=" + key)
                    .json()
                    .at("rows")
                    .empty();
    }

    void fault_services(const json& faults) const
    {
        for (std::size_t i = 0; i < services; ++i)
            if (system->service(i).running())
                post(system->service_address(i), "/admin/faults", faults);
    }

    void store_mode(const json& mode) const
    {
        CPPUNIT_ASSERT_EQUAL(
            200, post(system->platform_admin(), "/admin/mode", mode).status);
    }

    /// Waits until a repeat gets this code.
    void wait_for_code(std::size_t daemon, const std::string& order,
        const std::string& code) const
    {
        attempt last;
        const bool seen = eventually(
            [&]
            {
                last = send(daemon, order);
                return last.code == code;
            },
            removal_time);
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} instead of {}: {}", last.code, code, last.body),
            seen);
    }

    /// Settles an order of unknown outcome like an operator.
    void resolve(std::size_t daemon, const std::string& order,
        const std::string& outcome) const
    {
        const auto shown = system->tqctl(daemon, {"order", "show", "w", order});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(shown.errors, 0, shown.exit_code);
        const auto record = json::parse(shown.output);
        CPPUNIT_ASSERT_EQUAL(std::string("UNKNOWN"),
            record.at("order").at("state").get<std::string>());
        const auto& version = record.at("version");
        const auto settled = system->tqctl(
            daemon, {"order", "resolve", "w", order, "--outcome", outcome,
                        "--expected-version",
                        version.is_string() ? version.get<std::string>()
                                            : version.dump(),
                        "--by", "test"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(settled.errors, 0, settled.exit_code);
    }

    static constexpr std::size_t services = 3;
    std::unique_ptr<deployment> system;
    std::string secret;

private:
    std::map<std::string, std::string> headers(int time_ms) const
    {
        return {{"Authorization", "Bearer " + secret},
            {"X-Deadline-Ms", std::to_string(time_ms)}};
    }
};

void assert_ran(const attempt& seen)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen.body, 200, seen.status);
}

void assert_refused(
    const attempt& seen, const std::string& code, const std::string& execution)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen.body, code, seen.code);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen.body, execution, seen.execution);
}

class orders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_test);
    CPPUNIT_TEST(parallel_repeats_run_once);
    CPPUNIT_TEST(lost_answer_of_the_store_is_settled);
    CPPUNIT_TEST(order_waits_for_the_store_to_come_back);
    CPPUNIT_TEST(frozen_service_leaves_an_unknown_outcome);
    CPPUNIT_TEST(call_without_a_key_is_dispatched_once);
    CPPUNIT_TEST(lookup_is_retried_at_another_replica);
    CPPUNIT_TEST(paused_instance_dispatches_no_settled_order);
    CPPUNIT_TEST(killed_instance_leaves_no_second_run);
    CPPUNIT_TEST(dead_service_leaves_an_unknown_outcome);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two instances that dispatch the same order, and against
    // a later repeat that is not answered from the record.
    void parallel_repeats_run_once()
    {
        run(
            [&]
            {
                all().fault_services({{"delay_after_ms", 300}});
                std::vector<std::future<attempt>> callers;
                for (std::size_t i = 0; i < 12; ++i)
                    callers.push_back(all().start(i % 3, "parallel"));
                int answered = 0;
                for (auto& caller : callers)
                {
                    const auto seen = caller.get();
                    if (seen.status == 200)
                        ++answered;
                    else
                        assert_refused(seen, "order_in_progress", "unknown");
                }
                CPPUNIT_ASSERT(answered >= 1);
                const auto first = all().send(0, "parallel");
                for (std::size_t i = 0; i < 3; ++i)
                {
                    const auto repeat = all().send(i, "parallel");
                    assert_ran(repeat);
                    CPPUNIT_ASSERT_EQUAL(first.body, repeat.body);
                }
                assert_refused(
                    all().send(1, "parallel", deadline_ms, "other body"),
                    "idempotency_key_reused", "not_run");
                CPPUNIT_ASSERT_EQUAL(1, all().runs("parallel"));
            });
    }

    // Guards against an order that is refused or dispatched twice because
    // the answer to its record was lost.
    void lost_answer_of_the_store_is_settled()
    {
        run(
            [&]
            {
                all().store_mode({{"mode", "answer_lost"}, {"count", 3}});
                assert_ran(all().send(0, "lost"));
                all().store_mode({{"mode", "up"}});
                assert_ran(all().send(1, "lost"));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("lost"));
            });
    }

    // Guards against a dispatch without a record, and against a refusal that
    // blocks the order for good.
    void order_waits_for_the_store_to_come_back()
    {
        run(
            [&]
            {
                all().store_mode({{"mode", "down"}});
                const auto refused = all().send(0, "outage", short_deadline_ms);
                assert_refused(refused, "store_unavailable", "not_run");
                CPPUNIT_ASSERT_EQUAL(0, all().runs("outage"));
                CPPUNIT_ASSERT_EQUAL(200, all().status_of(0, "outage"));
                all().store_mode({{"mode", "up"}});
                CPPUNIT_ASSERT(eventually([&]
                    { return all().send(0, "outage").status == 200; },
                    removal_time));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("outage"));
            });
    }

    // Guards against a retry after the connection went silent: the service
    // may have run the order.
    void frozen_service_leaves_an_unknown_outcome()
    {
        run(
            [&]
            {
                fault_routes({{"freeze_new", true}});
                assert_refused(all().send(0, "frozen", short_deadline_ms),
                    "outcome_unknown", "unknown");
                fault_routes({{"heal", true}});
                all().wait_for_code(1, "frozen", "outcome_unknown");
                CPPUNIT_ASSERT_EQUAL(0, all().runs("frozen"));
                all().resolve(1, "frozen", "did_not_run");
                assert_ran(all().send(0, "frozen"));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("frozen"));
            });
    }

    // Guards against a retry of a call that may have run, when no record
    // protects it.
    void call_without_a_key_is_dispatched_once()
    {
        run(
            [&]
            {
                all().fault_services({{"lose_answers", 1}});
                const auto seen =
                    all().send(0, "no-key", deadline_ms, "", false);
                all().fault_services({{"lose_answers", 0}});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    seen.body, std::string("unknown"), seen.execution);
                CPPUNIT_ASSERT_EQUAL(1, all().runs("no-key"));
            });
    }

    // Guards against an idempotent call that fails with its first replica.
    void lookup_is_retried_at_another_replica()
    {
        run(
            [&]
            {
                const auto seen = [&] {
                    return fetch(
                        all().system->service_address(0), "/admin/seen")
                        .body;
                };
                post(all().system->service_address(0), "/admin/faults",
                    {{"wrong_echo", 1}});
                const bool reached = eventually(
                    [&]
                    {
                        const int status = all().status_of(0, "retried", 5000);
                        CPPUNIT_ASSERT_EQUAL(200, status);
                        return seen().find("status/retried") !=
                               std::string::npos;
                    },
                    removal_time);
                CPPUNIT_ASSERT(reached);
            });
    }

    // Guards against an instance that was paused after it recorded an order,
    // was removed meanwhile, and dispatches the order after it has a view
    // lease again, although an operator has settled it and it has run.
    void paused_instance_dispatches_no_settled_order()
    {
        run(
            [&]
            {
                auto& paused = all().system->daemon(1);
                all().fault_services({{"leaving", true}});
                for (const std::size_t i : {0, 1})
                    CPPUNIT_ASSERT(eventually(
                        [&] { return all().status_of(i, "-", 300) != 200; }));
                auto queued = all().start(1, "queued", long_deadline_ms);
                CPPUNIT_ASSERT(
                    eventually([&] { return all().has_row("queued"); }));
                all().store_mode({{"mode", "answer_lost"}, {"count", 1000}});
                auto recording = all().start(1, "recording", long_deadline_ms);
                CPPUNIT_ASSERT(
                    eventually([&] { return all().has_row("recording"); }));
                paused.send_signal(SIGSTOP);
                all().store_mode({{"mode", "up"}});
                all().system->unlist_instance("i2");

                for (const std::string order : {"queued", "recording"})
                {
                    all().wait_for_code(0, order, "outcome_unknown");
                    CPPUNIT_ASSERT_EQUAL(0, all().runs(order));
                    all().resolve(0, order, "did_not_run");
                }
                all().fault_services({{"leaving", false}});
                for (const std::string order : {"queued", "recording"})
                {
                    assert_ran(all().send(0, order));
                    CPPUNIT_ASSERT_EQUAL(1, all().runs(order));
                }
                // The services come back only after the view lease, so that
                // the check of the lease alone can't prevent a dispatch.
                all().fault_services({{"leaving", true}});
                all().system->list_instance("i2", all().system->entry(1));
                paused.send_signal(SIGCONT);
                CPPUNIT_ASSERT(all().system->wait_healthy(1, removal_time));
                all().fault_services({{"leaving", false}});
                recording.get();
                const auto late = queued.get();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    late.body, 1, all().runs("queued"));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("recording"));
            });
    }

    // Guards against a second run, or a lost order, after the instance dies
    // before, during or after the dispatch.
    void killed_instance_leaves_no_second_run()
    {
        run(
            [&]
            {
                assert_ran(all().send(2, "after"));
                all().fault_services({{"delay_after_ms", 5000}});
                auto during = all().start(2, "during");
                CPPUNIT_ASSERT(
                    eventually([&] { return all().runs("during") == 1; }));
                all().store_mode({{"mode", "answer_lost"}, {"count", 1000}});
                auto before = all().start(2, "before");
                CPPUNIT_ASSERT(
                    eventually([&] { return all().has_row("before"); }));
                all().system->daemon(2).kill();
                all().store_mode({{"mode", "up"}});
                all().fault_services({{"delay_after_ms", 0}});
                CPPUNIT_ASSERT_EQUAL(0, during.get().status);
                CPPUNIT_ASSERT_EQUAL(0, before.get().status);
                all().system->start_daemon(2);

                assert_ran(all().send(0, "after"));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("after"));
                all().wait_for_code(0, "during", "outcome_unknown");
                CPPUNIT_ASSERT_EQUAL(1, all().runs("during"));
                all().resolve(0, "during", "ran");
                assert_ran(all().send(1, "during"));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("during"));

                all().wait_for_code(1, "before", "outcome_unknown");
                CPPUNIT_ASSERT_EQUAL(0, all().runs("before"));
                all().resolve(1, "before", "did_not_run");
                assert_ran(all().send(0, "before"));
                CPPUNIT_ASSERT_EQUAL(1, all().runs("before"));
            });
    }

    // Guards against a retry at another replica after the first one died
    // with the order done.
    void dead_service_leaves_an_unknown_outcome()
    {
        run(
            [&]
            {
                all().fault_services({{"die_after_running", 1}});
                assert_refused(
                    all().send(0, "dead"), "outcome_unknown", "unknown");
                // The connection breaks a moment before the process has ended.
                const auto dead = [&]
                {
                    int count = 0;
                    for (std::size_t i = 0; i < order_system::services; ++i)
                        count += all().system->service(i).running() ? 0 : 1;
                    return count;
                };
                CPPUNIT_ASSERT(eventually([&] { return dead() > 0; }));
                CPPUNIT_ASSERT_EQUAL(1, dead());
                all().fault_services({{"die_after_running", 0}});
                assert_refused(
                    all().send(1, "dead"), "outcome_unknown", "unknown");
                CPPUNIT_ASSERT_EQUAL(0, all().runs("dead"));
                // The proxy accepts connections for the dead service as well,
                // so an order that reaches it before it is suspected may have
                // run for all that the daemon knows.
                int tries = 0;
                const auto next_runs = [&]
                {
                    const auto order = fmt::format("next-{}", ++tries);
                    const auto seen = all().send(0, order);
                    const bool ran = seen.status == 200;
                    if (!ran)
                        assert_refused(seen, "outcome_unknown", "unknown");
                    CPPUNIT_ASSERT_EQUAL(ran ? 1 : 0, all().runs(order));
                    return ran;
                };
                CPPUNIT_ASSERT(eventually(next_runs, removal_time));
            });
    }

private:
    static order_system& all()
    {
        static order_system shared;
        return shared;
    }

    static void fault_routes(const json& fault)
    {
        for (std::size_t i = 0; i < order_system::services; ++i)
            all().system->fault_service(i, fault);
    }

    /// Each test starts without faults.
    static void run(const std::function<void()>& test)
    {
        with_timeline(*all().system, 0,
            [&]
            {
                all().store_mode({{"mode", "up"}});
                all().fault_services({{"delay_after_ms", 0},
                    {"lose_answers", 0}, {"wrong_echo", 0},
                    {"die_after_running", 0}, {"leaving", false}});
                fault_routes({{"heal", true}});
                for (const std::size_t i : {0, 1, 2})
                    CPPUNIT_ASSERT(eventually([&]
                        { return all().status_of(i, "ready") == 200; },
                        removal_time));
                test();
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_test);

} // namespace
} // namespace tarragonquay::test_support
