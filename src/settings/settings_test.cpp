#include "settings/settings.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay::settings
{

namespace
{

const std::string minimal = R"(instance: i1
availability_zone: z1
region: r1
listen: {entry: "127.0.0.1:7001", operator: "127.0.0.1:7101", peer: "127.0.0.1:7201"}
platform: {address: "127.0.0.1:7300"}
)";

} // namespace

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(minimal_file_takes_the_defaults);
    CPPUNIT_TEST(unknown_key_is_refused_with_line_and_key);
    CPPUNIT_TEST(wrong_type_is_refused);
    CPPUNIT_TEST(value_out_of_range_is_refused);
    CPPUNIT_TEST(contradicting_intervals_are_refused);
    CPPUNIT_TEST(missing_key_is_refused);
    CPPUNIT_TEST(address_without_port_is_refused);
    CPPUNIT_TEST(all_failures_are_reported_together);
    CPPUNIT_TEST(corrupted_text_never_throws);
    CPPUNIT_TEST_SUITE_END();

    static void assert_refused(
        const std::string& text, const std::string& expected)
    {
        const auto parsed = parse(text, "f.yaml");
        CPPUNIT_ASSERT_MESSAGE("accepted: " + text, !parsed);
        CPPUNIT_ASSERT(parsed.error().code() == error_code::invalid_settings);
        CPPUNIT_ASSERT_MESSAGE(
            "expected '" + expected + "' in: " + parsed.error().message(),
            parsed.error().message().find(expected) != std::string::npos);
    }

public:
    void minimal_file_takes_the_defaults()
    {
        const auto parsed = parse(minimal, "f.yaml");
        CPPUNIT_ASSERT_MESSAGE(
            parsed ? "" : parsed.error().message(), parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(
            std::string("127.0.0.1:7201"), parsed->advertise.peer);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5'000), parsed->view_lease_ms);
    }

    // Guards against a misspelt key that silently keeps its default.
    void unknown_key_is_refused_with_line_and_key()
    {
        assert_refused(minimal + "trafic_threads: 3\n",
            "f.yaml:6: trafic_threads: unknown key");
    }

    void wrong_type_is_refused()
    {
        assert_refused(minimal + "traffic_threads: many\n",
            "f.yaml:6: traffic_threads: expected a whole number");
        assert_refused(minimal + "log: loud\n", "log: expected a mapping");
    }

    void value_out_of_range_is_refused()
    {
        assert_refused(minimal + "traffic_threads: 0\n",
            "traffic_threads: expected 1 to 256, found 0");
    }

    void contradicting_intervals_are_refused()
    {
        assert_refused(
            minimal + "head_poll_ms: 4000\n", "head_poll_ms: must be at most");
    }

    void missing_key_is_refused()
    {
        assert_refused("instance: i1\n", "platform: missing");
    }

    void address_without_port_is_refused()
    {
        assert_refused(minimal + "peers: [\"127.0.0.1\"]\n",
            "peers: '127.0.0.1' is not an ip:port");
    }

    void all_failures_are_reported_together()
    {
        const auto text = minimal + "stop_ms: -1\nevents_kept: 1\n";
        assert_refused(text, "stop_ms");
        assert_refused(text, "events_kept");
    }

    // Guards against a crash on a corrupted file: one arbitrary byte is
    // changed.
    void corrupted_text_never_throws()
    {
        const bool held = rc::check("damaged settings",
            []
            {
                auto text = minimal;
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                text[at] = *rc::gen::arbitrary<char>();
                const auto parsed = parse(text, "f.yaml");
                RC_ASSERT(parsed || parsed.error().code() ==
                                        error_code::invalid_settings);
            });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace tarragonquay::settings
