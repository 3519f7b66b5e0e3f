#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "support/callers.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

class isolation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(isolation_test);
    CPPUNIT_TEST(crossed_answers_stay_in_their_workspace);
    CPPUNIT_TEST(no_endpoint_sees_a_key);
    CPPUNIT_TEST(a_caller_that_disconnects_cancels_its_stream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against text of one workspace in an answer to another.
    void crossed_answers_stay_in_their_workspace()
    {
        const auto fleet = start_configured(options());
        std::atomic<bool> running{true};
        std::mutex mutex;
        std::string failure;
        std::atomic<int> whole{0};
        const auto caller = [&](const std::string& key, std::string prompt)
        {
            for (int i = 0; running; ++i)
            {
                completion_call call;
                call.prompt = prompt + std::to_string(i);
                call.stream = i % 2 == 0;
                const auto reply = complete(fleet->entry(i % 2), key, call);
                const auto text = text_of(reply);
                whole += claims_whole(reply) ? 1 : 0;
                const bool own = claims_whole(reply)
                                     ? text == call.expected_text()
                                     : call.expected_text().find(text) == 0;
                const std::lock_guard lock(mutex);
                if (!own)
                    failure = call.prompt + ": " + describe(reply);
            }
        };
        std::vector<std::thread> threads;
        for (int i = 0; i < 3; ++i)
        {
            threads.emplace_back(caller, fleet.key1, "first ");
            threads.emplace_back(caller, fleet.key2, "second ");
        }
        for (int round = 0; round < 8; ++round)
        {
            set_engine_faults(fleet, {{"crossed_answers", 1}}, 2);
            set_engine_faults(fleet, {{"cut_streams", 2}}, 2);
            std::this_thread::sleep_for(milliseconds(500));
        }
        running = false;
        for (auto& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
        CPPUNIT_ASSERT_GREATER(20, whole.load());
    }

    // Guards against a key that is passed on in a header, in the target or in
    // the body, however it is spelled.
    void no_endpoint_sees_a_key()
    {
        const auto fleet = start_configured(options());
        const auto& key = fleet.key1;
        std::string escaped;
        for (const char c : key)
            escaped += json_escaped(c);
        std::string percent;
        for (const char c : key)
            percent += percent_encoded(c);
        const std::vector<std::map<std::string, std::string>> spellings = {
            {{"Authorization", "Bearer " + key}},
            {{"aUTHORIZATION", "bEARER   " + key + " "}}, {{"x-API-key", key}},
            {{"X-Api-Key", key}, {"Authorization", "Bearer " + key}},
            {{"X-Api-Key", key}, {"Traceparent", "00-" + key}},
            {{"X-Api-Key", key}, {"Content-Language", key}},
            {{"X-Api-Key", key}, {"X_Api_Key", key}, {"Cookie", key}},
            {{"X-Api-Key", key}, {"Proxy-Authorization", "Bearer " + key}},
            {{"X-Api-Key", key}, {"If-Match", "\"" + key + "\""}}};
        std::vector<http_call> calls;
        for (const auto& headers : spellings)
        {
            calls.push_back(completion_call().request(key));
            calls.push_back(order_request(key, "o"));
            for (auto* call : {&calls[calls.size() - 2], &calls.back()})
            {
                call->headers.erase("Authorization");
                call->headers.insert(headers.begin(), headers.end());
            }
        }
        const std::vector<std::string> targets = {"?api_key=" + key,
            "?API_key=" + percent + "&x=1", "?x=1&%61pi_key=" + key,
            "?api_key=" + key + "&note=" + percent, "/" + key, "/" + percent};
        for (const auto& target : targets)
        {
            calls.push_back(order_request(key, "o"));
            calls.back().target += target;
        }
        for (const auto& spelled : {key, escaped})
        {
            calls.push_back(order_request(key, "o"));
            calls.back().body = R"({"order": "o", "note": ")" + spelled + "\"}";
            calls.push_back(completion_call().request(key));
            calls.back().body =
                R"({"model": "m", "messages": [{"role": "user", "content": ")" +
                spelled + "\"}]}";
        }
        int served = 0;
        for (const auto& call : calls)
            served += send_once(fleet->entry(0), call).status == 200 ? 1 : 0;
        CPPUNIT_ASSERT(served >= 10);
        for (const auto& endpoint : {fleet->engine_address(0),
                 fleet->engine_address(1), fleet->service_address(0)})
            for (const auto& request : seen_by(endpoint))
            {
                auto text = request.dump();
                // A service decodes its JSON body.
                const auto body = json::parse(
                    request.at("body").get<std::string>(), nullptr, false);
                if (!body.is_discarded())
                    text += body.dump();
                for (const auto& spelled : {key, percent})
                    CPPUNIT_ASSERT_MESSAGE(
                        text, text.find(spelled) == std::string::npos);
            }
    }

    // Guards against engines that go on generating for nobody.
    void a_caller_that_disconnects_cancels_its_stream()
    {
        const auto fleet = start_configured(options());
        const auto cancelled = [&]
        {
            int count = 0;
            for (std::size_t i = 0; i < 2; ++i)
                count += fetch(fleet->engine_address(i), "/admin/counts")
                             .json()
                             .at("cancelled")
                             .get<int>();
            return count;
        };
        for (const bool stream : {true, false})
        {
            completion_call call;
            call.max_tokens = 100'000;
            call.stream = stream;
            auto request = call.request(fleet.key1);
            request.on_event = [](const sse_event& event)
            { return event.id != "3"; };
            // Without a stream, the caller gives up after this time.
            request.time = milliseconds(1'000);
            const int before = cancelled();
            send_once(fleet->entry(0), request);
            CPPUNIT_ASSERT(eventually([&] { return cancelled() > before; }));
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

    static std::string json_escaped(char c) { return "\\u00" + hex(c); }

    static std::string percent_encoded(char c) { return "%" + hex(c); }

    static std::string hex(char c)
    {
        constexpr const char* digits = "0123456789abcdef";
        const auto value = static_cast<unsigned char>(c);
        return {digits[value / 16], digits[value % 16]};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(isolation_test);

} // namespace
} // namespace tarragonquay::test_support
