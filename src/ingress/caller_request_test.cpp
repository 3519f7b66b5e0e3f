#include "ingress/caller_request.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "ingress/completion_request.hpp"
#include "ingress/http_status.hpp"
#include "ingress/routes.hpp"

namespace tarragonquay::ingress
{

namespace
{

result<caller_request> parse(
    std::string target, std::vector<header> headers, std::string body = {})
{
    return parse_request(
        {"POST", std::move(target), std::move(headers), std::move(body)}, "r",
        time_point(std::chrono::hours(1)), std::chrono::seconds(60));
}

bool forwards_key(const caller_request& request, const std::string& key)
{
    const auto has = [&key](const std::string& text)
    { return text.find(key) != std::string::npos; };
    bool found = has(request.raw_path) || has(request.query);
    for (const auto& field : forwarded_headers(request))
        found = found || has(field.value) || has(field.name);
    return found;
}

void assert_invalid(const tl::expected<completion_request, error>& actual,
    const std::string& body)
{
    CPPUNIT_ASSERT_MESSAGE(body, !actual.has_value());
    CPPUNIT_ASSERT(actual.error().code() == error_code::invalid_argument);
}

} // namespace

class caller_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_request_test);
    CPPUNIT_TEST(key_is_read_from_headers_and_query);
    CPPUNIT_TEST(different_keys_are_refused);
    CPPUNIT_TEST(key_in_forwarded_parts_is_refused);
    CPPUNIT_TEST(forwarded_parts_never_contain_the_key);
    CPPUNIT_TEST(ambiguous_paths_are_refused);
    CPPUNIT_TEST(reads_deadline_and_priority);
    CPPUNIT_TEST(reads_a_completion);
    CPPUNIT_TEST(malformed_completions_are_refused);
    CPPUNIT_TEST(nesting_is_limited);
    CPPUNIT_TEST(every_code_has_a_status);
    CPPUNIT_TEST(entries_of_the_zone_come_first);
    CPPUNIT_TEST_SUITE_END();

public:
    void key_is_read_from_headers_and_query()
    {
        for (const auto& request :
            {parse("/x", {{"Authorization", "bearer  secret "}}),
                parse("/x", {{"x-api-key", "secret"}}),
                parse("/x?a=1&api%5Fkey=sec%72et&b=2", {})})
        {
            CPPUNIT_ASSERT(request.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("secret"), request->key);
            CPPUNIT_ASSERT(!forwards_key(*request, "secret"));
        }
    }

    void different_keys_are_refused()
    {
        CPPUNIT_ASSERT(
            !parse("/x?api_key=a1", {{"X-Api-Key", "b2"}}).has_value());
    }

    // Guards against forwarding a key that the caller also put, possibly
    // escaped, into the path, the query or the body.
    void key_in_forwarded_parts_is_refused()
    {
        const std::vector<header> key{{"X-Api-Key", "secret"}};
        for (const auto* target :
            {"/a/secret", "/a/sec%72et", "/a?b=secret", "/a?b=sec%72et"})
            CPPUNIT_ASSERT_MESSAGE(target, !parse(target, key).has_value());
        for (const auto* body : {"my secret", R"({"a":"\u0073ecret"})",
                 R"({"a":"sec\u0072\u0065t"})", "a=1&b=sec%72et"})
            CPPUNIT_ASSERT_MESSAGE(body, !parse("/a", key, body).has_value());
        // An escaped backslash does not escape the character after it.
        CPPUNIT_ASSERT(parse("/a", key, R"({"a":"\\u0073ecret"})").has_value());
        CPPUNIT_ASSERT(parse("/a", key, R"({"a":"\u00")").has_value());
        CPPUNIT_ASSERT(parse("/a", key, "\\").has_value());
    }

    void forwarded_parts_never_contain_the_key()
    {
        CPPUNIT_ASSERT(rc::check("forwarded parts never contain the key",
            []
            {
                const auto name = *rc::gen::element<std::string>("Accept",
                    "Content-Type", "Cookie", "Authorization", "X-Other",
                    "Idempotency-Key", "Traceparent");
                const auto request = parse(
                    "/a", {{name, "normal"}, {"X-Api-Key", "s3cret"},
                              {"Accept", "text/s3cret"}, {name, "s3cret"}});
                RC_ASSERT(request.has_value());
                RC_ASSERT(!forwards_key(*request, "s3cret"));
            }));
    }

    // Guards against matching a route rule on a path that the endpoint would
    // interpret differently.
    void ambiguous_paths_are_refused()
    {
        for (const auto* path : {"/a/../b", "/a/%2e%2e/b", "/a//b", "/a%2Fb",
                 "/a/.", "a", "*", "/%zz", "/a%00", "/a\\b"})
            CPPUNIT_ASSERT_MESSAGE(path, !parse(path, {}).has_value());
    }

    void reads_deadline_and_priority()
    {
        const auto request =
            parse("/x", {{"X-Deadline-Ms", "250"}, {"X-Priority", "batch"}});
        CPPUNIT_ASSERT(request.has_value());
        CPPUNIT_ASSERT(request->deadline - request->received_at ==
                       std::chrono::milliseconds(250));
        CPPUNIT_ASSERT(request->priority == routing::priority::batch);
        CPPUNIT_ASSERT(!parse("/x", {{"X-Deadline-Ms", "-1"}}).has_value());
        CPPUNIT_ASSERT(!parse("/x", {{"X-Deadline-Ms", "1s"}}).has_value());
        CPPUNIT_ASSERT(!parse("/x", {{"X-Priority", "high"}}).has_value());
    }

    void reads_a_completion()
    {
        const auto body = parse_completion(
            R"({"model":"m","adapter":"a","max_tokens":7,"stream":true,
            "messages":[{"role":"user","content":"hello"}]})");
        CPPUNIT_ASSERT(body.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("m"), body->model.str());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, body->max_tokens);
        // The bytes of "user" and "hello", and the 16 tokens that are added for
        // each message.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4 + 5 + 16}, body->prompt_tokens);
    }

    void malformed_completions_are_refused()
    {
        const std::string messages =
            R"("messages":[{"role":"user","content":"x"}])";
        for (const auto& body :
            std::vector<std::string>{"", "[]", "{", R"({"model":"m"})",
                "{" + messages + "}", R"({"model":"",)" + messages + "}",
                R"({"model":"m","max_tokens":0,)" + messages + "}",
                R"({"model":"m","max_tokens":1.5,)" + messages + "}",
                R"({"model":"m","stream":1,)" + messages + "}",
                R"({"model":"m","other":1,)" + messages + "}",
                R"({"model":"m","messages":[]})",
                R"({"model":"m","messages":[{"role":"user"}]})",
                R"({"model":"m","messages":[{"role":1,"content":"x"}]})"})
            assert_invalid(parse_completion(body), body);
    }

    // Guards against exhausting the stack or the CPU on deeply nested bodies.
    void nesting_is_limited()
    {
        CPPUNIT_ASSERT(nesting_within(std::string(64, '['), 64));
        CPPUNIT_ASSERT(!nesting_within(std::string(65, '['), 64));
        CPPUNIT_ASSERT(nesting_within("\"[[[\\\"[[\"", 1));
        assert_invalid(parse_completion(std::string(100'000, '[')), "deep");
    }

    void every_code_has_a_status()
    {
        for (int i = 0; i <= static_cast<int>(error_code::internal); ++i)
        {
            const auto code = static_cast<error_code>(i);
            const auto status = http_status(code);
            CPPUNIT_ASSERT(status >= 400 && status < 600);
            if (status == 500)
                CPPUNIT_ASSERT(code == error_code::internal ||
                               code == error_code::invalid_settings);
        }
    }

    void entries_of_the_zone_come_first()
    {
        std::vector<entry_address> entries{
            {"1:1", "b"}, {"2:1", "a"}, {"3:1", "b"}, {"4:1", "a"}};
        auto reordered = entries;
        std::swap(reordered[0], reordered[3]);
        order_entries(entries, "acme", "b");
        order_entries(reordered, "acme", "b");
        CPPUNIT_ASSERT(entries == reordered);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), entries[1].availability_zone);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), entries[2].availability_zone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_request_test);

} // namespace tarragonquay::ingress
