#include "dispatch/prompt_cache_view.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::dispatch
{
namespace
{

prompt make_prompt(const std::string& parts, const std::string& adapter = {})
{
    prompt out;
    out.model = model_id("m");
    out.adapter = adapter_id(adapter);
    out.parts = parse_prompt_parts(parts).value();
    for (const auto& part : out.parts)
        out.prompt_tokens += part.tokens;
    return out;
}

} // namespace

class prompt_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_test);
    CPPUNIT_TEST(parts_are_parsed);
    CPPUNIT_TEST(malformed_parts_are_refused);
    CPPUNIT_TEST(only_a_leading_run_of_parts_is_kept);
    CPPUNIT_TEST(adapters_do_not_share_prefixes);
    CPPUNIT_TEST(the_least_recently_used_prefix_is_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void parts_are_parsed()
    {
        const auto parts = parse_prompt_parts("5c1e07a2:800,91bd3f06:410");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), parts->size());
        CPPUNIT_ASSERT(parts->front() == (prompt_part{0x5c1e07a2, 800}));
        CPPUNIT_ASSERT(parse_prompt_parts("")->empty());
    }

    // Guards against a wrong guess about the cache from a field that can't be
    // read.
    void malformed_parts_are_refused()
    {
        for (const auto* text : {"xyz:1", "1", "1:", ":1", "1:-2", "1:2,,3:4"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_prompt_parts(text));
        std::string many;
        for (int i = 0; i < 100; ++i)
            many += "1:1,";
        CPPUNIT_ASSERT(!parse_prompt_parts(many + "1:1"));
    }

    // Guards against counting a part as kept behind one that is not.
    void only_a_leading_run_of_parts_is_kept()
    {
        prompt_cache_view view;
        view.insert(make_prompt("a:100,b:50,c:10"), 1'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
            view.uncached_tokens(make_prompt("a:100,b:50,d:7")));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(57), view.uncached_tokens(make_prompt("e:7,b:50")));
    }

    // Guards against an expected hit on another adapter's cache.
    void adapters_do_not_share_prefixes()
    {
        prompt_cache_view view;
        view.insert(make_prompt("a:100,b:50", "a1"), 1'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(150),
            view.uncached_tokens(make_prompt("a:100,b:50", "a2")));
    }

    // Guards against a view that grows without bound, and against dropping
    // what is in use.
    void the_least_recently_used_prefix_is_dropped()
    {
        prompt_cache_view view;
        view.insert(make_prompt("a:100"), 250);
        view.insert(make_prompt("b:100"), 250);
        view.insert(make_prompt("a:100"), 250);
        view.insert(make_prompt("c:100"), 250);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1), view.uncached_tokens(make_prompt("a:100")));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(100), view.uncached_tokens(make_prompt("b:100")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_test);

} // namespace tarragonquay::dispatch
