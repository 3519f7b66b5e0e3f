#include <future>

#include <cppunit/extensions/HelperMacros.h>

#include "common/clock.hpp"
#include "support/callers.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

http_call keyed_call(const std::string& method, const std::string& target,
    const std::string& key)
{
    http_call call;
    call.method = method;
    call.target = target;
    if (!key.empty())
        call.headers["X-Api-Key"] = key;
    return call;
}

class path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(path_test);
    CPPUNIT_TEST(every_route_answers_on_every_instance);
    CPPUNIT_TEST(refusals_are_typed_and_reach_no_endpoint);
    CPPUNIT_TEST(requests_are_charged_to_the_workspace_of_their_key);
    CPPUNIT_TEST(a_service_without_state_stays_in_use);
    CPPUNIT_TEST(a_timeline_continues_after_its_cursor);
    CPPUNIT_TEST(a_completion_outlasts_a_cut_of_its_only_engine);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of the path that works only in unit tests or only
    // on the instance that took the configuration.
    void every_route_answers_on_every_instance()
    {
        const auto fleet = start_configured({});
        completion_call adapted;
        adapted.adapter = "a";
        completion_call whole;
        whole.stream = false;
        check_entries(fleet);
        for (std::size_t i = 0; i < fleet->daemons(); ++i)
        {
            const auto entry = fleet->entry(i);
            for (const auto& call : {completion_call(), whole, adapted})
            {
                const auto reply = complete(entry, fleet.key2, call);
                CPPUNIT_ASSERT_MESSAGE(describe(reply), claims_whole(reply));
                CPPUNIT_ASSERT_EQUAL(call.expected_text(), text_of(reply));
            }
            const auto models =
                send_once(entry, keyed_call("GET", "/v1/models", fleet.key1));
            CPPUNIT_ASSERT_EQUAL(200, models.status);
            CPPUNIT_ASSERT_EQUAL(std::string("m"),
                models.json().at("data").at(0).at("id").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(
                200, fetch(entry, "/services/orders/open/x").status);
            CPPUNIT_ASSERT_EQUAL(200,
                send_once(entry,
                    keyed_call("GET", "/services/orders/status/x", fleet.key1))
                    .status);
            CPPUNIT_ASSERT_EQUAL(200, fetch(entry, "/healthz").status);
            const auto metrics = fetch(entry, "/metrics");
            CPPUNIT_ASSERT(
                metrics.body.find("tq_completions_total") != std::string::npos);
            const auto order =
                send_once(entry, order_request(fleet.key1, "o1"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(order), 200, order.status);
        }
        const auto orders =
            fetch(fleet->service_address(0), "/admin/orders").json();
        CPPUNIT_ASSERT_EQUAL(1, orders.at("orders").at("o1").get<int>());
    }

    // Guards against a request that runs without its workspace's key, and
    // against a refusal that a caller can't tell from a failure.
    void refusals_are_typed_and_reach_no_endpoint()
    {
        const auto fleet = start_configured(small_options());
        const auto work = [&]
        {
            return work_seen_by(fleet->engine_address(0)) +
                   work_seen_by(fleet->service_address(0));
        };
        const auto before = work();
        completion_call unknown_model;
        unknown_model.model = "no-such-model";
        completion_call unknown_adapter;
        unknown_adapter.adapter = "no-such-adapter";
        auto without_key = completion_call().request("");
        without_key.headers.erase("Authorization");
        auto malformed = completion_call().request(fleet.key1);
        malformed.body = "{";
        struct refusal
        {
            http_call call;
            int status;
            std::string code;
        };
        const std::vector<refusal> refusals = {
            {completion_call().request("nobody"), 401, "unknown_key"},
            {without_key, 401, "missing_key"},
            {unknown_model.request(fleet.key1), 404, "unknown_model"},
            {unknown_adapter.request(fleet.key1), 404, "unknown_model"},
            {malformed, 400, "invalid_argument"},
            {keyed_call("GET", "/v1/models", ""), 401, "missing_key"},
            {keyed_call("GET", "/v1/models", "nobody"), 401, "unknown_key"},
            {keyed_call("GET", "/services/orders/status/x", ""), 401,
                "missing_key"},
            {keyed_call("POST", "/services/orders/send", "nobody"), 401,
                "unknown_key"},
            {keyed_call("GET", "/services/none/x", fleet.key1), 404,
                "not_found"},
            {keyed_call("GET", "/services/orders/open/../send", ""), 400,
                "invalid_argument"},
            {keyed_call("GET", "/no-such-route", fleet.key1), 404, "not_found"},
        };
        for (const auto& [call, status, code] : refusals)
        {
            const auto reply = send_once(fleet->entry(0), call);
            const auto what = call.target + ": " + describe(reply);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, status, reply.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, code, error_code_of(reply));
            const auto failure = reply.json().at("error");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("not_run"),
                failure.at("execution").get<std::string>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, reply.headers.at("x-request-id"),
                failure.at("request_id").get<std::string>());
        }
        CPPUNIT_ASSERT_EQUAL(before, work());
    }

    // Guards against a key that opens another workspace's share, and against
    // a withdrawn key that goes on working.
    void requests_are_charged_to_the_workspace_of_their_key()
    {
        const auto fleet = start_configured(small_options());
        fleet->put_workspace("small", 1, 100);
        const auto small = fleet->issue_key("ks", "small");
        completion_call large;
        large.max_tokens = 200;
        const auto refused = complete(fleet->entry(0), small, large);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(refused),
            std::string("request_exceeds_burst"), error_code_of(refused));
        completion_call tiny;
        tiny.max_tokens = 40;
        http_reply last;
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                last = complete(fleet->entry(0), small, tiny);
                return error_code_of(last) == "rate_limited";
            }));
        const auto other = complete(fleet->entry(0), fleet.key2, large);
        CPPUNIT_ASSERT_MESSAGE(describe(other), claims_whole(other));
        fleet->withdraw_key("k1");
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                last = complete(fleet->entry(0), fleet.key1);
                return error_code_of(last) == "withdrawn_key" ||
                       error_code_of(last) == "unknown_key";
            },
            withdrawal_bound));
        CPPUNIT_ASSERT(claims_whole(complete(fleet->entry(0), fleet.key2)));
    }

    // Guards against suspicion of a plain service that answers state polls
    // with 404, which took it out of use for up to 30 s at a time.
    void a_service_without_state_stays_in_use()
    {
        const auto fleet = start_configured(small_options());
        const auto service = fleet->service_address(0);
        post(service, "/admin/faults", {{"has_state", false}});
        constexpr std::size_t polls_to_suspicion = 3;
        const auto before = seen_by(service).size();
        CPPUNIT_ASSERT(eventually(
            [&] {
                return seen_by(service).size() >
                       before + polls_to_suspicion + 1;
            }));
        const auto timeline =
            fleet->tqctl(0, {"timeline", "--limit", "1000"}).output;
        CPPUNIT_ASSERT_MESSAGE(
            timeline, timeline.find("endpoint_suspected") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
            200, fetch(fleet->entry(0), "/services/orders/open/x").status);
    }

    // Guards against a cursor that the daemon ignores, and against pages that
    // skip or repeat events.
    void a_timeline_continues_after_its_cursor()
    {
        const auto fleet = start_configured(small_options());
        auto page = timeline_of(fleet, {"--limit", "1000"});
        auto events = page.at("events");
        const auto before = events.size();
        fleet->withdraw_key("k1");
        for (int i = 0; i < 2; ++i)
        {
            page =
                timeline_of(fleet, {"--limit", "1", "--after",
                                       page.at("cursor").get<std::string>()});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.at("events").size());
            events.push_back(page.at("events").at(0));
        }
        auto all = timeline_of(fleet, {"--limit", "1000"}).at("events");
        CPPUNIT_ASSERT(all.size() >= before + 2);
        all.erase(
            all.begin() + static_cast<std::ptrdiff_t>(before + 2), all.end());
        CPPUNIT_ASSERT_EQUAL(all.dump(), events.dump());
        const auto refused =
            fleet->tqctl(0, {"timeline", "--after", "another-process.1"});
        CPPUNIT_ASSERT_EQUAL(1, refused.exit_code);
        CPPUNIT_ASSERT_MESSAGE(refused.errors,
            refused.errors.find("invalid_argument: after_cursor is from") !=
                std::string::npos);
    }

    // Guards against a completion that waits up to its deadline because the
    // only engine with its model failed it once and has recovered since.
    void a_completion_outlasts_a_cut_of_its_only_engine()
    {
        auto options = small_options();
        options.proxies = true;
        const auto fleet = start_configured(options);
        completion_call whole;
        whole.stream = false;
        fleet->fault_engine(0, {{"drop_new", true}, {"cut_all", true}});
        // The engine is suspected after the second failure.
        const auto first = complete(fleet->entry(0), fleet.key1, whole);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            describe(first), std::string("no_endpoint"), error_code_of(first));
        auto waiting = std::async(std::launch::async,
            [&]
            {
                auto call = whole.request(fleet.key1);
                call.headers["X-Deadline-Ms"] = "20000";
                call.time = milliseconds(30'000);
                return send_once(fleet->entry(0), call);
            });
        const bool suspected = eventually(
            [&]
            {
                const auto events = timeline_of(fleet, {"--limit", "1000"});
                return events.dump().find("endpoint_suspected") !=
                       std::string::npos;
            });
        fleet->fault_engine(0, {{"heal", true}});
        const auto reply = waiting.get();
        CPPUNIT_ASSERT(suspected);
        CPPUNIT_ASSERT_MESSAGE(describe(reply), claims_whole(reply));
        CPPUNIT_ASSERT_EQUAL(whole.expected_text(), text_of(reply));
    }

private:
    static json timeline_of(
        const configured_system& fleet, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "timeline");
        const auto shown = fleet->tqctl(0, arguments);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(shown.errors, 0, shown.exit_code);
        return json::parse(shown.output);
    }

    /// "A withdrawn key stops working within seconds."
    static constexpr milliseconds withdrawal_bound{5'000};

    static deployment_options small_options()
    {
        deployment_options options;
        options.daemons = 1;
        options.engines = 1;
        return options;
    }

    static void check_entries(const configured_system& fleet)
    {
        json answer;
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                answer = fetch(fleet->entry(1),
                    "/v1/entries?workspace=w1&availability_zone=z2")
                             .json();
                return answer.at("entries").size() == fleet->daemons();
            }));
        CPPUNIT_ASSERT(
            answer.at("keep_until_unix_ms").get<std::int64_t>() > unix_ms());
        CPPUNIT_ASSERT_EQUAL(std::string("z2"), answer.at("entries")
                                                    .at(0)
                                                    .at("availability_zone")
                                                    .get<std::string>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_test);

} // namespace
} // namespace tarragonquay::test_support
