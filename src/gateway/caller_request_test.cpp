#include "gateway/caller_request.hpp"

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "peer.pb.h"

namespace tarragonquay::gateway
{
namespace
{

header_names make_names()
{
    header_names out;
    out.request_id = "Id";
    out.deadline_ms = "Wait";
    out.key = "Key";
    out.workspace = "Workspace";
    out.model = "Model";
    out.token_counts = "Counts";
    out.prompt_parts = "Parts";
    out.last_event = "Last";
    out.reserved = {"Urgency"};
    return out;
}

raw_request make_raw(std::vector<endpoints::header> headers)
{
    raw_request out;
    out.method = "POST";
    out.target = "/a/b?c=d";
    out.headers = std::move(headers);
    out.headers.push_back({"Id", "r1"});
    return out;
}

std::string names_of(const caller_request& request)
{
    std::string out;
    for (const auto& each : request.headers)
        out += each.name + ";";
    return out;
}

} // namespace

class caller_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_request_test);
    CPPUNIT_TEST(reserved_and_connection_fields_are_not_forwarded);
    CPPUNIT_TEST(a_prompt_is_decoded);
    CPPUNIT_TEST(unreadable_hints_do_not_fail_a_request);
    CPPUNIT_TEST(a_request_without_an_id_is_refused);
    CPPUNIT_TEST(a_wait_of_any_length_is_valid);
    CPPUNIT_TEST(a_model_that_is_not_a_name_is_refused);
    CPPUNIT_TEST(numbers_out_of_range_are_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against forwarding the key to an endpoint, and against callers
    // that set fields which are reserved for the gateway.
    void reserved_and_connection_fields_are_not_forwarded()
    {
        const auto request = parse_request(
            make_raw({{"key", "secret"}, {"WORKSPACE", "other"},
                {"Urgency", "0"}, {"Connection", "close, X-Hop"},
                {"X-Hop", "1"}, {"Transfer-Encoding", "chunked"}, {"Host", "h"},
                {"Accept", "*/*"}, {"Model", "m"}}),
            make_names(), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("Accept;Model;"), names_of(*request));
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request->key);
        CPPUNIT_ASSERT_EQUAL(std::string("h"), request->host);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), request->target);
    }

    void a_prompt_is_decoded()
    {
        const auto request = parse_request(
            make_raw({{"Model", "m/a1"}, {"Counts", "1460,80"},
                {"Parts", "a:800,b:660"}, {"Wait", "5000"}, {"Last", "12"}}),
            make_names(), now_);
        CPPUNIT_ASSERT(request->prompt->model == model_id("m"));
        CPPUNIT_ASSERT(request->prompt->adapter == adapter_id("a1"));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1460), request->prompt->prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1540), *request->tokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), request->prompt->parts.size());
        CPPUNIT_ASSERT(*request->deadline == now_ + std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), *request->last_event);
    }

    void unreadable_hints_do_not_fail_a_request()
    {
        const auto request = parse_request(
            make_raw({{"Model", "m"}, {"Counts", "x"}, {"Parts", "?"},
                {"Wait", "soon"}, {"Last", "-1"}}),
            make_names(), now_);
        CPPUNIT_ASSERT(request.has_value());
        CPPUNIT_ASSERT(!request->deadline);
        CPPUNIT_ASSERT(!request->last_event);
        CPPUNIT_ASSERT(request->prompt->parts.empty());
    }

    // Guards against answers that can't be matched to their requests.
    void a_request_without_an_id_is_refused()
    {
        CPPUNIT_ASSERT(
            !parse_request({"GET", "/", {}, ""}, make_names(), now_));
    }

    // Guards against a heartbeat that peers can't parse: it repeats the names
    // of the models that callers ask for.
    void a_model_that_is_not_a_name_is_refused()
    {
        for (const std::string& model :
            {std::string("\xff"), std::string("m/\xc3"), std::string("m/a\tb"),
                std::string(300, 'm')})
        {
            const auto request =
                parse_request(make_raw({{"Model", model}}), make_names(), now_);
            peer::Envelope envelope;
            if (request)
            {
                auto& demand =
                    *envelope.mutable_gateway_heartbeat()->add_model_demands();
                demand.set_model(request->prompt->model.str());
                demand.set_adapter(request->prompt->adapter.str());
            }
            peer::Envelope received;
            CPPUNIT_ASSERT_MESSAGE(
                model, received.ParseFromString(envelope.SerializeAsString()));
            CPPUNIT_ASSERT_MESSAGE(model, !request);
        }
    }

    // Guards against sums that overflow: the deadline of a caller that would
    // wait very long was in the past.
    void numbers_out_of_range_are_ignored()
    {
        const std::string largest = "9223372036854775807";
        const auto request = parse_request(
            make_raw({{"Model", "m"}, {"Counts", largest + "," + largest},
                {"Parts", "a:" + largest + ",b:" + largest}, {"Wait", largest},
                {"Last", largest}}),
            make_names(), now_);
        CPPUNIT_ASSERT(!request->deadline || *request->deadline > now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), request->tokens.value_or(0));
        CPPUNIT_ASSERT(request->prompt->parts.empty());
        CPPUNIT_ASSERT(!request->last_event);
    }

    // Guards against a deadline that overflows and lies in the past, so that
    // the request is refused at once.
    void a_wait_of_any_length_is_valid()
    {
        const time_point now = std::chrono::steady_clock::now();
        for (const auto* wait :
            {"9223372036854775807", "9223372036855000", "5000"})
        {
            const auto request =
                parse_request(make_raw({{"Wait", wait}}), make_names(), now);
            CPPUNIT_ASSERT_MESSAGE(
                wait, *request->deadline >= now + std::chrono::seconds(5));
        }
    }

private:
    const time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_request_test);

} // namespace tarragonquay::gateway
