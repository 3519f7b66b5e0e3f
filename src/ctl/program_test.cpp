#include "ctl/program.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "common/digest.hpp"
#include "ctl/commands.hpp"
#include "operators/service.hpp"

namespace tarragonquay::ctl
{

/// Runs the tool against the real service with a scripted control port.
class program_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(program_test);
    CPPUNIT_TEST(a_key_sends_the_digest_of_the_printed_secret);
    CPPUNIT_TEST(a_lost_answer_is_repeated_with_the_same_operation_id);
    CPPUNIT_TEST(failures_set_the_exit_code_and_stderr);
    CPPUNIT_TEST(a_version_change_keeps_the_other_fields);
    CPPUNIT_TEST(routes_are_parsed_and_checked);
    CPPUNIT_TEST(the_command_line_precedes_environment_and_file);
    CPPUNIT_TEST(a_timeline_cursor_is_printed_and_passed_on);
    CPPUNIT_TEST(wrong_usage_exits_with_2);
    CPPUNIT_TEST(logs_are_explained_without_an_instance);
    CPPUNIT_TEST(logs_without_the_request_exit_with_1);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        operators::control_port port;
        port.apply =
            [this](const operators::Apply_request& request, const auto& on_done)
        {
            const std::scoped_lock lock(mutex_);
            requests_.push_back(request);
            if (unknown_outcomes_-- > 0)
            {
                operators::Apply_reply lost;
                *lost.mutable_failure() = operators::to_failure(
                    error(error_code::store_outcome_unknown, "lost"));
                return on_done(lost);
            }
            on_done(reply_);
        };
        port.describe =
            [](const operators::Describe_request&, const auto& on_done)
        {
            operators::Describe_reply reply;
            auto& model = *reply.mutable_snapshot()->add_models();
            model.set_id("m");
            model.set_version("1");
            model.set_bytes(99);
            (*reply.mutable_snapshot()->mutable_entity_revisions())["model/m"] =
                12;
            on_done(reply);
        };
        port.timeline = [this](const operators::Timeline_request& request,
                            const auto& on_done)
        {
            const std::scoped_lock lock(mutex_);
            timeline_request_ = request;
            operators::Timeline_reply reply;
            reply.set_cursor("i1-a.7");
            reply.set_dropped_events(2);
            on_done(reply);
        };
        auto made = operators::service::create({"127.0.0.1:0", "", ""}, port);
        CPPUNIT_ASSERT(made.has_value());
        service_ = std::move(*made);
        reply_.set_revision(5);
        reply_.set_in_force(true);
    }

    void a_key_sends_the_digest_of_the_printed_secret()
    {
        CPPUNIT_ASSERT_EQUAL(0, call({"key", "issue", "k", "--workspace", "w",
                                    "--output", "json"}));
        const auto secret =
            nlohmann::json::parse(out_.str()).at("secret").get<std::string>();
        CPPUNIT_ASSERT_EQUAL(sha256_hex(secret),
            requests_.at(0).change().put_key().secret_sha256());
        CPPUNIT_ASSERT(requests_.at(0).SerializeAsString().find(secret) ==
                       std::string::npos);
        CPPUNIT_ASSERT(*make_secret() != *make_secret());
    }

    // Guards against a change that a retry commits twice.
    void a_lost_answer_is_repeated_with_the_same_operation_id()
    {
        unknown_outcomes_ = 2;
        CPPUNIT_ASSERT_EQUAL(0, call({"key", "withdraw", "k"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), requests_.size());
        CPPUNIT_ASSERT(!requests_[0].operation_id().empty());
        CPPUNIT_ASSERT_EQUAL(
            requests_[0].operation_id(), requests_[2].operation_id());
    }

    void failures_set_the_exit_code_and_stderr()
    {
        reply_.set_in_force(false);
        reply_.add_missing_instances("i3");
        CPPUNIT_ASSERT_EQUAL(4, call({"model", "remove", "m"}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("tqctl: not_in_force: revision 5 is committed, but "
                        "not applied by: i3\n"),
            err_.str());
        *reply_.mutable_failure() = operators::to_failure(
            error(error_code::conflict, "model/m has changed"), 9);
        CPPUNIT_ASSERT_EQUAL(3, call({"model", "remove", "m"}));
        CPPUNIT_ASSERT_EQUAL(std::string("tqctl: conflict: model/m has changed "
                                         "(current revision 9)\n"),
            err_.str());
        *reply_.mutable_failure() =
            operators::to_failure(error(error_code::not_found, "no model"));
        CPPUNIT_ASSERT_EQUAL(1, call({"model", "remove", "m"}));
        unknown_outcomes_ = 100;
        CPPUNIT_ASSERT_EQUAL(
            5, call({"model", "remove", "m", "--timeout", "500"}));
        service_.reset();
        CPPUNIT_ASSERT_EQUAL(
            5, call({"model", "remove", "m", "--timeout", "300"}));
    }

    void a_version_change_keeps_the_other_fields()
    {
        CPPUNIT_ASSERT_EQUAL(0, call({"version", "model", "m", "2"}));
        const auto& request = requests_.at(0);
        CPPUNIT_ASSERT_EQUAL(
            std::string("2"), request.change().put_model().version());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(99), request.change().put_model().bytes());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), request.expected_revision());
    }

    void routes_are_parsed_and_checked()
    {
        CPPUNIT_ASSERT_EQUAL(
            0, call({"service", "put", "orders", "--route",
                   "/status:GET:idempotent:open", "--route",
                   "/send::not_idempotent", "--expected-revision", "0"}));
        const auto& routes = requests_.at(0).change().put_service().routes();
        CPPUNIT_ASSERT_EQUAL(2, routes.size());
        CPPUNIT_ASSERT(routes[0].open_to_all() && !routes[1].open_to_all());
        CPPUNIT_ASSERT_EQUAL(std::string("/send"), routes[1].path_prefix());
        CPPUNIT_ASSERT(routes[1].repeat() == config::Route::NOT_IDEMPOTENT);
        for (const auto* text :
            {"", "/a", "/a:GET", "/a:GET:maybe", "/a:GET:idempotent:closed"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_route(text));
    }

    void the_command_line_precedes_environment_and_file()
    {
        const std::string path = "tqctl_program_test.yaml";
        std::ofstream(path) << "address: file:1\nca_file: ca.pem\n";
        global_options given;
        given.settings_file = path;
        CPPUNIT_ASSERT_EQUAL(
            std::string("file:1"), resolve(given, nullptr)->address);
        CPPUNIT_ASSERT_EQUAL(
            std::string("env:1"), resolve(given, "env:1")->address);
        given.address = "line:1";
        CPPUNIT_ASSERT_EQUAL(
            std::string("line:1"), resolve(given, "env:1")->address);
        std::ofstream(path) << "address: file:1\nadress: typo\n";
        const auto refused = resolve(given, nullptr);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT_EQUAL(
            path + ":2: unknown key 'adress'", refused.error().message());
        std::remove(path.c_str());
    }

    // Guards against a truncated timeline that can't be continued, and against
    // dropped events that are not reported.
    void a_timeline_cursor_is_printed_and_passed_on()
    {
        CPPUNIT_ASSERT_EQUAL(0, call({"timeline", "--after", "i1-a.5"}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("i1-a.5"), timeline_request_.after_cursor());
        CPPUNIT_ASSERT(out_.str().find("cursor: i1-a.7") != std::string::npos);
        CPPUNIT_ASSERT(
            out_.str().find("no longer kept: 2 events") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, call({"timeline", "--output", "json"}));
        CPPUNIT_ASSERT_EQUAL(std::string("i1-a.7"),
            nlohmann::json::parse(out_.str()).at("cursor").get<std::string>());
        CPPUNIT_ASSERT(timeline_request_.after_cursor().empty());
    }

    void wrong_usage_exits_with_2()
    {
        // A cursor is valid for one instance only.
        CPPUNIT_ASSERT_EQUAL(
            2, call({"timeline", "--all", "--after", "i1-a.5"}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("tqctl: invalid_argument: --all excludes --after\n"),
            err_.str());
        CPPUNIT_ASSERT_EQUAL(2, call({"workspace", "put", "w"}));
        CPPUNIT_ASSERT_EQUAL(2, call({"frobnicate"}));
        CPPUNIT_ASSERT_EQUAL(2, call({"limit", "w"}));
        CPPUNIT_ASSERT_EQUAL(0, call({"key", "issue", "--help"}));
        CPPUNIT_ASSERT(requests_.empty());
    }

    // Guards against an explain command that needs a running instance.
    void logs_are_explained_without_an_instance()
    {
        service_.reset();
        const log_file log(
            "Started.\n"
            R"({"time_ms":1786429848415,"level":"info","instance":"g1",)"
            R"("event":"limit_reached","request_id":"r","cost":9506})"
            "\n"
            R"({"time_ms":1786429848416,"level":"info","instance":"g1",)"
            R"("event":"request_refused","request_id":"r",)"
            R"("reason":"rate_limited"})"
            "\n");
        CPPUNIT_ASSERT_EQUAL(0, call({"explain", "r", log.name}));
        for (const auto* part : {"*  2026-08-11T06:30:48.415Z  g1",
                 "outcome: rate_limited", "1 lines were no log lines"})
            CPPUNIT_ASSERT_MESSAGE(
                out_.str(), out_.str().find(part) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
            0, call({"explain", "r", log.name, "--output", "json"}));
        const auto report = nlohmann::json::parse(out_.str());
        CPPUNIT_ASSERT_EQUAL(0, report.at("cause").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), report.at("lines").size());
    }

    // Guards against scripts that take an empty report for a result.
    void logs_without_the_request_exit_with_1()
    {
        const log_file log("Started.\n");
        CPPUNIT_ASSERT_EQUAL(1, call({"explain", "r", log.name}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("tqctl: not_found: no line names the request r\n"),
            err_.str());
        CPPUNIT_ASSERT_EQUAL(1, call({"explain", "r", log.name + ".missing"}));
        CPPUNIT_ASSERT_EQUAL(2, call({"explain", "r"}));
    }

private:
    /// A temporary file that the destructor removes.
    struct log_file
    {
        explicit log_file(const std::string& text)
            : name(fmt::format("{}/tqctl-explain-{}.log",
                  std::filesystem::temp_directory_path().string(), ::getpid()))
        {
            std::ofstream(name) << text;
        }
        ~log_file() { std::filesystem::remove(name); }
        log_file(const log_file&) = delete;
        log_file& operator=(const log_file&) = delete;

        const std::string name;
    };

    int call(std::vector<std::string> arguments)
    {
        if (service_)
            address_ = fmt::format("127.0.0.1:{}", service_->port());
        arguments.insert(arguments.begin(), {"tqctl", "--address", address_});
        std::vector<const char*> raw;
        raw.reserve(arguments.size());
        for (const auto& argument : arguments)
            raw.push_back(argument.c_str());
        out_.str("");
        err_.str("");
        return static_cast<int>(
            run(static_cast<int>(raw.size()), raw.data(), out_, err_));
    }

    std::mutex mutex_;
    std::vector<operators::Apply_request> requests_;
    operators::Apply_reply reply_;
    operators::Timeline_request timeline_request_;
    int unknown_outcomes_ = 0;
    std::string address_;
    std::ostringstream out_;
    std::ostringstream err_;
    std::unique_ptr<operators::service> service_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_test);

} // namespace tarragonquay::ctl
