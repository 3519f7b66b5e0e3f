#include <cppunit/extensions/HelperMacros.h>

#include "endpoints/endpoint_state.hpp"
#include "endpoints/sse_parser.hpp"
#include "support/mutation.hpp"

namespace tarragonquay::endpoints
{

namespace
{

// Feeds the parser parts of random length. Returns nothing when it fails.
std::optional<std::vector<sse_event>> parse_in_parts(std::string_view text,
    std::size_t max_part_size, test_support::mutator& random)
{
    sse_parser parser;
    std::vector<sse_event> events;
    while (!text.empty())
    {
        const auto size =
            std::min(text.size(), 1 + random.below(max_part_size));
        if (!parser.feed(text.substr(0, size)))
            return std::nullopt;
        text.remove_prefix(size);
        while (auto event = parser.pop())
            events.push_back(std::move(*event));
    }
    return events;
}

} // namespace

class input_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(input_fuzz_test);
    CPPUNIT_TEST(mutated_states_are_rejected_or_in_range);
    CPPUNIT_TEST(deeply_nested_state_is_rejected);
    CPPUNIT_TEST(events_do_not_depend_on_how_the_input_is_split);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;

    static result<routing::endpoint_report> decode(const std::string& text)
    {
        return decode_endpoint_state(endpoint_id("e"), text, time_point());
    }

public:
    // Guards against an exception, and against a report with negative values,
    // which would break the memory accounting.
    void mutated_states_are_rejected_or_in_range()
    {
        const std::string valid =
            R"({"incarnation":"i","capacity_bytes":9,"used_bytes":1,)"
            R"("overcommits":0,"running":1,"waiting":2,"leaving":false,)"
            R"("highest_fencing":7,"reported_unix_ms":5,"residents":[{)"
            R"("model":"m","version":"1","bytes":1,"state":"ready"}],)"
            R"("adapters":[{"adapter":"a","model":"m"},)"
            R"({"adapter":"b","model":"m","version":"1"}],)"
            R"("commands":[{"command_id":"c","outcome":"done"}]})";
        test_support::mutator random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto text = random.damage(valid);
            const auto report = decode(text);
            if (!report)
            {
                CPPUNIT_ASSERT_MESSAGE(text,
                    report.error().code() == error_code::malformed_message);
                continue;
            }
            ++accepted;
            CPPUNIT_ASSERT_MESSAGE(text, report->capacity_bytes >= 0);
            CPPUNIT_ASSERT_MESSAGE(text, report->used_bytes >= 0);
            CPPUNIT_ASSERT_MESSAGE(text, report->running >= 0);
            for (const auto& resident : report->models)
                CPPUNIT_ASSERT_MESSAGE(text, resident.bytes >= 0);
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

    // Guards against a stack overflow in a parser or destructor that recurses
    // once per level.
    void deeply_nested_state_is_rejected()
    {
        constexpr std::size_t levels = 1'000'000;
        CPPUNIT_ASSERT(!decode(std::string(levels, '[')));
        CPPUNIT_ASSERT(!decode("{\"x\":" + std::string(levels, '[') +
                               std::string(levels, ']') + "}"));
    }

    // Guards against events that are lost or changed at the boundary of two
    // reads.
    void events_do_not_depend_on_how_the_input_is_split()
    {
        const std::string valid =
            "id: 0\ndata: {\"choices\":[]}\n\n: note\nevent: error\r\n"
            "data: a\ndata: b\n\nid\ndata: [DONE]\n\n";
        test_support::mutator random(seed);
        for (int i = 0; i < cases; ++i)
        {
            const auto text = random.damage(valid);
            const auto expected = parse_in_parts(text, text.size() + 1, random);
            const auto actual = parse_in_parts(text, 5, random);
            CPPUNIT_ASSERT_MESSAGE(text, expected == actual);
        }
        const std::string oversized(sse_parser::max_event_bytes + 1, 'x');
        CPPUNIT_ASSERT(!parse_in_parts(oversized, 5000, random));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(input_fuzz_test);

} // namespace tarragonquay::endpoints
