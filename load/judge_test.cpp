#include <cppunit/extensions/HelperMacros.h>

#include "load/report.hpp"

namespace tarragonquay::load
{
namespace
{

/// A whole stream of two tokens.
incoming whole_stream()
{
    const std::string token = R"({"choices":[{"delta":{"content":"a"}}]})";
    const std::string last =
        R"({"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}})";
    const time_point now{};
    incoming answer;
    answer.status = 200;
    answer.connected = true;
    answer.complete = true;
    answer.events = {{now, "", "0", token}, {now, "", "1", token},
        {now, "", "2", last}, {now, "", "", "[DONE]"}};
    return answer;
}

std::string code_of(const incoming& answer)
{
    return judge_completion(answer, true, time_point{}).code;
}

class judge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(judge_test);
    CPPUNIT_TEST(whole_stream_is_complete);
    CPPUNIT_TEST(damaged_streams_are_not_complete);
    CPPUNIT_TEST(refusal_keeps_its_code_and_execution);
    CPPUNIT_TEST(order_that_ran_twice_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_stream_is_complete()
    {
        const auto one = judge_completion(whole_stream(), true, time_point{});
        CPPUNIT_ASSERT(one.complete);
        CPPUNIT_ASSERT_EQUAL(2, one.tokens);
    }

    // Guards against a truncated or altered answer that counts as complete.
    void damaged_streams_are_not_complete()
    {
        auto skipped = whole_stream();
        skipped.events.erase(skipped.events.begin() + 1);
        CPPUNIT_ASSERT_EQUAL(std::string("wrong_answer"), code_of(skipped));
        auto duplicated = whole_stream();
        duplicated.events.insert(
            duplicated.events.begin(), duplicated.events.front());
        CPPUNIT_ASSERT_EQUAL(std::string("wrong_answer"), code_of(duplicated));
        auto without_end = whole_stream();
        without_end.events.pop_back();
        CPPUNIT_ASSERT_EQUAL(
            std::string("incomplete_answer"), code_of(without_end));
        auto cut = whole_stream();
        cut.complete = false;
        CPPUNIT_ASSERT_EQUAL(std::string("incomplete_answer"), code_of(cut));
    }

    // Guards against refusals that are counted as failures.
    void refusal_keeps_its_code_and_execution()
    {
        incoming answer;
        answer.status = 429;
        answer.connected = answer.complete = true;
        answer.body =
            R"({"error":{"code":"rate_limited","execution":"not_run"}})";
        const auto one = judge_completion(answer, true, time_point{});
        CPPUNIT_ASSERT_EQUAL(std::string("rate_limited"), one.code);
        CPPUNIT_ASSERT(one.not_run);
    }

    // Guards against a duplicated order that goes unnoticed.
    void order_that_ran_twice_is_reported()
    {
        incoming answer;
        answer.status = 200;
        answer.connected = answer.complete = true;
        answer.body = R"({"order":"o","run":2})";
        CPPUNIT_ASSERT_EQUAL(std::string("duplicate_run"),
            judge_order(answer, "o", time_point{}).code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(judge_test);

} // namespace
} // namespace tarragonquay::load
