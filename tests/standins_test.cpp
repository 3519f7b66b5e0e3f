#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>

#include "common/clock.hpp"
#include "platform.grpc.pb.h"
#include "support/deployment.hpp"
#include "support/http_client.hpp"
#include "support/process.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;
namespace api = tarragonquay::platform;

json completion(int max_tokens, bool stream)
{
    json message = {{"role", "user"}, {"content", "write a verse"}};
    return {{"model", "m"}, {"messages", json::array({message})},
        {"max_tokens", max_tokens}, {"stream", stream}};
}

json load_command(const std::string& id, int fencing, int bytes)
{
    return {{"command_id", id}, {"fencing", fencing}, {"kind", "load_model"},
        {"model", id}, {"version", "1"}, {"bytes", bytes}};
}

grpc::Status transact(api::Platform::Stub& stub, const std::string& key,
    std::int64_t version, api::Transact_reply& reply)
{
    api::Transact_request request;
    auto* condition = request.add_conditions();
    condition->set_key(key);
    condition->set_version(version);
    auto* write = request.add_writes();
    write->set_key(key);
    write->set_value("value");
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + milliseconds(1000));
    return stub.Transact(&context, request, &reply);
}

class standins_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(standins_test);
    CPPUNIT_TEST(transaction_applies_only_when_conditions_hold);
    CPPUNIT_TEST(lost_answer_leaves_the_effect);
    CPPUNIT_TEST(resumed_stream_equals_the_uninterrupted_one);
    CPPUNIT_TEST(engine_counts_overcommits_and_refuses_stale_fencing);
    CPPUNIT_TEST(restarted_engine_refuses_commands_for_its_predecessor);
    CPPUNIT_TEST(unload_frees_memory_after_running_streams);
    CPPUNIT_TEST(versions_of_an_adapter_are_residents_of_their_own);
    CPPUNIT_TEST(crossed_answer_carries_another_request_id);
    CPPUNIT_TEST(store_refuses_writes_beyond_its_queue);
    CPPUNIT_TEST(instance_list_lags);
    CPPUNIT_TEST(service_counts_a_run_whose_answer_is_lost);
    CPPUNIT_TEST(frozen_connection_stays_silent_while_new_ones_work);
    CPPUNIT_TEST(deployment_applies_faults_to_one_route);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a store that writes although a condition failed.
    void transaction_applies_only_when_conditions_hold()
    {
        const auto server = process::start_standin("platform", {});
        const auto stub = stub_of(*server);
        api::Transact_reply first;
        CPPUNIT_ASSERT(transact(*stub, "a", 0, first).ok());
        CPPUNIT_ASSERT(first.applied());
        api::Transact_reply second;
        CPPUNIT_ASSERT(transact(*stub, "a", 0, second).ok());
        CPPUNIT_ASSERT(!second.applied());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), second.failed_key());
        CPPUNIT_ASSERT_EQUAL(first.revision(), second.failed_version());
        api::Transact_reply third;
        CPPUNIT_ASSERT(transact(*stub, "a", first.revision(), third).ok());
        CPPUNIT_ASSERT(third.applied());
    }

    // Guards against an answer_lost mode that loses the write as well.
    void lost_answer_leaves_the_effect()
    {
        const auto server = process::start_standin("platform", {});
        const auto stub = stub_of(*server);
        post(server->address("admin"), "/admin/mode",
            {{"mode", "answer_lost"}, {"count", 1}});
        api::Transact_reply reply;
        CPPUNIT_ASSERT(!transact(*stub, "a", 0, reply).ok());
        const auto rows =
            fetch(server->address("admin"), "/admin/rows?prefix=a").json();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rows.at("rows").size());
        api::Transact_reply next;
        CPPUNIT_ASSERT(transact(*stub, "b", 0, next).ok());
    }

    // Guards against output that depends on the connection or the offset.
    void resumed_stream_equals_the_uninterrupted_one()
    {
        const auto engine = start_engine({});
        const auto address = engine->address("engine");
        const auto whole = post(address, "/v1/chat/completions",
            completion(8, true), {{"X-Request-Id", "whole"}});
        CPPUNIT_ASSERT(whole.complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), whole.events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), whole.events.back().data);

        post(address, "/admin/faults", {{"cut_streams", 1}, {"at_event", 3}});
        const auto cut = post(address, "/v1/chat/completions",
            completion(8, true), {{"X-Request-Id", "cut"}});
        CPPUNIT_ASSERT(!cut.complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cut.events.size());
        const auto rest = fetch(address, "/v1/streams/cut?offset=3");
        CPPUNIT_ASSERT_EQUAL(whole.body, cut.body + rest.body);
        CPPUNIT_ASSERT_EQUAL(
            std::string("cut"), rest.headers.at("x-request-id"));
    }

    // Guards against memory that is not counted from the start of a load.
    void engine_counts_overcommits_and_refuses_stale_fencing()
    {
        const auto engine = start_engine({"--capacity-bytes", "2000"});
        const auto address = engine->address("engine");
        const std::string path = "/control/commands";
        CPPUNIT_ASSERT_EQUAL(
            202, post(address, path, load_command("a", 5, 1000)).status);
        CPPUNIT_ASSERT_EQUAL(
            200, post(address, path, load_command("a", 5, 1000)).status);
        CPPUNIT_ASSERT_EQUAL(
            409, post(address, path, load_command("b", 4, 1)).status);
        CPPUNIT_ASSERT_EQUAL(2000, memory_of(address).first);
        CPPUNIT_ASSERT_EQUAL(0, memory_of(address).second);
        CPPUNIT_ASSERT_EQUAL(
            202, post(address, path, load_command("c", 6, 1)).status);
        CPPUNIT_ASSERT_EQUAL(2001, memory_of(address).first);
        CPPUNIT_ASSERT_EQUAL(1, memory_of(address).second);
    }

    // Guards against a late copy that takes effect after a restart, where the
    // fencing numbers start anew.
    void restarted_engine_refuses_commands_for_its_predecessor()
    {
        const auto engine = start_engine({});
        const auto address = engine->address("engine");
        const std::string path = "/control/commands";
        auto command = load_command("a", 5, 1000);
        command["incarnation"] =
            fetch(address, "/control/state").json().at("incarnation");
        const auto restarted = post(address, "/admin/restart", {}).json();
        CPPUNIT_ASSERT_EQUAL(409, post(address, path, command).status);
        CPPUNIT_ASSERT_EQUAL(0, memory_of(address).first);
        command["command_id"] = "b";
        command["incarnation"] = restarted.at("incarnation");
        CPPUNIT_ASSERT_EQUAL(202, post(address, path, command).status);
    }

    // Guards against memory that is freed under a running stream or never.
    void unload_frees_memory_after_running_streams()
    {
        const auto engine = start_engine({});
        const auto address = engine->address("engine");
        const json unload = {{"command_id", "u"}, {"fencing", 1},
            {"kind", "unload_model"}, {"model", "m"}, {"version", "1"}};
        http_call call;
        call.method = "POST";
        call.target = "/v1/chat/completions";
        call.headers["X-Request-Id"] = "r1";
        call.body = completion(20, true).dump();
        int used_while_running = -1;
        call.on_event = [&](const sse_event& event)
        {
            if (event.id == "1")
            {
                post(address, "/control/commands", unload);
                used_while_running = memory_of(address).first;
            }
            return true;
        };
        const auto reply = send_once(address, call);
        CPPUNIT_ASSERT(reply.complete);
        CPPUNIT_ASSERT_EQUAL(1000, used_while_running);
        CPPUNIT_ASSERT(
            eventually([&] { return memory_of(address).first == 0; }));
        const auto refused = post(address, "/v1/chat/completions",
            completion(1, false), {{"X-Request-Id", "r2"}});
        CPPUNIT_ASSERT_EQUAL(409, refused.status);
    }

    // Guards against a stand-in that hides an overcommit by two versions of an
    // adapter, or that takes one away under a running stream.
    void versions_of_an_adapter_are_residents_of_their_own()
    {
        const auto engine = start_engine({});
        const auto address = engine->address("engine");
        int number = 0;
        const auto command =
            [&](const std::string& kind, const std::string& version, int bytes)
        {
            ++number;
            return post(address, "/control/commands",
                {{"command_id", "c" + std::to_string(number)},
                    {"fencing", number}, {"kind", kind}, {"model", "m"},
                    {"adapter", "a"}, {"version", version}, {"bytes", bytes}});
        };
        const auto versions = [&]
        {
            std::string out;
            const auto state = fetch(address, "/control/state").json();
            for (const auto& each : state.at("adapters"))
                out += each.at("version").get<std::string>() + ";";
            return out;
        };
        command("load_adapter", "1", 10);
        CPPUNIT_ASSERT(eventually([&] { return versions() == "1;"; }));
        http_call call;
        call.method = "POST";
        call.target = "/v1/chat/completions";
        call.headers["X-Request-Id"] = "r1";
        auto body = completion(20, true);
        body["adapter"] = "a";
        call.body = body.dump();
        int used_while_running = -1;
        call.on_event = [&](const sse_event& event)
        {
            if (event.id == "1")
            {
                command("load_adapter", "2", 30);
                CPPUNIT_ASSERT(
                    eventually([&] { return versions() == "1;2;"; }));
                command("unload_adapter", "1", 10);
                CPPUNIT_ASSERT(eventually([&] { return versions() == "2;"; }));
                used_while_running = memory_of(address).first;
            }
            return true;
        };
        CPPUNIT_ASSERT(send_once(address, call).complete);
        CPPUNIT_ASSERT_EQUAL(1040, used_while_running);
        CPPUNIT_ASSERT(
            eventually([&] { return memory_of(address).first == 1030; }));
        CPPUNIT_ASSERT_EQUAL(std::string("2;"), versions());
    }

    // Guards against a fault switch that has no effect, which would let
    // correlation tests pass without a crossed answer.
    void crossed_answer_carries_another_request_id()
    {
        const auto engine = start_engine({});
        const auto address = engine->address("engine");
        post(address, "/admin/faults", {{"crossed_answers", 1}});
        for (const std::string id : {"first", "second"})
        {
            const auto reply = post(address, "/v1/chat/completions",
                completion(1, false), {{"X-Request-Id", id}});
            CPPUNIT_ASSERT_EQUAL(id == "first" ? "crossed-" + id : id,
                reply.headers.at("x-request-id"));
        }
    }

    // Guards against a stand-in store without limits, which would hide that
    // the system writes too often.
    void store_refuses_writes_beyond_its_queue()
    {
        const auto server = process::start_standin(
            "platform", {"--writes-per-second", "1", "--queue-ms", "10"});
        const auto stub = stub_of(*server);
        api::Transact_reply first;
        CPPUNIT_ASSERT(transact(*stub, "a", 0, first).ok());
        api::Transact_reply second;
        CPPUNIT_ASSERT_EQUAL(int(grpc::StatusCode::RESOURCE_EXHAUSTED),
            int(transact(*stub, "b", 0, second).error_code()));
    }

    // Guards against a list that shows changes before its lag has passed.
    void instance_list_lags()
    {
        const auto server =
            process::start_standin("platform", {"--list-lag-ms", "500"});
        const auto stub = stub_of(*server);
        const auto before_change = unix_ms();
        post(server->address("admin"), "/admin/instances",
            {{"id", "i1"}, {"address", "127.0.0.1:1"}});
        const auto shown = [&]
        {
            api::List_instances_reply reply;
            grpc::ClientContext context;
            CPPUNIT_ASSERT(stub->ListInstances(&context, {}, &reply).ok());
            CPPUNIT_ASSERT(reply.as_of_unix_ms() + 500 <= unix_ms());
            if (reply.as_of_unix_ms() < before_change)
                CPPUNIT_ASSERT_EQUAL(0, reply.instances_size());
            return reply.instances_size() == 1;
        };
        CPPUNIT_ASSERT(eventually(shown));
    }

    // Guards against a lost answer that hides that the order ran.
    void service_counts_a_run_whose_answer_is_lost()
    {
        const auto service = process::start_standin("service", {});
        const auto address = service->address("service");
        post(address, "/admin/faults", {{"lose_answers", 1}});
        const auto lost = post(address, "/send", {{"order", "o1"}});
        CPPUNIT_ASSERT_EQUAL(0, lost.status);
        const auto again = post(address, "/send", {{"order", "o1"}});
        CPPUNIT_ASSERT_EQUAL(200, again.status);
        const auto orders = fetch(address, "/admin/orders").json();
        CPPUNIT_ASSERT_EQUAL(2, orders.at("orders").at("o1").get<int>());
    }

    // Guards against a freeze that closes the connection or affects new ones.
    void frozen_connection_stays_silent_while_new_ones_work()
    {
        const auto service = process::start_standin("service", {});
        const auto proxy = process::start_standin(
            "proxy", {"--listen", "127.0.0.1:0", "--target",
                         service->address("service")});
        const auto address = proxy->address("proxy-0");
        http_client kept(address);
        http_call call;
        call.target = "/status/a";
        call.time = milliseconds(1000);
        CPPUNIT_ASSERT_EQUAL(200, kept.send(call).status);
        CPPUNIT_ASSERT(kept.connected());
        post(proxy->address("admin"), "/admin/routes",
            {{"freeze_open", "both"}});
        CPPUNIT_ASSERT_EQUAL(0, kept.send(call).status);
        CPPUNIT_ASSERT_EQUAL(200, fetch(address, "/status/a").status);
        CPPUNIT_ASSERT(proxy->terminate());
        CPPUNIT_ASSERT_EQUAL(0, proxy->exit_code());
    }

    // Guards against a fault that strikes another route than the test meant.
    void deployment_applies_faults_to_one_route()
    {
        deployment_options options;
        options.daemons = 0;
        options.engines = 2;
        options.proxies = true;
        const auto system = deployment::start(options);
        system->fault_engine(1, {{"drop_new", true}});
        const std::string path = "/control/state";
        CPPUNIT_ASSERT_EQUAL(
            200, fetch(system->engine_route_address(0), path).status);
        CPPUNIT_ASSERT_EQUAL(
            0, fetch(system->engine_route_address(1), path).status);
        CPPUNIT_ASSERT_EQUAL(
            200, fetch(system->engine_address(1), path).status);
        CPPUNIT_ASSERT_EQUAL(
            200, fetch(system->service_route_address(0), path).status);
        system->fault_engine(1, {{"heal", true}});
        CPPUNIT_ASSERT_EQUAL(
            200, fetch(system->engine_route_address(1), path).status);
    }

private:
    static std::unique_ptr<api::Platform::Stub> stub_of(const process& server)
    {
        return api::Platform::NewStub(grpc::CreateChannel(
            server.address("platform"), grpc::InsecureChannelCredentials()));
    }

    static std::unique_ptr<process> start_engine(
        std::vector<std::string> arguments)
    {
        arguments.insert(
            arguments.end(), {"--model", "m:1:1000", "--token-ms", "2"});
        return process::start_standin("engine", arguments);
    }

    /// Used bytes and overcommits.
    static std::pair<int, int> memory_of(const std::string& address)
    {
        const auto state = fetch(address, "/control/state").json();
        return {state.at("used_bytes").get<int>(),
            state.at("overcommits").get<int>()};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(standins_test);

} // namespace
} // namespace tarragonquay::test_support
