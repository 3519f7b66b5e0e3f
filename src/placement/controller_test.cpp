#include "placement/controller.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "placement/engine_model_test.hpp"
#include "platform/fake_store.hpp"

namespace tarragonquay::placement
{
namespace
{

using namespace std::chrono_literals;
using test_controller =
    controller<platform::fake_store, fake_clock, command_network>;

constexpr std::int64_t capacity = 100;

// Two holders, engines of both kinds and a network that loses, delays,
// duplicates and reorders. Every random decision comes from RapidCheck.
class region
{
public:
    explicit region(std::size_t model_count = 4)
    {
        for (int i = 0; i < 4; ++i)
        {
            engines_.emplace_back("e" + std::to_string(i), capacity, i < 2);
            catalog::endpoint settings;
            settings.id = endpoint_id(engines_.back().id());
            settings.region = "r";
            settings.honours_fencing = i < 2;
            settings_.push_back(settings);
        }
        for (std::size_t i = 0; i < model_count; ++i)
            models_.push_back({model_id("m" + std::to_string(i)), "1", 40});
        for (const auto* name : {"a", "b"})
        {
            controller_settings own{"r", name, "1", {}};
            own.limits.loads_per_second = 5;
            own.limits.concurrent_loads = 4;
            own.limits.replica_tokens_per_second = 100;
            own.limits.least_residence_s = 1;
            holders_.push_back(std::make_unique<test_controller>(
                own, store_, clock_, network_));
            holders_.back()->update(settings_, models_, {});
        }
        queued_reports_.resize(holders_.size());
    }

    void demand(std::size_t hot)
    {
        std::vector<routing::demand_entry> all;
        for (std::size_t i = 0; i < models_.size(); ++i)
            all.push_back({models_[i].id, {}, 0, i == hot ? 250.0 : 5.0, 0,
                std::nullopt});
        for (auto& holder : holders_)
            holder->set_demand(all);
    }

    void tick(std::size_t holder) { holders_[holder]->tick(); }

    // Polls answer in order, but a holder may process them late.
    void poll(std::size_t holder)
    {
        for (const auto& engine : engines_)
            queued_reports_[holder].push_back(engine.report());
    }
    void take_reports(std::size_t holder)
    {
        for (const auto& each : std::exchange(queued_reports_[holder], {}))
            holders_[holder]->report(each);
    }

    void deliver(std::size_t pick, bool lose, bool keep, bool answer)
    {
        auto& copies = network_.copies();
        if (copies.empty())
            return;
        const auto index = pick % copies.size();
        auto copy = copies[index];
        if (!keep || lose)
            copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(index));
        if (lose)
            return copy.on_done(fail(error_code::connection_broken, "lost"));
        auto& engine = at(copy.command.endpoint);
        const auto before = ready_counts();
        const auto reply = engine.receive(copy.command);
        note_lost_replicas(before);
        if (answer && reply)
            copy.on_done(*reply);
    }

    void finish_loads()
    {
        for (auto& engine : engines_)
            engine.finish_loads();
    }
    void restart(std::size_t engine) { engines_[engine].restart(); }

    // One second of normal operation.
    void run_quietly(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
        {
            for (std::size_t h = 0; h < holders_.size(); ++h)
                tick(h);
            while (!network_.copies().empty())
                deliver(0, false, false, true);
            finish_loads();
            for (std::size_t h = 0; h < holders_.size(); ++h)
            {
                poll(h);
                take_reports(h);
            }
            clock_.advance(1s);
        }
    }

    std::string violations() const
    {
        std::string out = lost_;
        for (const auto& engine : engines_)
            if (engine.peak() > engine.capacity())
                out += engine.id() +
                       " overcommitted: " + std::to_string(engine.peak()) +
                       "; ";
        return out;
    }
    std::size_t ready_models() const
    {
        std::size_t count = 0;
        for (const auto& [model, replicas] : ready_counts())
            count += replicas > 0 ? 1 : 0;
        return count;
    }

    fake_clock clock_;
    platform::fake_store store_;
    command_network network_;
    std::vector<std::unique_ptr<test_controller>> holders_;

private:
    engine_model& at(const endpoint_id& id)
    {
        return *std::find_if(engines_.begin(), engines_.end(),
            [&](const engine_model& each) { return each.id() == id.str(); });
    }
    std::map<model_id, int> ready_counts() const
    {
        std::map<model_id, int> out;
        for (const auto& model : models_)
            for (const auto& engine : engines_)
                out[model.id] += engine.ready(model.id) ? 1 : 0;
        return out;
    }
    void note_lost_replicas(const std::map<model_id, int>& before)
    {
        const auto after = ready_counts();
        for (const auto& [model, count] : before)
            if (count > 0 && after.at(model) == 0)
                lost_ += model.str() + " lost its last replica; ";
    }

    std::vector<engine_model> engines_;
    std::vector<catalog::endpoint> settings_;
    std::vector<catalog::model> models_;
    std::vector<std::vector<routing::endpoint_report>> queued_reports_;
    std::string lost_;
};

// One random step of operation or fault.
void step(region& world, bool restarts)
{
    using fault = platform::fake_store::fault;
    const auto holder = *rc::gen::inRange<std::size_t>(0, 2);
    switch (*rc::gen::inRange(0, 13))
    {
    case 0:
    case 1:
    case 2:
        return world.tick(holder);
    case 3:
        return world.poll(holder);
    case 4:
    case 5:
        world.poll(holder);
        return world.take_reports(holder);
    case 6:
    case 7:
    case 8:
        return world.deliver(*rc::gen::inRange<std::size_t>(0, 50),
            *rc::gen::inRange(0, 8) == 0, *rc::gen::inRange(0, 4) == 0,
            *rc::gen::inRange(0, 4) != 0);
    case 9:
        world.finish_loads();
        return world.demand(*rc::gen::inRange<std::size_t>(0, 4));
    case 10:
        return world.store_.set_fault(*rc::gen::element(fault::none,
            fault::none, fault::none, fault::down, fault::answers_lost));
    case 11:
        world.clock_.advance(
            *rc::gen::element<duration>(100ms, 500ms, 1s, 1s, 2s, 4s, 11s));
        return;
    default:
        if (restarts && *rc::gen::inRange(0, 4) == 0)
            world.restart(*rc::gen::inRange<std::size_t>(0, 4));
        else
            world.clock_.advance(1s);
    }
}

} // namespace

class controller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(controller_test);
    CPPUNIT_TEST(first_holder_loads_each_model_once);
    CPPUNIT_TEST(another_instance_takes_over_after_silence);
    CPPUNIT_TEST(nothing_moves_while_the_store_is_down);
    CPPUNIT_TEST(intent_with_a_lost_answer_is_read_back_and_sent);
    CPPUNIT_TEST(faults_never_overcommit_memory_or_lose_a_model);
    CPPUNIT_TEST(engine_restarts_never_overcommit_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_holder_loads_each_model_once()
    {
        region world;
        world.demand(9);
        world.run_quietly(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), world.ready_models());
        CPPUNIT_ASSERT(world.holders_[0]->active());
        CPPUNIT_ASSERT(!world.holders_[1]->active());
        // Only the lease is left; all intents are concluded and erased.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.store_.rows().size());
    }

    void another_instance_takes_over_after_silence()
    {
        region world;
        world.run_quietly(5);
        for (int i = 0; i < 12; ++i)
        {
            world.tick(1);
            world.clock_.advance(1s);
        }
        world.tick(1);
        CPPUNIT_ASSERT(world.holders_[1]->active());
        world.tick(0);
        CPPUNIT_ASSERT(!world.holders_[0]->active());
    }

    void nothing_moves_while_the_store_is_down()
    {
        region world;
        world.run_quietly(1);
        world.store_.set_fault(platform::fake_store::fault::down);
        world.run_quietly(20);
        CPPUNIT_ASSERT(!world.holders_[0]->active());
        world.store_.set_fault(platform::fake_store::fault::none);
        world.run_quietly(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), world.ready_models());
    }

    void intent_with_a_lost_answer_is_read_back_and_sent()
    {
        region world(1);
        world.tick(0);
        world.tick(0);
        for (int i = 0; i < 2; ++i)
        {
            world.poll(0);
            world.take_reports(0);
        }
        world.store_.set_fault(platform::fake_store::fault::answers_lost);
        world.tick(0);
        CPPUNIT_ASSERT(world.network_.copies().empty());
        world.store_.set_fault(platform::fake_store::fault::none);
        world.clock_.advance(1s);
        for (int i = 0; i < 3; ++i)
            world.tick(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.network_.copies().size());
    }

    void faults_never_overcommit_memory_or_lose_a_model()
    {
        CPPUNIT_ASSERT(rc::check("faults of network, store and holders",
            []
            {
                region world;
                world.demand(0);
                world.run_quietly(*rc::gen::inRange(0, 8));
                for (int i = 0; i < 150; ++i)
                    step(world, false);
                RC_ASSERT(world.violations() == std::string());
            }));
    }

    // A restart itself takes replicas away, so only memory is checked.
    void engine_restarts_never_overcommit_memory()
    {
        CPPUNIT_ASSERT(rc::check("faults and engine restarts",
            []
            {
                region world;
                world.demand(0);
                for (int i = 0; i < 200; ++i)
                    step(world, true);
                const auto found = world.violations();
                RC_ASSERT(found.find("overcommitted") == std::string::npos);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(controller_test);

} // namespace tarragonquay::placement
