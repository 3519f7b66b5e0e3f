#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/util/message_differencer.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <future>
#include <thread>

#include "operator.grpc.pb.h"
#include "support/deployment.hpp"

namespace tarragonquay::test_support
{
namespace
{

namespace api = tarragonquay::operators;

std::vector<std::string> put_workspace(const std::string& id)
{
    return {"workspace", "put", id, "--rate", "10", "--burst", "20"};
}

std::vector<std::string> create_workspace(const std::string& id)
{
    auto arguments = put_workspace(id);
    arguments.insert(arguments.begin(), {"--expected-revision", "0"});
    return arguments;
}

std::string text_of(const run_outcome& outcome)
{
    return "exit code " + std::to_string(outcome.exit_code) + ": " +
           outcome.output + outcome.errors;
}

class operator_client
{
public:
    explicit operator_client(const std::string& address)
        : stub_(api::Operator::NewStub(
              grpc::CreateChannel(address, grpc::InsecureChannelCredentials())))
    {
    }

    api::Apply_reply put(const std::string& workspace, std::int64_t rate,
        const std::string& operation, std::int64_t expected = -1)
    {
        api::Apply_request request;
        auto& value = *request.mutable_change()->mutable_put_workspace();
        value.set_id(workspace);
        value.set_rate_tokens_per_second(rate);
        value.set_burst_tokens(rate);
        request.set_operation_id(operation);
        request.set_expected_revision(expected);
        api::Apply_reply reply;
        grpc::ClientContext context;
        const auto status = stub_->Apply(&context, request, &reply);
        CPPUNIT_ASSERT_MESSAGE(status.error_message(), status.ok());
        return reply;
    }

    config::Snapshot describe()
    {
        api::Describe_reply reply;
        grpc::ClientContext context;
        stub_->Describe(&context, {}, &reply);
        return reply.snapshot();
    }

private:
    std::unique_ptr<api::Operator::Stub> stub_;
};

/// Reads the revision of every instance until it is destroyed, and counts how
/// often one that holds a lease showed less than before.
class revision_watch
{
public:
    explicit revision_watch(const deployment& system)
        : thread_([this, &system] { run(system); })
    {
    }
    ~revision_watch() { stop(); }
    revision_watch(const revision_watch&) = delete;
    revision_watch& operator=(const revision_watch&) = delete;

    int stop()
    {
        stopped_ = true;
        if (thread_.joinable())
            thread_.join();
        return falls_;
    }

private:
    void run(const deployment& system)
    {
        std::vector<std::int64_t> highest(system.daemons());
        while (!stopped_)
        {
            for (std::size_t i = 0; i < highest.size(); ++i)
            {
                const auto health = fetch(system.entry(i), "/healthz");
                if (health.status != 200)
                    continue;
                const auto seen =
                    health.json().at("revision").get<std::int64_t>();
                falls_ += seen < highest[i] ? 1 : 0;
                highest[i] = std::max(highest[i], seen);
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<int> falls_ = 0;
    std::thread thread_;
};

class configuration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(revisions_never_go_down);
    CPPUNIT_TEST(racing_and_repeated_changes_take_effect_once);
    CPPUNIT_TEST(change_without_a_majority_is_not_reported_in_force);
    CPPUNIT_TEST(new_instance_has_everything_after_many_changes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that reverts to an older configuration.
    void revisions_never_go_down()
    {
        const auto system = start();
        revision_watch watch(*system);
        int sequence = 0;
        const auto change = [&] {
            return system->tqctl(
                0, put_workspace("w" + std::to_string(++sequence)));
        };
        const auto works = [&] { return change().exit_code == 0; };
        for (const std::size_t victim : {1, 2})
        {
            CPPUNIT_ASSERT(eventually(works));
            system->daemon(victim).kill();
            CPPUNIT_ASSERT(eventually(works, milliseconds(20'000)));
            system->platform_mode({{"mode", "down"}});
            system->start_daemon(victim);
            CPPUNIT_ASSERT(system->wait_healthy(victim));
            const auto refused = change();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                text_of(refused), 1, refused.exit_code);
            system->platform_mode({{"mode", "up"}});
            CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        }
        CPPUNIT_ASSERT_EQUAL(0, watch.stop());
    }

    // Guards against two winners, a lost change and a change that is applied
    // twice.
    void racing_and_repeated_changes_take_effect_once()
    {
        const auto system = start();
        for (int round = 0; round < 5; ++round)
        {
            const auto id = "r" + std::to_string(round);
            const auto race = [&](std::size_t i)
            { return system->tqctl(i, create_workspace(id)); };
            auto other = std::async(std::launch::async, race, 1);
            const auto one = race(0), two = other.get();
            const auto& loser = one.exit_code == 0 ? two : one;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                text_of(one) + text_of(two), 3, one.exit_code + two.exit_code);
            CPPUNIT_ASSERT_MESSAGE(text_of(loser),
                loser.errors.find("conflict") != std::string::npos &&
                    loser.errors.find("(current revision ") !=
                        std::string::npos);
        }

        system->platform_mode({{"mode", "answer_lost"}, {"count", 1}});
        const auto lost = system->tqctl(0, create_workspace("lost"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(lost), 0, lost.exit_code);
        operator_client first(system->operator_address(0));
        operator_client second(system->operator_address(1));
        CPPUNIT_ASSERT_EQUAL(nlohmann::json::parse(lost.output)
                                 .at("revision")
                                 .get<std::string>(),
            std::to_string(
                first.describe().entity_revisions().at("workspace/lost")));

        const auto once = first.put("repeated", 10, "op-repeated", 0);
        CPPUNIT_ASSERT_EQUAL(std::string(), once.failure().code());
        first.put("repeated", 20, "op-other");
        const auto again = second.put("repeated", 10, "op-repeated", 0);
        CPPUNIT_ASSERT_EQUAL(once.revision(), again.revision());
        const auto whole = first.describe();
        for (const auto& workspace : whole.workspaces())
            CPPUNIT_ASSERT(workspace.id() != "repeated" ||
                           workspace.rate_tokens_per_second() == 20);
    }

    // Guards against a change that is reported as in force although members
    // can still serve without it.
    void change_without_a_majority_is_not_reported_in_force()
    {
        const auto system = start(true);
        const nlohmann::json cut = {{"drop_new", true}, {"cut_all", true}};
        system->fault_store(2, cut);
        system->fault_peer(2, cut);
        const auto by_two = system->tqctl(0, put_workspace("two"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(by_two), 0, by_two.exit_code);
        CPPUNIT_ASSERT(missing(by_two) == std::vector<std::string>{"i3"});
        system->fault_store(1, cut);
        system->fault_peer(1, cut);
        const auto by_one = system->tqctl(0, put_workspace("one"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(by_one), 4, by_one.exit_code);
        CPPUNIT_ASSERT(
            (missing(by_one) == std::vector<std::string>{"i2", "i3"}));
        CPPUNIT_ASSERT_EQUAL(2, system->tqctl(0, {"workspace"}).exit_code);
        const auto unanswered = process::run("tqctl",
            {"--address", loopback(free_port()), "--timeout", "1000", "drain"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            text_of(unanswered), 5, unanswered.exit_code);
    }

    // Guards against an instance that can't start once log rows are erased,
    // and against rows of operations that stay for ever.
    void new_instance_has_everything_after_many_changes()
    {
        const auto system = start();
        system->daemon(2).kill();
        operator_client client(system->operator_address(0));
        constexpr int changes = 620;
        for (int i = 0; i < changes; ++i)
        {
            const auto reply = client.put(
                "w" + std::to_string(i % 50), i + 1, "op" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(std::string(), reply.failure().code());
        }
        const auto operations =
            fetch(system->platform_admin(), "/admin/rows?prefix=config/op/")
                .json();
        CPPUNIT_ASSERT(operations.at("rows").size() < changes);
        system->start_daemon(2);
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        const auto whole = client.describe();
        operator_client started(system->operator_address(2));
        CPPUNIT_ASSERT_EQUAL(50, whole.workspaces_size());
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                return google::protobuf::util::MessageDifferencer::Equals(
                    started.describe(), client.describe());
            }));
    }

private:
    static std::unique_ptr<deployment> start(bool proxies = false)
    {
        deployment_options options;
        options.engines = options.services = 0;
        options.proxies = proxies;
        auto system = deployment::start(options);
        CPPUNIT_ASSERT(system->wait_epoch_open({0, 1, 2}));
        return system;
    }

    static std::vector<std::string> missing(const run_outcome& outcome)
    {
        return nlohmann::json::parse(outcome.output)
            .value("missing_instances", std::vector<std::string>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

} // namespace
} // namespace tarragonquay::test_support
