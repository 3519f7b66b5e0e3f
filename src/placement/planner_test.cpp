#include "placement/planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::placement
{
namespace
{

constexpr std::int64_t gigabyte = 1'000'000'000;

replica_view ready(const std::string& model)
{
    replica_view out;
    out.model = model_id(model);
    out.bytes = 10 * gigabyte;
    out.ready = true;
    return out;
}

engine_view engine(const std::string& id, std::int64_t free_gigabytes,
    std::vector<replica_view> replicas = {})
{
    engine_view out;
    out.id = endpoint_id(id);
    out.free_bytes = free_gigabytes * gigabyte;
    out.usable = true;
    out.accepts_command = true;
    out.replicas = std::move(replicas);
    return out;
}

model_view model(
    const std::string& id, double tokens_per_second, double waiting_s = 0)
{
    model_view out;
    out.id = model_id(id);
    out.bytes = 10 * gigabyte;
    out.tokens_per_second = tokens_per_second;
    out.waiting = waiting_s > 0 ? 1 : 0;
    out.waiting_s = waiting_s;
    out.settled_s = 100;
    return out;
}

std::string text(const std::vector<move>& moves)
{
    std::string out;
    for (const auto& each : moves)
        out += std::string(to_string(each.kind)) + " " + each.model.str() +
               " " + each.endpoint.str() + (each.swap ? " swap;" : ";");
    return out;
}

std::string planned(cluster_view view, planner_limits limits = {})
{
    view.loads_allowed = 10;
    return text(plan(view, limits));
}

} // namespace

class planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_test);
    CPPUNIT_TEST(each_model_gets_its_first_replica_before_any_second);
    CPPUNIT_TEST(longest_wait_is_served_first);
    CPPUNIT_TEST(busy_model_takes_the_surplus_replica_of_an_idle_one);
    CPPUNIT_TEST(last_replica_stays_when_nobody_waits);
    CPPUNIT_TEST(waiting_model_swaps_with_the_least_asked_for);
    CPPUNIT_TEST(unload_under_way_is_not_repeated);
    CPPUNIT_TEST(replica_on_a_suspected_engine_is_not_counted);
    CPPUNIT_TEST(adapter_loads_stay_within_their_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_model_gets_its_first_replica_before_any_second()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("load_model cold e1;"),
            planned({{engine("e1", 10), engine("e2", 0, {ready("hot")})},
                {model("cold", 0), model("hot", 9000)}}));
    }

    void longest_wait_is_served_first()
    {
        planner_limits limits;
        limits.concurrent_loads = 1;
        CPPUNIT_ASSERT_EQUAL(std::string("load_model b e1;"),
            planned(
                {{engine("e1", 40)}, {model("a", 500, 1), model("b", 1, 3)}},
                limits));
    }

    void busy_model_takes_the_surplus_replica_of_an_idle_one()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unload_model idle e1;"),
            planned({{engine("e1", 0, {ready("idle")}),
                         engine("e2", 0, {ready("idle"), ready("hot")})},
                {model("hot", 5000), model("idle", 10)}}));
    }

    void last_replica_stays_when_nobody_waits()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(),
            planned(
                {{engine("e1", 0, {ready("a")}), engine("e2", 0, {ready("b")})},
                    {model("a", 0), model("b", 9000), model("c", 50)}}));
    }

    void waiting_model_swaps_with_the_least_asked_for()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unload_model a e1 swap;"),
            planned(
                {{engine("e1", 0, {ready("a")}), engine("e2", 0, {ready("b")})},
                    {model("a", 5), model("b", 9000), model("c", 50, 1)}}));
    }

    void unload_under_way_is_not_repeated()
    {
        auto leaving = ready("a");
        leaving.ready = false;
        leaving.going = true;
        cluster_view view{
            {engine("e1", 0, {leaving}), engine("e2", 0, {ready("b")})},
            {model("b", 9000), model("c", 50, 1)}};
        view.unloads_open = 1;
        CPPUNIT_ASSERT_EQUAL(std::string(), planned(view));
    }

    void replica_on_a_suspected_engine_is_not_counted()
    {
        auto silent = engine("e1", 0, {ready("a")});
        silent.usable = false;
        CPPUNIT_ASSERT_EQUAL(std::string("load_model a e2;"),
            planned({{silent, engine("e2", 10)}, {model("a", 5)}}));
    }

    void adapter_loads_stay_within_their_limit()
    {
        auto poet = model("poet", 1);
        for (int i = 0; i < 20; ++i)
            poet.adapters.push_back(
                {adapter_id("a" + std::to_string(i)), "1", 1, 1, 0});
        cluster_view view{{engine("e1", 1, {ready("poet")})}, {poet}};
        view.adapter_loads_open = 3;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(12), plan(view, planner_limits()).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_test);

} // namespace tarragonquay::placement
