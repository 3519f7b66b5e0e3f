#include <chrono>
#include <set>
#include <string>

#include "gateway/forwarder_fixture_test.hpp"

namespace tarragonquay::gateway
{

using namespace testing;

namespace
{

const std::string stream_answer = stream_head + chunk(event(1)) + stream_end;

/// Two engines of a service with the model "m"; `first` and `second` are their
/// adapters.
class engine_fixture : public fixture
{
public:
    using adapters = std::set<adapter_id>;

    engine_fixture(const adapters& first, const adapters& second)
        : fixture({{stream_answer, then::keep_open}},
              {{stream_answer, then::keep_open}})
    {
        auto document = ctx.routes->document();
        routes::engine_group group;
        routes::engine_model model;
        model.id = model_id("m");
        group.models.push_back(model);
        document.services.front().engines = group;
        ctx.routes = routes::route_table::create(document).value();
        put_models("e0", first);
        put_models("e1", second);
        prompt_headers = prompt_of("5:10,6:10");
    }

    void put_models(const std::string& id, const adapters& held)
    {
        endpoints::loaded_model model;
        model.model = model_id("m");
        model.adapters = held;
        ctx.pool.put_residency(endpoint_id(id), 0, ++commands_, {model});
    }

    // This instance has no share of the limit.
    void limit(const std::string& id)
    {
        ctx.pool.note_limit(
            {endpoint_id(id), 0}, 0.5, std::chrono::steady_clock::now());
    }

    void pause(const std::string& id)
    {
        ctx.pool.pause(
            {endpoint_id(id), 0}, std::chrono::steady_clock::now() + 20s);
    }

    // Requests the adapter "a", which the second engine loads when asked to.
    void run_with_adapter()
    {
        prompt_headers[0].value = "m/a";
        ctx.request_adapter =
            [this](const service_id&, const model_id&, const adapter_id& wanted)
        {
            put_models("e1", {wanted});
            ctx.residency_changed.raise();
        };
        run("/stream/x");
    }

private:
    std::int64_t commands_ = 0;
};

} // namespace

/// Requests that only limited or paused engines could serve now.
class forwarder_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarder_limits_test);
    CPPUNIT_TEST(an_adapter_at_a_limited_engine_is_loaded_at_another_one);
    CPPUNIT_TEST(an_adapter_at_a_paused_engine_is_loaded_at_another_one);
    CPPUNIT_TEST(a_request_without_a_place_anywhere_is_refused_at_once);
    CPPUNIT_TEST(an_adapter_without_a_place_for_its_model_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing a request that an engine without a limit could
    // serve some milliseconds later.
    void an_adapter_at_a_limited_engine_is_loaded_at_another_one()
    {
        engine_fixture tested({adapter_id("a")}, {});
        tested.limit("e0");
        tested.run_with_adapter();
        CPPUNIT_ASSERT(tested.out.ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.servers[1].requests.size());
    }

    void an_adapter_at_a_paused_engine_is_loaded_at_another_one()
    {
        engine_fixture tested({adapter_id("a")}, {});
        tested.pause("e0");
        tested.run_with_adapter();
        CPPUNIT_ASSERT(tested.out.ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.servers[1].requests.size());
    }

    // Guards against a request that waits although no place comes in time.
    void a_request_without_a_place_anywhere_is_refused_at_once()
    {
        engine_fixture tested({}, {});
        tested.limit("e0");
        tested.limit("e1");
        tested.run("/stream/x");
        assert_refused(tested);
    }

    void an_adapter_without_a_place_for_its_model_is_refused_at_once()
    {
        engine_fixture tested({adapter_id("a")}, {});
        tested.limit("e0");
        tested.limit("e1");
        bool asked = false;
        tested.prompt_headers[0].value = "m/a";
        tested.ctx.request_adapter = [&](const auto&...) { asked = true; };
        tested.run("/stream/x");
        assert_refused(tested);
        CPPUNIT_ASSERT(!asked);
    }

private:
    static void assert_refused(const engine_fixture& tested)
    {
        CPPUNIT_ASSERT_EQUAL(503, tested.out.whole->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tested.arrivals());
        const auto& field = tested.out.whole->headers.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), field.name);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, std::stod(field.value), 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarder_limits_test);

} // namespace tarragonquay::gateway
