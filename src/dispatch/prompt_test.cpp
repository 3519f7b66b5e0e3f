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
    CPPUNIT_TEST(only_leading_parts_count_as_cached);
    CPPUNIT_TEST(adapters_do_not_share_prefixes);
    CPPUNIT_TEST(the_least_recently_used_prefix_is_evicted);
    CPPUNIT_TEST_SUITE_END();

public:
    void parts_are_parsed()
    {
        const auto parts = parse_prompt_parts("5c1e07a2:800,91bd3f06:410");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), parts->size());
        CPPUNIT_ASSERT(parts->front() == (prompt_part{0x5c1e07a2, 800}));
        CPPUNIT_ASSERT(parse_prompt_parts("")->empty());
    }

    // Guards against wrong predictions of the cache because of a malformed
    // field.
    void malformed_parts_are_refused()
    {
        for (const auto* text : {"xyz:1", "1", "1:", ":1", "1:-2", "1:2,,3:4"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_prompt_parts(text));
        std::string many;
        for (int i = 0; i < 100; ++i)
            many += "1:1,";
        CPPUNIT_ASSERT(!parse_prompt_parts(many + "1:1"));
    }

    // Guards against counting a part as cached when a part before it is not.
    void only_leading_parts_count_as_cached()
    {
        prompt_cache_view view;
        view.insert(make_prompt("a:100,b:50,c:10"), 1'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
            view.uncached_tokens(make_prompt("a:100,b:50,d:7")));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(57), view.uncached_tokens(make_prompt("e:7,b:50")));
    }

    // Guards against expecting a hit on the cache of another adapter.
    void adapters_do_not_share_prefixes()
    {
        prompt_cache_view view;
        view.insert(make_prompt("a:100,b:50", "a1"), 1'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(150),
            view.uncached_tokens(make_prompt("a:100,b:50", "a2")));
    }

    // Guards against unbounded growth, and against evicting a prefix that was
    // used recently.
    void the_least_recently_used_prefix_is_evicted()
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
