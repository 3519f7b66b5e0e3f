#include "placement/controller.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "placement/region_model_test.hpp"

namespace tarragonquay::placement
{
namespace
{

using namespace std::chrono_literals;

// Returns a number in [0, end). Uses the nominal size, because RapidCheck would
// otherwise restrict early cases to low numbers and omit most kinds of steps.
template <class Number>
Number below(Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(0, end));
}

// Performs one random operation or injects one random fault.
void step(simulated_region& simulation, bool restarts)
{
    using fault = store::fake_store::fault;
    const auto holder = below<std::size_t>(2);
    switch (below(16))
    {
    case 0:
    case 1:
        return simulation.tick(holder);
    case 2:
        return simulation.poll(holder);
    case 3:
    case 4:
        simulation.poll(holder);
        simulation.poll(holder);
        return simulation.take_reports(holder);
    case 5:
    case 6:
    case 7:
        return simulation.deliver(below<std::size_t>(50), below(6) == 0,
            below(4) == 0, below(4) != 0);
    case 8:
        simulation.finish_loads();
        return simulation.demand(below<std::size_t>(5));
    case 9:
        return simulation.store_.store.set_fault(*rc::gen::element(fault::none,
            fault::none, fault::none, fault::down, fault::answers_lost));
    case 10:
    case 11:
        return simulation.store_.run_one(below<std::size_t>(50));
    case 12:
        return simulation.store_.set_deferring(below(2) == 0);
    case 13:
        simulation.store_.store.set_fault(fault::none);
        return simulation.run_alone(holder, 1 + below(15), below(2) == 0);
    case 14:
        if (restarts && below(2) == 0)
            return simulation.restart(below<std::size_t>(4));
        return simulation.advance(*rc::gen::element<duration>(500ms, 2s, 4s));
    default:
        if (below(4) == 0)
            simulation.change_version(below<std::size_t>(5));
        return simulation.advance(1s);
    }
}

} // namespace

class controller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(controller_test);
    CPPUNIT_TEST(first_holder_loads_each_model_once);
    CPPUNIT_TEST(another_instance_takes_over_when_the_holder_stops_renewing);
    CPPUNIT_TEST(holder_becomes_inactive_while_the_store_is_down);
    CPPUNIT_TEST(intent_with_a_lost_answer_is_read_back_and_sent);
    CPPUNIT_TEST(new_holder_accounts_commands_in_flight);
    CPPUNIT_TEST(damaged_rows_of_intents_are_ignored);
    CPPUNIT_TEST(new_version_replaces_the_old_one_everywhere);
    CPPUNIT_TEST(new_adapter_version_replaces_the_old_one_everywhere);
    CPPUNIT_TEST(faults_never_overcommit_memory_or_lose_a_model);
    CPPUNIT_TEST(faults_never_overcommit_memory_with_adapter_versions);
    CPPUNIT_TEST(engine_restarts_never_overcommit_memory);
    CPPUNIT_TEST(late_copies_never_use_unaccounted_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_holder_loads_each_model_once()
    {
        simulated_region simulation;
        simulation.demand(9);
        simulation.run_without_faults(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), simulation.ready_models());
        CPPUNIT_ASSERT(simulation.holders_[0]->active());
        CPPUNIT_ASSERT(!simulation.holders_[1]->active());
        // Only the lease row is left; all intents are concluded and erased.
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), simulation.store_.store.rows().size());
    }

    void another_instance_takes_over_when_the_holder_stops_renewing()
    {
        simulated_region simulation;
        simulation.run_without_faults(5);
        for (int i = 0; i < 12; ++i)
        {
            simulation.tick(1);
            simulation.advance(1s);
        }
        simulation.tick(1);
        CPPUNIT_ASSERT(simulation.holders_[1]->active());
        simulation.tick(0);
        CPPUNIT_ASSERT(!simulation.holders_[0]->active());
    }

    void holder_becomes_inactive_while_the_store_is_down()
    {
        simulated_region simulation;
        simulation.run_without_faults(1);
        simulation.store_.store.set_fault(store::fake_store::fault::down);
        simulation.run_without_faults(20);
        CPPUNIT_ASSERT(!simulation.holders_[0]->active());
        simulation.store_.store.set_fault(store::fake_store::fault::none);
        simulation.run_without_faults(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), simulation.ready_models());
    }

    void intent_with_a_lost_answer_is_read_back_and_sent()
    {
        simulated_region simulation(1);
        simulation.tick(0);
        simulation.tick(0);
        for (int i = 0; i < 2; ++i)
        {
            simulation.poll(0);
            simulation.poll(0);
            simulation.take_reports(0);
        }
        simulation.store_.store.set_fault(
            store::fake_store::fault::answers_lost);
        simulation.tick(0);
        CPPUNIT_ASSERT(simulation.network_.copies().empty());
        simulation.store_.store.set_fault(store::fake_store::fault::none);
        simulation.advance(1s);
        for (int i = 0; i < 3; ++i)
            simulation.tick(0);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), simulation.network_.copies().size());
    }

    // Guards against an overcommit by commands of the previous holder that
    // arrive after the takeover.
    void new_holder_accounts_commands_in_flight()
    {
        simulated_region simulation(1);
        for (int i = 0; i < 3; ++i)
        {
            simulation.tick(0);
            simulation.poll(0);
            simulation.poll(0);
            simulation.take_reports(0);
        }
        simulation.tick(0);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), simulation.network_.copies().size());
        const auto command = simulation.network_.copies()[0].command;
        for (int i = 0; i < 16; ++i)
        {
            simulation.tick(1);
            simulation.poll(1);
            simulation.take_reports(1);
            simulation.advance(1s);
        }
        CPPUNIT_ASSERT(simulation.holders_[1]->active());
        std::set<std::string> known;
        for (const auto& each :
            simulation.holders_[1]->accounts().intents(command.endpoint))
            known.insert(each.command_id);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), known.count(command.command_id));
    }

    // Guards against a holder that stops at a corrupt row, or that accepts a
    // row whose key does not match its command: such a row could never be
    // erased, and two rows of one command would be concluded together.
    void damaged_rows_of_intents_are_ignored()
    {
        simulated_region simulation;
        const intent foreign{"c", endpoint_id("e0"), "1", 5,
            command_kind::load_model, model_id("m0"), {}, "1", 90, 0};
        const std::string prefix = "placement/r/intent/";
        simulation.store_.store.transact({},
            {{prefix + "e1/c", to_row(foreign)},
                {prefix + "e0/d", to_row(foreign)},
                {prefix + "e0/x", "damaged"}},
            {}, [](const auto&) {});
        simulation.tick(0);
        simulation.tick(0);
        CPPUNIT_ASSERT(simulation.holders_[0]->active());
        CPPUNIT_ASSERT(simulation.holders_[0]->accounts().intents().empty());
        simulation.demand(9);
        simulation.run_without_faults(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), simulation.ready_models());
    }

    // Guards against a rollout that does not finish or that leaves a model
    // without a ready replica.
    void new_version_replaces_the_old_one_everywhere()
    {
        simulated_region simulation(5);
        simulation.demand(2);
        simulation.run_without_faults(20);
        for (std::size_t i = 0; i < 5; ++i)
            simulation.change_version(i);
        CPPUNIT_ASSERT(!simulation.only_configured_versions());
        simulation.run_without_faults(60);
        CPPUNIT_ASSERT(simulation.only_configured_versions());
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violations());
    }

    // Guards against a rollout that does not finish, or that unloads more than
    // one of several copies of an adapter at a time.
    void new_adapter_version_replaces_the_old_one_everywhere()
    {
        simulated_region simulation(2);
        simulation.set_adapter("rhyme", 0, "1", 5);
        simulation.demand(0);
        simulation.run_without_faults(30);
        const auto before = simulation.adapter_versions("rhyme");
        CPPUNIT_ASSERT(before.contains("1"));
        const auto copies = before.at("1");
        CPPUNIT_ASSERT(copies > 1);
        simulation.set_adapter("rhyme", 0, "2", 7);
        for (int i = 0; i < 40; ++i)
        {
            simulation.run_without_faults(1);
            CPPUNIT_ASSERT(simulation.reachable("rhyme", 0) >= copies - 1);
        }
        CPPUNIT_ASSERT(simulation.adapter_versions("rhyme") ==
                       (std::map<std::string, int>{{"2", copies}}));
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violations());
    }

    // Guards against an overcommit while adapter versions change and commands
    // for them are lost, delayed or duplicated.
    void faults_never_overcommit_memory_with_adapter_versions()
    {
        CPPUNIT_ASSERT(rc::check("faults and versions of adapters",
            []
            {
                simulated_region simulation(5);
                for (std::size_t i = 0; i < 5; ++i)
                    simulation.set_adapter("a" + std::to_string(i), i, "0", 7);
                simulation.demand(0);
                simulation.run_without_faults(below(12));
                for (int i = 0; i < 400; ++i)
                {
                    step(simulation, false);
                    if (below(10) == 0)
                    {
                        const auto which = below<std::size_t>(5);
                        simulation.set_adapter("a" + std::to_string(which),
                            which, std::to_string(below(3)), 5 + below(8));
                    }
                }
                RC_ASSERT(simulation.violations() == std::string());
            }));
    }

    void faults_never_overcommit_memory_or_lose_a_model()
    {
        CPPUNIT_ASSERT(rc::check("faults of network, store and holders",
            []
            {
                simulated_region simulation(5);
                simulation.demand(0);
                simulation.run_without_faults(below(12));
                for (int i = 0; i < 400; ++i)
                    step(simulation, false);
                RC_ASSERT(simulation.violations() == std::string());
            }));
    }

    // Only memory is checked, because a restart itself removes replicas.
    void engine_restarts_never_overcommit_memory()
    {
        CPPUNIT_ASSERT(rc::check("faults and engine restarts",
            []
            {
                simulated_region simulation(5);
                simulation.demand(0);
                for (int i = 0; i < 400; ++i)
                    step(simulation, true);
                const auto found = simulation.violations();
                RC_ASSERT(found.find("overcommitted") == std::string::npos);
            }));
    }

    // Guards against a delayed copy that takes effect after a restart. Engines
    // without fencing can't reject it, so only the others are checked.
    void late_copies_never_use_unaccounted_memory()
    {
        CPPUNIT_ASSERT(rc::check("copies that survive engine restarts",
            []
            {
                simulated_region simulation(5, true);
                simulation.demand(0);
                for (int i = 0; i < 400; ++i)
                {
                    step(simulation, true);
                    RC_ASSERT(!simulation.uses_unaccounted_memory());
                }
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(controller_test);

} // namespace tarragonquay::placement
