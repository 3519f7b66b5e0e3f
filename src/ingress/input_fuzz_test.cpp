#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "ingress/caller_request.hpp"
#include "ingress/completion_request.hpp"
#include "support/mutation.hpp"

namespace tarragonquay::ingress
{

class input_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(input_fuzz_test);
    CPPUNIT_TEST(mutated_completions_are_rejected_or_valid);
    CPPUNIT_TEST(mutated_requests_are_rejected_or_hide_the_key);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;

public:
    // Guards against an exception, or an accepted request that lacks a part
    // that the engine needs.
    void mutated_completions_are_rejected_or_valid()
    {
        const std::string valid_body =
            R"({"model":"m","adapter":"a","max_tokens":10,"stream":true,)"
            R"("messages":[{"role":"user","content":"a \u00e9 verse"}]})";
        test_support::mutator random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto body = random.damage(valid_body);
            const auto parsed = parse_completion(body);
            if (!parsed)
            {
                CPPUNIT_ASSERT_MESSAGE(body,
                    parsed.error().code() == error_code::invalid_argument);
                continue;
            }
            ++accepted;
            CPPUNIT_ASSERT_MESSAGE(body, !parsed->model.empty());
            CPPUNIT_ASSERT_MESSAGE(body, parsed->max_tokens >= 1);
            CPPUNIT_ASSERT_MESSAGE(body, parsed->prompt_tokens >= 16);
            const auto forwarded = nlohmann::json::parse(
                engine_body(*parsed, routing::priority::normal));
            CPPUNIT_ASSERT_MESSAGE(body, !forwarded.at("messages").empty());
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

    // Guards against an exception, or forwarding the key to an endpoint.
    void mutated_requests_are_rejected_or_hide_the_key()
    {
        test_support::mutator random(seed);
        const std::string key = "k3y";
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            raw_request raw;
            raw.method = "POST";
            raw.target = random.damage("/services/a%20b/x?p=1&q=%41");
            raw.body = random.damage(R"({"order":"k\u0033y","n":[1,2]})");
            raw.headers = {{"X-Api-Key", key},
                {"Content-Type", random.damage("text/k%33y")},
                {"X-Deadline-Ms", sometimes_mutated(random, "1000")},
                {"Idempotency-Key", "o"}};
            const auto parsed = parse_request(std::move(raw), "r",
                time_point(std::chrono::hours(1)), std::chrono::seconds(60));
            if (!parsed)
            {
                CPPUNIT_ASSERT(
                    parsed.error().code() == error_code::invalid_argument);
                continue;
            }
            ++accepted;
            CPPUNIT_ASSERT_EQUAL(key, parsed->key);
            CPPUNIT_ASSERT(parsed->deadline > parsed->received_at);
            auto forwarded = parsed->raw_path + parsed->query + parsed->body;
            for (const auto& field : forwarded_headers(*parsed))
                forwarded += "\n" + field.value;
            for (const std::string hidden : {"k3y", "k%33y", "k\\u0033y"})
                CPPUNIT_ASSERT_MESSAGE(
                    forwarded, forwarded.find(hidden) == std::string::npos);
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

private:
    // Mutates only one in four values, so that most requests get past this
    // field.
    static std::string sometimes_mutated(
        test_support::mutator& random, const std::string& text)
    {
        return random.below(4) == 0 ? random.damage(text) : text;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(input_fuzz_test);

} // namespace tarragonquay::ingress
