#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "support/callers.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

class answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answers_test);
    CPPUNIT_TEST(faulty_engine_answers_are_mended_or_refused);
    CPPUNIT_TEST(answers_crossed_once_are_refused_or_the_callers_own);
    CPPUNIT_TEST(broken_and_silent_streams_resume_byte_for_byte);
    CPPUNIT_TEST(lost_streams_end_with_an_error_event);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer that is passed on as whole although an engine
    // crossed, cut, stalled, repeated or skipped a part of it.
    void faulty_engine_answers_are_mended_or_refused()
    {
        const auto fleet = start_configured(options());
        // More than any number of tries.
        constexpr int always = 1'000'000;
        struct engine_fault
        {
            std::string name;
            int at_event;
            int count = 1;
            // Answers that are crossed at all engines, whenever they are
            // tried, can only be refused. A fault that is used up by one try
            // leaves the next try's answer good.
            bool mended = true;
        };
        const std::vector<engine_fault> faults = {
            {"crossed_answers", 0, always, false}, {"cut_streams", 0},
            {"cut_streams", 3}, {"stall_streams", 3}, {"duplicate_events", 3},
            {"skip_events", 3}};
        for (const auto& [name, at_event, count, mended] : faults)
            for (const bool stream : {true, false})
            {
                set_engine_faults(fleet, {{name, count}}, at_event);
                completion_call call;
                call.stream = stream;
                const auto reply = complete(fleet->entry(0), fleet.key1, call);
                const auto what = name + " at " + std::to_string(at_event) +
                                  ": " + describe(reply);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what, mended, claims_whole(reply));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what,
                    mended ? call.expected_text() : std::string(),
                    text_of(reply));
                set_engine_faults(fleet, {{name, 0}}, 0);
            }
    }

    // Guards against a foreign answer that is delivered while a repeated try
    // may bring the caller's own.
    void answers_crossed_once_are_refused_or_the_callers_own()
    {
        const auto fleet = start_configured(options());
        for (const bool stream : {true, false})
        {
            set_engine_faults(fleet, {{"crossed_answers", 1}}, 0);
            completion_call call;
            call.stream = stream;
            const auto reply = complete(fleet->entry(0), fleet.key1, call);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(reply),
                claims_whole(reply) ? call.expected_text() : std::string(),
                text_of(reply));
            set_engine_faults(fleet, {{"crossed_answers", 0}}, 0);
        }
    }

    // Guards against a resumption that loses, repeats or changes events.
    void broken_and_silent_streams_resume_byte_for_byte()
    {
        const auto fleet = start_configured(options());
        completion_call call;
        call.max_tokens = 30;
        const auto plain = complete(fleet->entry(0), fleet.key1, call);
        CPPUNIT_ASSERT_MESSAGE(describe(plain), claims_whole(plain));
        const std::vector<json> faults = {{{"cut_all", true}},
            {{"freeze_open", "down"}}, {{"freeze_open", "both"}}};
        for (const auto& fault : faults)
        {
            auto request = call.request(fleet.key1);
            request.on_event = [&](const sse_event& event)
            {
                // Twice, so that a resumed stream breaks as well.
                if (event.id == "3" || event.id == "12")
                    fault_engines(fleet, fault);
                return true;
            };
            const auto reply = send_once(fleet->entry(0), request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.dump(), plain.body, reply.body);
            CPPUNIT_ASSERT_MESSAGE(fault.dump(), claims_whole(reply));
        }
    }

    // Guards against a stream that is silently truncated when its engine has
    // lost it or can't be reached any more.
    void lost_streams_end_with_an_error_event()
    {
        const auto fleet = start_configured(options());
        const std::vector<std::function<void()>> losses = {[&]
            {
                for (std::size_t i = 0; i < 2; ++i)
                    post(fleet->engine_address(i), "/admin/restart", {});
            },
            [&] {
                fault_engines(fleet, {{"freeze_new", true}});
            }};
        for (const auto& lose : losses)
        {
            completion_call call;
            call.max_tokens = 60;
            CPPUNIT_ASSERT(eventually([&]
                { return claims_whole(complete(fleet->entry(0), fleet.key1)); },
                milliseconds(20'000)));
            auto request = call.request(fleet.key1);
            request.on_event = [&](const sse_event& event)
            {
                if (event.id == "3")
                    lose();
                return true;
            };
            const auto reply = send_once(fleet->entry(0), request);
            CPPUNIT_ASSERT_MESSAGE(
                describe(reply), ends_with_error_event(reply));
            CPPUNIT_ASSERT(!claims_whole(reply));
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(0), call.expected_text().find(text_of(reply)));
        }
    }

private:
    static deployment_options options()
    {
        deployment_options options;
        options.daemons = 2;
        options.proxies = true;
        options.engine_arguments = {"--token-ms", "20"};
        return options;
    }

    static void set_engine_faults(
        const configured_system& fleet, json fault, int at_event)
    {
        fault["at_event"] = at_event;
        for (std::size_t i = 0; i < 2; ++i)
            post(fleet->engine_address(i), "/admin/faults", fault);
    }

    static void fault_engines(const configured_system& fleet, const json& fault)
    {
        for (std::size_t i = 0; i < 2; ++i)
            fleet->fault_engine(i, fault);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answers_test);

} // namespace
} // namespace tarragonquay::test_support
