#include "dispatch/endpoint_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::dispatch
{
namespace
{

using namespace std::chrono_literals;

const service_id engines("llm");
const service_id plain("orders");
constexpr std::int64_t cache_tokens = 200'000;

endpoints::directory_entry make_entry(const std::string& id,
    const service_id& service, const std::string& zone = "z1",
    std::int64_t started = 1)
{
    endpoints::directory_entry out;
    out.id = endpoint_id(id);
    out.started_unix_ms = started;
    out.service = service;
    out.address = "10.0.0.1:" + id.substr(1);
    out.availability_zone = zone;
    out.slots = 4;
    if (service == engines)
        out.models = {{model_id("m"), {adapter_id("a1")}}};
    return out;
}

prompt make_prompt(std::int64_t own_tokens, std::uint64_t shared = 7,
    const std::string& adapter = {})
{
    prompt out;
    out.model = model_id("m");
    out.adapter = adapter_id(adapter);
    out.parts = {{shared, 6'000},
        {static_cast<std::uint64_t>(own_tokens) + 100, own_tokens}};
    out.prompt_tokens = 6'000 + own_tokens;
    out.output_tokens = 50;
    return out;
}

} // namespace

class endpoint_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_pool_test);
    CPPUNIT_TEST(requests_with_a_common_prefix_go_to_one_engine);
    CPPUNIT_TEST(a_long_queue_outweighs_a_cached_prefix);
    CPPUNIT_TEST(streams_in_all_slots_delay_the_expected_answer);
    CPPUNIT_TEST(a_full_endpoint_is_avoided_for_a_short_time);
    CPPUNIT_TEST(peer_loads_count_until_they_expire);
    CPPUNIT_TEST(an_engine_without_the_adapter_is_not_chosen);
    CPPUNIT_TEST(leaving_and_tried_endpoints_are_not_chosen);
    CPPUNIT_TEST(a_departed_process_is_not_used_when_its_entry_returns);
    CPPUNIT_TEST(a_process_that_leaves_before_its_entry_is_put_is_not_used);
    CPPUNIT_TEST(a_misdirected_request_is_not_told_after_the_entry_returns);
    CPPUNIT_TEST(an_older_answer_does_not_affect_a_new_process);
    CPPUNIT_TEST(a_misdirected_request_concerns_this_instance_only);
    CPPUNIT_TEST(a_paused_endpoint_gets_no_requests);
    CPPUNIT_TEST(a_service_of_paused_endpoints_returns_with_the_first_one);
    CPPUNIT_TEST(a_suspended_endpoint_is_used_when_it_is_the_only_one);
    CPPUNIT_TEST(a_restart_resets_loads_and_health);
    CPPUNIT_TEST(an_entry_does_not_replace_a_reported_residency);
    CPPUNIT_TEST(a_model_that_an_entry_adds_or_drops_is_added_or_dropped);
    CPPUNIT_TEST(an_older_residency_does_not_replace_a_newer_one);
    CPPUNIT_TEST(a_lost_request_is_distinguished_from_a_long_queue);
    CPPUNIT_TEST(plain_endpoints_share_the_load);
    CPPUNIT_TEST(an_engine_that_recovers_from_many_failures_is_asked_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reading a shared prefix at every engine: 6,000 of 9,000
    // tokens are shared, and a cache hit saves most of the engine's time.
    void requests_with_a_common_prefix_go_to_one_engine()
    {
        auto pool = make_pool(6);
        std::set<endpoint_id> used;
        for (int i = 0; i < 20; ++i)
        {
            const auto chosen = choose(pool, make_prompt(500 + i));
            used.insert(chosen.id);
            auto in_flight = pool.begin(chosen, nullptr, cache_tokens, now_);
            pool.finish(in_flight);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), used.size());
    }

    // Guards against a queue at the home of a popular prefix while other
    // engines are idle.
    void a_long_queue_outweighs_a_cached_prefix()
    {
        auto pool = make_pool(3);
        const auto request = make_prompt(500);
        const auto home = choose(pool, request);
        std::vector<in_flight_request> in_flight;
        in_flight.reserve(40);
        for (int i = 0; i < 40; ++i)
            in_flight.push_back(pool.begin(home, &request, cache_tokens, now_));
        CPPUNIT_ASSERT(choose(pool, request).id != home.id);
        for (auto& each : in_flight)
            pool.finish(each);
        CPPUNIT_ASSERT(choose(pool, request).id == home.id);
    }

    // Guards against ignoring the wait for slots when all prompts are read: a
    // burst of short prompts with long answers occupies them.
    void streams_in_all_slots_delay_the_expected_answer()
    {
        auto pool = make_pool(2);
        const auto request = make_prompt(10);
        const auto home = choose(pool, request);
        std::vector<in_flight_request> in_flight;
        for (int i = 0; i < 8; ++i)
        {
            in_flight.push_back(pool.begin(home, &request, cache_tokens, now_));
            pool.note_first_event(
                in_flight.back(), engines, model_id("m"), now_);
        }
        pool.note_stream_end(
            in_flight[0], engines, model_id("m"), 100, now_ + 2s);
        const auto other = choose(pool, request);
        CPPUNIT_ASSERT(other.id != home.id);
        const auto again =
            pool.choose_engine(engines, request, {other.id}, now_);
        CPPUNIT_ASSERT(again->expected_at > now_ + 1s);
    }

    // Guards against sending repeatedly to an engine that rejects requests,
    // which looks idle because rejected requests end immediately.
    void a_full_endpoint_is_avoided_for_a_short_time()
    {
        auto pool = make_pool(2);
        const auto request = make_prompt(500);
        const auto home = choose(pool, request);
        pool.mark_full(home.id, now_);
        CPPUNIT_ASSERT(choose(pool, request).id != home.id);
        now_ += 1s;
        CPPUNIT_ASSERT(choose(pool, request).id == home.id);
    }

    // Guards against the thundering herd: instances that see only their own
    // requests all choose the same engine.
    void peer_loads_count_until_they_expire()
    {
        auto pool = make_pool(3);
        const auto request = make_prompt(500);
        const auto home = choose(pool, request);
        pool.put_peer_loads(instance_id("i2"), {{home.id, {60'000, 10}}}, now_);
        CPPUNIT_ASSERT(choose(pool, request).id != home.id);
        now_ += 5s;
        CPPUNIT_ASSERT(choose(pool, request).id == home.id);
    }

    // Guards against sending requests to an engine that has the model but lacks
    // the adapter and must reject them.
    void an_engine_without_the_adapter_is_not_chosen()
    {
        auto pool = make_pool(2);
        const auto missing =
            pool.choose_engine(engines, make_prompt(500, 7, "a2"), {}, now_);
        CPPUNIT_ASSERT(missing.error().code() == error_code::model_not_ready);
        pool.mark_missing(
            endpoint_id("e0"), model_id("m"), adapter_id("a1"), now_);
        CPPUNIT_ASSERT(
            choose(pool, make_prompt(500, 7, "a1")).id == endpoint_id("e1"));
    }

    // Guards against new requests to an endpoint that leaves.
    void leaving_and_tried_endpoints_are_not_chosen()
    {
        auto pool = make_pool(3);
        pool.mark_leaving({endpoint_id("e0"), 1}, leaving_source::own_answer);
        auto short_notice = make_entry("e1", engines);
        short_notice.gone_at = now_ - 1ms;
        pool.put(short_notice);
        CPPUNIT_ASSERT(choose(pool, make_prompt(500)).id == endpoint_id("e2"));
        const auto none = pool.choose_engine(
            engines, make_prompt(500), {endpoint_id("e2")}, now_);
        CPPUNIT_ASSERT(none.error().code() == error_code::no_endpoint);
    }

    // Guards against using an endpoint that left when the store lists it again:
    // its entry may expire and return before the process ends.
    void a_departed_process_is_not_used_when_its_entry_returns()
    {
        auto pool = make_pool(1);
        pool.mark_leaving({endpoint_id("e0"), 1}, leaving_source::own_answer);
        pool.erase(endpoint_id("e0"));
        pool.put(make_entry("e0", engines));
        CPPUNIT_ASSERT(!pool.accepts_requests({endpoint_id("e0"), 1}, now_));
        pool.put(make_entry("e0", engines, "z1", 2));
        CPPUNIT_ASSERT(pool.accepts_requests({endpoint_id("e0"), 2}, now_));
    }

    // Guards against using an endpoint that leaves when others tell so before
    // its entry has been read, or when its entry has expired meanwhile.
    void a_process_that_leaves_before_its_entry_is_put_is_not_used()
    {
        auto pool = make_pool(0);
        CPPUNIT_ASSERT(
            pool.mark_leaving({endpoint_id("e0"), 1}, leaving_source::peer));
        CPPUNIT_ASSERT(
            !pool.mark_leaving({endpoint_id("e0"), 1}, leaving_source::peer));
        pool.put(make_entry("e0", engines));
        CPPUNIT_ASSERT(!pool.accepts_requests({endpoint_id("e0"), 1}, now_));
        pool.put(make_entry("e0", engines, "z1", 2));
        CPPUNIT_ASSERT(pool.accepts_requests({endpoint_id("e0"), 2}, now_));
    }

    // Guards against one wrong answer that withdraws an endpoint from the whole
    // fleet once its entry has expired and returned.
    void a_misdirected_request_is_not_told_after_the_entry_returns()
    {
        auto pool = make_pool(1);
        pool.mark_leaving({endpoint_id("e0"), 1}, leaving_source::misdirected);
        pool.erase(endpoint_id("e0"));
        pool.put(make_entry("e0", engines));
        CPPUNIT_ASSERT(!pool.accepts_requests({endpoint_id("e0"), 1}, now_));
        CPPUNIT_ASSERT(pool.leaving_processes().empty());
    }

    // Guards against a late answer of a process that has ended.
    void an_older_answer_does_not_affect_a_new_process()
    {
        auto pool = make_pool(1);
        pool.put(make_entry("e0", engines, "z1", 2));
        CPPUNIT_ASSERT(!pool.mark_leaving(
            {endpoint_id("e0"), 1}, leaving_source::own_answer));
        CPPUNIT_ASSERT(!pool.pause({endpoint_id("e0"), 1}, now_ + 1s));
        CPPUNIT_ASSERT(pool.accepts_requests({endpoint_id("e0"), 2}, now_));
    }

    // Guards against one wrong answer that withdraws an endpoint from the whole
    // fleet.
    void a_misdirected_request_concerns_this_instance_only()
    {
        auto pool = make_pool(2);
        pool.mark_leaving({endpoint_id("e0"), 1}, leaving_source::misdirected);
        pool.mark_leaving({endpoint_id("e1"), 1}, leaving_source::own_answer);
        CPPUNIT_ASSERT(!pool.accepts_requests({endpoint_id("e0"), 1}, now_));
        const auto told = pool.leaving_processes();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
        CPPUNIT_ASSERT(told[0].id == endpoint_id("e1"));
    }

    // Guards against trial requests to an endpoint that asked for a pause,
    // also when it is the only one.
    void a_paused_endpoint_gets_no_requests()
    {
        auto pool = make_pool(2);
        pool.pause({endpoint_id("e0"), 1}, now_ + 1s);
        CPPUNIT_ASSERT(choose(pool, make_prompt(500)).id == endpoint_id("e1"));
        CPPUNIT_ASSERT(!pool.choose_engine(
            engines, make_prompt(500), {endpoint_id("e1")}, now_));
        now_ += 1s;
        CPPUNIT_ASSERT(pool.choose_engine(
            engines, make_prompt(500), {endpoint_id("e1")}, now_));
    }

    // Guards against callers that return before any endpoint accepts requests.
    void a_service_of_paused_endpoints_returns_with_the_first_one()
    {
        auto pool = make_pool(3);
        pool.mark_leaving({endpoint_id("e2"), 1}, leaving_source::peer);
        pool.pause({endpoint_id("e0"), 1}, now_ + 2s);
        CPPUNIT_ASSERT(!pool.earliest_return(engines, nullptr, now_));
        pool.pause({endpoint_id("e1"), 1}, now_ + 1s);
        CPPUNIT_ASSERT((pool.earliest_return(engines, nullptr, now_) ==
                        endpoint_return{now_ + 1s, false}));
        CPPUNIT_ASSERT(!pool.earliest_return(plain, nullptr, now_));
    }

    // Guards against refusing all requests after all endpoints have failed.
    void a_suspended_endpoint_is_used_when_it_is_the_only_one()
    {
        auto pool = make_pool(2);
        for (int i = 0; i < 2; ++i)
            pool.record_failure(endpoint_id("e0"), now_);
        CPPUNIT_ASSERT(pool.suspended(endpoint_id("e0"), now_));
        CPPUNIT_ASSERT(choose(pool, make_prompt(500)).id == endpoint_id("e1"));
        const auto last = pool.choose_engine(
            engines, make_prompt(500), {endpoint_id("e1")}, now_);
        CPPUNIT_ASSERT(last.has_value());
    }

    // Guards against refusing all requests for ever because the only engine is
    // expected to answer too late: callers wait 2 s at least, and without a
    // request no answer can improve the expectation.
    void an_engine_that_recovers_from_many_failures_is_asked_again()
    {
        auto pool = make_pool(2);
        for (int i = 0; i < 100; ++i)
            pool.record_failure(endpoint_id("e0"), now_);
        const auto later = now_ + 1min;
        CPPUNIT_ASSERT(!pool.suspended(endpoint_id("e0"), later));
        const auto last = pool.choose_engine(
            engines, make_prompt(500), {endpoint_id("e1")}, later);
        CPPUNIT_ASSERT(last.has_value());
        CPPUNIT_ASSERT(last->expected_at < later + 1s);
        // The failures still make it the last choice.
        for (int i = 0; i < 20; ++i)
        {
            const auto request = make_prompt(500 + i);
            const auto chosen = pool.choose_engine(engines, request, {}, later);
            CPPUNIT_ASSERT(chosen->id == endpoint_id("e1"));
        }
    }

    // Guards against keeping loads and failures after a restart under the same
    // id.
    void a_restart_resets_loads_and_health()
    {
        auto pool = make_pool(1);
        const auto request = make_prompt(500);
        auto in_flight =
            pool.begin(choose(pool, request), &request, cache_tokens, now_);
        pool.record_failure(endpoint_id("e0"), now_);
        pool.record_failure(endpoint_id("e0"), now_);
        pool.put(make_entry("e0", engines, "z1", 2));
        CPPUNIT_ASSERT(!pool.suspended(endpoint_id("e0"), now_));
        CPPUNIT_ASSERT(pool.own_loads().empty());
        pool.finish(in_flight);
        CPPUNIT_ASSERT(pool.own_loads().empty());
    }

    // Guards against refusing requests for an adapter that was loaded, and
    // against sending requests for a model that is being unloaded, until the
    // next entry of the engine: entries count heartbeats, not commands, and do
    // not list adapters in time.
    void an_entry_does_not_replace_a_reported_residency()
    {
        auto pool = make_pool(1);
        auto entry = make_entry("e0", engines);
        entry.models.push_back({model_id("n"), {}});
        pool.put(entry);
        pool.put_residency(
            endpoint_id("e0"), 1, 3, {{model_id("m"), {adapter_id("a2")}}});
        pool.put(entry);
        CPPUNIT_ASSERT(
            pool.choose_engine(engines, make_prompt(500, 7, "a2"), {}, now_));
        auto unloading = make_prompt(500);
        unloading.model = model_id("n");
        CPPUNIT_ASSERT(!pool.choose_engine(engines, unloading, {}, now_));
    }

    // Guards against waiting for the next residency when the lease holder is
    // gone: entries show later what its last commands have done.
    void a_model_that_an_entry_adds_or_drops_is_added_or_dropped()
    {
        auto pool = make_pool(1);
        pool.put_residency(
            endpoint_id("e0"), 1, 3, {{model_id("m"), {adapter_id("a2")}}});
        auto request = make_prompt(500);
        request.model = model_id("n");
        auto entry = make_entry("e0", engines);
        entry.models.push_back({model_id("n"), {}});
        pool.put(entry);
        CPPUNIT_ASSERT(pool.choose_engine(engines, request, {}, now_));
        CPPUNIT_ASSERT(
            pool.choose_engine(engines, make_prompt(500, 7, "a2"), {}, now_));
        entry.models = {{model_id("n"), {}}};
        pool.put(entry);
        CPPUNIT_ASSERT(pool.choose_engine(engines, request, {}, now_));
        CPPUNIT_ASSERT(
            !pool.choose_engine(engines, make_prompt(500), {}, now_));
    }

    // Guards against a late message of the previous lease holder.
    void an_older_residency_does_not_replace_a_newer_one()
    {
        auto pool = make_pool(1);
        pool.put_residency(
            endpoint_id("e0"), 1, 3, {{model_id("m"), {adapter_id("a2")}}});
        pool.put_residency(endpoint_id("e0"), 1, 2, {});
        CPPUNIT_ASSERT(
            pool.choose_engine(engines, make_prompt(500, 7, "a2"), {}, now_));
    }

    // Guards against moving requests away from engines that are only busy,
    // which would double the load at its peak.
    void a_lost_request_is_distinguished_from_a_long_queue()
    {
        auto pool = make_pool(1);
        const auto request = make_prompt(5'000);
        const auto choice = choose(pool, request);
        auto earlier = pool.begin(choice, &request, cache_tokens, now_);
        now_ += 50ms;
        auto waiting = pool.begin(choice, &request, cache_tokens, now_);
        CPPUNIT_ASSERT(pool.lost_request(choice.id, waiting.sent_at));
        now_ += 300ms;
        pool.note_first_event(earlier, engines, model_id("m"), now_);
        CPPUNIT_ASSERT(!pool.lost_request(choice.id, waiting.sent_at));
        now_ += 500ms;
        auto later = pool.begin(choice, &request, cache_tokens, now_);
        now_ += 100ms;
        pool.note_first_event(later, engines, model_id("m"), now_);
        CPPUNIT_ASSERT(pool.lost_request(choice.id, waiting.sent_at));
    }

    // Guards against sending all calls to one of three endpoints.
    void plain_endpoints_share_the_load()
    {
        endpoint_pool pool("z1");
        for (const auto* zone : {"z1", "z2", "z3"})
            pool.put(make_entry(std::string("s") + zone[1], plain, zone));
        std::set<endpoint_id> used;
        std::vector<in_flight_request> in_flight;
        for (int i = 0; i < 9; ++i)
        {
            const auto chosen = pool.choose_plain(plain, {}, now_);
            used.insert(chosen->id);
            in_flight.push_back(pool.begin(*chosen, nullptr, 0, now_));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), used.size());
    }

private:
    static endpoint_pool make_pool(int count)
    {
        endpoint_pool pool("z1");
        for (int i = 0; i < count; ++i)
            pool.put(make_entry("e" + std::to_string(i), engines));
        return pool;
    }

    endpoint_choice choose(
        const endpoint_pool& pool, const prompt& request) const
    {
        return pool.choose_engine(engines, request, {}, now_).value();
    }

    time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_pool_test);

} // namespace tarragonquay::dispatch
