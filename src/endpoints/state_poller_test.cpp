#include "endpoints/scripted_server.hpp"
#include "endpoints/state_poller.hpp"

#include <map>
#include <tuple>

#include <cppunit/extensions/HelperMacros.h>

#include "endpoints/command_client.hpp"
#include "endpoints/endpoint_state.hpp"
#include "records.pb.h"

namespace tarragonquay::endpoints
{

using testing::scripted_answer;
using testing::scripted_server;

namespace
{

scripted_answer answer_with(const std::string& status, const std::string& body)
{
    return {"HTTP/1.1 " + status + " X\r\nX-Request-Id: {id}\r\n" +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body};
}

result<command_answer> send_to(const std::string& status)
{
    scripted_server server({answer_with(status, "{}")});
    records::Command_intent intent;
    intent.set_command_id("c");
    intent.set_kind(records::Command_intent::LOAD_MODEL);
    return server.run(send_command(server.address(), intent,
        std::chrono::steady_clock::now() + std::chrono::seconds(20)));
}

} // namespace

class state_poller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_poller_test);
    CPPUNIT_TEST(reports_states_and_failures);
    CPPUNIT_TEST(service_without_a_state_is_available);
    CPPUNIT_TEST(state_of_a_plain_service_is_optional);
    CPPUNIT_TEST(command_statuses_map_to_distinct_errors);
    CPPUNIT_TEST(command_contains_the_incarnation_of_the_engine);
    CPPUNIT_TEST(version_of_an_adapter_is_optional_and_checked);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failed poll that is not reported to the handler.
    void reports_states_and_failures()
    {
        scripted_server good({answer_with("200",
            R"({"incarnation":"i","capacity_bytes":1,"used_bytes":1,
            "overcommits":0,"residents":[],"adapters":[],"running":0,
            "waiting":0,"leaving":true,"highest_fencing":0,"commands":[],
            "reported_unix_ms":1})")});
        std::string closed;
        {
            const scripted_server stopped_server({});
            closed = stopped_server.address();
        }
        std::map<endpoint_id, result<routing::endpoint_report>> reports;
        state_poller poller(good.context.get_executor(),
            [&](const endpoint_id& id, auto report)
            { reports.emplace(id, std::move(report)); });
        std::vector<catalog::endpoint> list(2);
        list[0].id = endpoint_id("good");
        list[0].address = good.address();
        list[1].id = endpoint_id("closed");
        list[1].address = closed;
        poller.set_endpoints(list);
        poller.start();
        while (reports.size() < 2)
            good.context.run_one();
        poller.stop();
        CPPUNIT_ASSERT(reports.at(list[0].id).has_value());
        CPPUNIT_ASSERT(reports.at(list[0].id)->leaving);
        CPPUNIT_ASSERT(reports.at(list[1].id).error().code() ==
                       error_code::connect_failed);
    }

    // Guards against a plain service that counts as failed because it does not
    // have the state of an engine.
    void service_without_a_state_is_available()
    {
        const auto poll = [](const std::string& status, const std::string& body)
        {
            scripted_server service({answer_with(status, body)});
            std::optional<result<routing::endpoint_report>> reports;
            state_poller poller(service.context.get_executor(),
                [&](const endpoint_id&, auto report)
                { reports = std::move(report); });
            catalog::endpoint plain;
            plain.id = endpoint_id("s");
            plain.address = service.address();
            plain.kind = catalog::endpoint_kind::service;
            poller.set_endpoints({plain});
            poller.start();
            while (!reports)
                service.context.run_one();
            poller.stop();
            return std::move(*reports);
        };
        for (const auto* body : {"not found", "{}", R"({"leaving":1})"})
        {
            const auto report = poll("404", body);
            CPPUNIT_ASSERT_MESSAGE(body, report.has_value());
            CPPUNIT_ASSERT_MESSAGE(body, !report->leaving);
        }
        CPPUNIT_ASSERT(poll("200", R"({"leaving":true})")->leaving);
    }

    // Guards against a plain service that counts as failed because it has no
    // state, and against ignoring that a service reports that it is leaving.
    void state_of_a_plain_service_is_optional()
    {
        const endpoint_id id("s");
        for (const auto& [status, body, usable, leaving] :
            {std::tuple{404, "no such path", true, false},
                std::tuple{200, "not JSON", true, false},
                std::tuple{200, R"({"leaving": true})", true, true},
                std::tuple{501, R"({"leaving": true})", true, false},
                std::tuple{503, "", false, false}})
        {
            const auto state = decode_service_state(id, status, body, {});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, usable, state.has_value());
            if (state)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(body, leaving, state->leaving);
        }
    }

    // Guards against rejecting an engine that does not report the version, and
    // against accepting a version that can't be compared.
    void version_of_an_adapter_is_optional_and_checked()
    {
        const auto decoded = [](const std::string& more)
        {
            return decode_endpoint_state(endpoint_id("e"),
                R"({"incarnation":"i","capacity_bytes":9,"used_bytes":1,)"
                R"("overcommits":0,"running":1,"waiting":2,"leaving":false,)"
                R"("highest_fencing":7,"reported_unix_ms":5,"residents":[],)"
                R"("commands":[],"adapters":[{"adapter":"a","model":"m")" +
                    more + "}]}",
                {});
        };
        const auto without_version = decoded("");
        CPPUNIT_ASSERT(without_version.has_value());
        CPPUNIT_ASSERT(!without_version->adapters.at(0).version);
        CPPUNIT_ASSERT(without_version->adapters.at(0).matches("2"));
        const auto with_version = decoded(R"(,"version":"1")");
        CPPUNIT_ASSERT(with_version.has_value());
        CPPUNIT_ASSERT(with_version->adapters.at(0).matches("1"));
        CPPUNIT_ASSERT(!with_version->adapters.at(0).matches("2"));
        const std::string too_long(513, 'v');
        for (const auto& wrong : {std::string("1"), std::string("null"),
                 std::string("[\"1\"]"), "\"" + too_long + "\""})
        {
            const auto rejected = decoded(",\"version\":" + wrong);
            CPPUNIT_ASSERT_MESSAGE(wrong, !rejected.has_value());
            CPPUNIT_ASSERT_MESSAGE(wrong,
                rejected.error().code() == error_code::malformed_message);
        }
    }

    // Guards against releasing reserved memory while a command may still run.
    void command_statuses_map_to_distinct_errors()
    {
        CPPUNIT_ASSERT(send_to("202") == command_answer::accepted);
        CPPUNIT_ASSERT(send_to("200") == command_answer::already_known);
        for (const auto& [status, code, execution] :
            {std::tuple{
                 "409", error_code::stale_fencing, execution_state::not_run},
                std::tuple{
                    "507", error_code::no_memory, execution_state::not_run},
                std::tuple{"500", error_code::endpoint_rejected,
                    execution_state::unknown}})
        {
            const auto answer = send_to(status);
            CPPUNIT_ASSERT_MESSAGE(status, !answer.has_value());
            CPPUNIT_ASSERT(answer.error().code() == code);
            CPPUNIT_ASSERT(answer.error().execution() == execution);
        }
    }

    // Guards against a repeated command that a restarted engine takes for a new
    // one.
    void command_contains_the_incarnation_of_the_engine()
    {
        records::Command_intent intent;
        intent.set_engine_incarnation("i7");
        CPPUNIT_ASSERT(encode_command(intent).find(R"("incarnation":"i7")") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_poller_test);

} // namespace tarragonquay::endpoints
