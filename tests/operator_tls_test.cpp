#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/certificates.hpp"
#include "support/http_client.hpp"
#include "support/process.hpp"

namespace tarragonquay::test_support
{
namespace
{

constexpr int failed = 1;
constexpr int wrong_usage = 2;
constexpr int no_answer = 5;

class temporary_folder
{
public:
    temporary_folder()
    {
        if (mkdtemp(path_.data()) == nullptr)
            throw std::runtime_error("cannot make a temporary folder");
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::string& path() const { return path_; }

private:
    std::string path_ =
        (std::filesystem::temp_directory_path() / "tq-tls-XXXXXX").string();
};

std::string text_of(const run_outcome& outcome)
{
    return fmt::format("exit code {}: {}{}", outcome.exit_code, outcome.output,
        outcome.errors);
}

void assert_error(const run_outcome& outcome, int exit_code,
    const std::string& code, const std::string& part)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        text_of(outcome), exit_code, outcome.exit_code);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(outcome), std::size_t(0),
        outcome.errors.find("tqctl: " + code + ": "));
    CPPUNIT_ASSERT_MESSAGE(
        text_of(outcome), outcome.errors.find(part) != std::string::npos);
}

class operator_tls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_tls_test);
    CPPUNIT_TEST(the_right_authority_is_accepted);
    CPPUNIT_TEST(an_untrusted_listener_gets_no_call);
    CPPUNIT_TEST(a_caller_without_tls_gets_no_answer);
    CPPUNIT_TEST(unusable_certificate_files_are_refused);
    CPPUNIT_TEST(broken_handshakes_leave_the_daemon_in_service);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        platform_ = process::start_standin("platform", {});
    }

    void tearDown() override
    {
        daemon_.reset();
        platform_.reset();
    }

    // Guards against a listener that can't be used with TLS at all.
    void the_right_authority_is_accepted()
    {
        start(authority_.issue("server"));
        assert_works();
        const auto put = tqctl({"workspace", "put", "w", "--rate", "1",
            "--burst", "1", "--ca-file", authority_.certificate_file()});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(put), 0, put.exit_code);
        const auto settings = folder_.path() + "/tqctl.yaml";
        std::ofstream(settings) << fmt::format("address: \"{}\"\nca_file: {}\n",
            daemon_->address("operator"), authority_.certificate_file());
        const auto shown = process::run(
            "tqctl", {"--settings", settings, "workspace", "list"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(shown), 0, shown.exit_code);
        CPPUNIT_ASSERT_MESSAGE(
            text_of(shown), shown.output.find('w') != std::string::npos);
    }

    // Guards against calls, with the secrets of new keys, to a listener that
    // does not prove its identity, and against an error that hides the cause.
    void an_untrusted_listener_gets_no_call()
    {
        const certificate_authority other(folder_.path(), "other");
        start(authority_.issue("server"));
        assert_untrusted(other.certificate_file());
        assert_works();
        const auto expired = authority_.issue("expired",
            {.from = std::chrono::hours(-2), .until = std::chrono::hours(-1)});
        start(expired);
        assert_untrusted(authority_.certificate_file());
        start(authority_.issue("elsewhere", {.ip = "127.0.0.9"}));
        assert_untrusted(authority_.certificate_file());
        assert_in_service();
    }

    // Guards against a listener that takes unencrypted calls beside TLS, and
    // against an error that does not name the missing option.
    void a_caller_without_tls_gets_no_answer()
    {
        start(authority_.issue("server"));
        assert_error(tqctl({"status", "--timeout", "1000"}), no_answer,
            "peer_unreachable", "--ca-file");
        assert_works();
        start_without_tls();
        assert_error(tqctl({"status", "--timeout", "1000", "--ca-file",
                         authority_.certificate_file()}),
            failed, "connect_failed", "TLS");
        assert_in_service();
    }

    // Guards against a start or a call without TLS when its files are bad.
    void unusable_certificate_files_are_refused()
    {
        const auto good = authority_.issue("server");
        const auto other = authority_.issue("other-server");
        const auto garbage = folder_.path() + "/garbage.pem";
        std::ofstream(garbage) << "not a certificate\n";
        for (const auto& files :
            {certificate_files{good.certificate, other.key},
                certificate_files{garbage, good.key},
                certificate_files{good.certificate, garbage}})
        {
            const auto refused = process::run(
                "tarragonquayd", {"--settings", write_settings(files)});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                text_of(refused), failed, refused.exit_code);
            CPPUNIT_ASSERT_MESSAGE(text_of(refused),
                refused.errors.find("invalid_settings") != std::string::npos);
        }
        start(good);
        for (const auto& file : {garbage, folder_.path() + "/absent.pem"})
            assert_error(tqctl({"status", "--ca-file", file}), wrong_usage,
                "invalid_settings", file);
    }

    // Guards against peers that hold the listener up without a handshake.
    void broken_handshakes_leave_the_daemon_in_service()
    {
        start(authority_.issue("server"));
        const auto before = daemon_->open_descriptors();
        http_call call;
        call.target = "/";
        call.time = milliseconds(200);
        constexpr int peers = 20;
        std::vector<std::unique_ptr<http_client>> clients;
        for (int i = 0; i < peers; ++i)
        {
            clients.push_back(
                std::make_unique<http_client>(daemon_->address("operator")));
            CPPUNIT_ASSERT_EQUAL(0, clients.back()->send(call).status);
        }
        assert_works();
        assert_in_service();
        CPPUNIT_ASSERT(
            eventually([&] { return daemon_->open_descriptors() <= before; },
                milliseconds(30'000)));
    }

private:
    void start(const certificate_files& files)
    {
        start_with(write_settings(files));
    }

    void start_without_tls() { start_with(write_settings({})); }

    void start_with(const std::string& settings)
    {
        daemon_.reset();
        daemon_ = process::start_bound(
            "i1", "tarragonquayd", {"--settings", settings});
        assert_in_service();
    }

    std::string write_settings(const certificate_files& files) const
    {
        auto path = folder_.path() + "/i1.yaml";
        std::ofstream file(path);
        file << "instance: i1\navailability_zone: z1\nregion: r1\n"
             << fmt::format("listen: {{entry: \"{}\", operator: \"{}\", "
                            "peer: \"{}\"}}\n",
                    loopback(free_port()), loopback(free_port()),
                    loopback(free_port()))
             << fmt::format("platform: {{address: \"{}\"}}\n",
                    platform_->address("platform"));
        if (!files.certificate.empty())
            file << fmt::format(
                "operator_tls: {{certificate_file: {}, key_file: {}}}\n",
                files.certificate, files.key);
        return path;
    }

    run_outcome tqctl(std::vector<std::string> arguments) const
    {
        arguments.insert(
            arguments.begin(), {"--address", daemon_->address("operator")});
        return process::run("tqctl", std::move(arguments));
    }

    void assert_works() const
    {
        const auto status =
            tqctl({"status", "--ca-file", authority_.certificate_file()});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text_of(status), 0, status.exit_code);
    }

    void assert_untrusted(const std::string& ca_file) const
    {
        assert_error(tqctl({"status", "--ca-file", ca_file}), failed,
            "connect_failed", "TLS");
        assert_in_service();
    }

    void assert_in_service() const
    {
        CPPUNIT_ASSERT(eventually(
            [&] {
                return fetch(daemon_->address("entry"), "/healthz").status ==
                       200;
            },
            milliseconds(20'000)));
    }

    temporary_folder folder_;
    certificate_authority authority_{folder_.path(), "authority"};
    std::unique_ptr<process> platform_;
    std::unique_ptr<process> daemon_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_tls_test);

} // namespace
} // namespace tarragonquay::test_support
