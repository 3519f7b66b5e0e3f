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
    CPPUNIT_TEST(requests_of_one_prefix_meet_at_one_engine);
    CPPUNIT_TEST(a_long_queue_outweighs_a_kept_prefix);
    CPPUNIT_TEST(streams_that_hold_all_slots_are_a_wait);
    CPPUNIT_TEST(a_full_endpoint_is_left_alone_for_a_moment);
    CPPUNIT_TEST(loads_of_peers_count_until_they_are_old);
    CPPUNIT_TEST(a_missing_adapter_is_not_served_by_the_model_alone);
    CPPUNIT_TEST(leaving_and_tried_endpoints_are_not_chosen);
    CPPUNIT_TEST(a_suspended_endpoint_is_used_when_it_is_the_only_one);
    CPPUNIT_TEST(a_new_process_starts_with_a_clean_record);
    CPPUNIT_TEST(an_older_entry_does_not_undo_a_told_residency);
    CPPUNIT_TEST(a_lost_request_is_told_from_a_long_queue);
    CPPUNIT_TEST(plain_endpoints_share_the_load);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reading a shared prefix at every engine: 6,000 of 9,000
    // tokens are shared, and a hit saves most of the engine's time.
    void requests_of_one_prefix_meet_at_one_engine()
    {
        auto pool = make_pool(6);
        std::set<endpoint_id> used;
        for (int i = 0; i < 20; ++i)
        {
            const auto chosen = choose(pool, make_prompt(500 + i));
            used.insert(chosen.id);
            auto held = pool.begin(chosen, nullptr, cache_tokens, now_);
            pool.finish(held);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), used.size());
    }

    // Guards against a queue at the home of a popular prefix while other
    // engines are idle.
    void a_long_queue_outweighs_a_kept_prefix()
    {
        auto pool = make_pool(3);
        const auto request = make_prompt(500);
        const auto home = choose(pool, request);
        std::vector<in_flight_request> held;
        held.reserve(40);
        for (int i = 0; i < 40; ++i)
            held.push_back(pool.begin(home, &request, cache_tokens, now_));
        CPPUNIT_ASSERT(choose(pool, request).id != home.id);
        for (auto& each : held)
            pool.finish(each);
        CPPUNIT_ASSERT(choose(pool, request).id == home.id);
    }

    // Guards against a queue for slots that looks empty, since all prompts in
    // it are read: a burst of short prompts with long answers.
    void streams_that_hold_all_slots_are_a_wait()
    {
        auto pool = make_pool(2);
        const auto request = make_prompt(10);
        const auto home = choose(pool, request);
        std::vector<in_flight_request> held;
        for (int i = 0; i < 8; ++i)
        {
            held.push_back(pool.begin(home, &request, cache_tokens, now_));
            pool.note_first_event(held.back(), engines, model_id("m"), now_);
        }
        pool.note_stream_end(held[0], engines, model_id("m"), now_ + 2s);
        const auto other = choose(pool, request);
        CPPUNIT_ASSERT(other.id != home.id);
        const auto again =
            pool.choose_engine(engines, request, {other.id}, now_);
        CPPUNIT_ASSERT(again->expected_at > now_ + 1s);
    }

    // Guards against sending again and again to an engine that rejects, which
    // looks idle because its rejections end at once.
    void a_full_endpoint_is_left_alone_for_a_moment()
    {
        auto pool = make_pool(2);
        const auto request = make_prompt(500);
        const auto home = choose(pool, request);
        pool.mark_full(home.id, now_);
        CPPUNIT_ASSERT(choose(pool, request).id != home.id);
        now_ += 1s;
        CPPUNIT_ASSERT(choose(pool, request).id == home.id);
    }

    // Guards against herds: instances that see only their own requests all
    // choose the same engine.
    void loads_of_peers_count_until_they_are_old()
    {
        auto pool = make_pool(3);
        const auto request = make_prompt(500);
        const auto home = choose(pool, request);
        pool.put_peer_loads(instance_id("i2"), {{home.id, {60'000, 10}}}, now_);
        CPPUNIT_ASSERT(choose(pool, request).id != home.id);
        now_ += 5s;
        CPPUNIT_ASSERT(choose(pool, request).id == home.id);
    }

    // Guards against sends that an engine can only reject.
    void a_missing_adapter_is_not_served_by_the_model_alone()
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

    // Guards against new work for an endpoint that leaves.
    void leaving_and_tried_endpoints_are_not_chosen()
    {
        auto pool = make_pool(3);
        pool.mark_leaving(endpoint_id("e0"));
        auto short_notice = make_entry("e1", engines);
        short_notice.gone_at = now_ - 1ms;
        pool.put(short_notice);
        CPPUNIT_ASSERT(choose(pool, make_prompt(500)).id == endpoint_id("e2"));
        const auto none = pool.choose_engine(
            engines, make_prompt(500), {endpoint_id("e2")}, now_);
        CPPUNIT_ASSERT(none.error().code() == error_code::no_endpoint);
    }

    // Guards against refusing everything after a fault of all endpoints.
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

    // Guards against loads and failures that outlive a restart under the same
    // id.
    void a_new_process_starts_with_a_clean_record()
    {
        auto pool = make_pool(1);
        const auto request = make_prompt(500);
        auto held =
            pool.begin(choose(pool, request), &request, cache_tokens, now_);
        pool.record_failure(endpoint_id("e0"), now_);
        pool.record_failure(endpoint_id("e0"), now_);
        pool.put(make_entry("e0", engines, "z1", 2));
        CPPUNIT_ASSERT(!pool.suspended(endpoint_id("e0"), now_));
        CPPUNIT_ASSERT(pool.own_loads().empty());
        pool.finish(held);
        CPPUNIT_ASSERT(pool.own_loads().empty());
    }

    // Guards against an entry that was written before the latest command and
    // arrives after it.
    void an_older_entry_does_not_undo_a_told_residency()
    {
        auto pool = make_pool(1);
        pool.put_residency(
            endpoint_id("e0"), 1, 3, {{model_id("m"), {adapter_id("a2")}}});
        auto late = make_entry("e0", engines);
        late.accepted_commands = 3;
        pool.put(late);
        CPPUNIT_ASSERT(
            pool.choose_engine(engines, make_prompt(500, 7, "a2"), {}, now_));
        late.accepted_commands = 4;
        pool.put(late);
        CPPUNIT_ASSERT(
            !pool.choose_engine(engines, make_prompt(500, 7, "a2"), {}, now_));
    }

    // Guards against moving requests away from engines that are only busy,
    // which doubles the load when there is most of it.
    void a_lost_request_is_told_from_a_long_queue()
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

    // Guards against one endpoint of three that gets all calls.
    void plain_endpoints_share_the_load()
    {
        endpoint_pool pool("z1");
        for (const auto* zone : {"z1", "z2", "z3"})
            pool.put(make_entry(std::string("s") + zone[1], plain, zone));
        std::set<endpoint_id> used;
        std::vector<in_flight_request> held;
        for (int i = 0; i < 9; ++i)
        {
            const auto chosen = pool.choose_plain(plain, {}, now_);
            used.insert(chosen->id);
            held.push_back(pool.begin(*chosen, nullptr, 0, now_));
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
