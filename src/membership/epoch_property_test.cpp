#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "membership/fleet_model_test.hpp"

namespace tarragonquay::membership
{

class epoch_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(epoch_property_test);
    CPPUNIT_TEST(no_old_share_serves_in_an_open_epoch);
    CPPUNIT_TEST_SUITE_END();

public:
    // Members that pause, are cut off, leave, restart and join at random, and
    // give shares to instances that are no members, while the platform's list
    // lags by up to a minute. In an open epoch, whoever
    // holds a view lease and has shares, as a member or as a guest, must have
    // applied the membership change that began the epoch; otherwise it serves
    // with a share that others were given.
    void no_old_share_serves_in_an_open_epoch()
    {
        const bool held = rc::check("old shares end before an epoch opens",
            []
            {
                const auto steps =
                    *rc::gen::container<std::vector<std::uint32_t>>(
                        80, rc::gen::resize(rc::kNominalSize,
                                rc::gen::arbitrary<std::uint32_t>()));
                fleet run;
                run.lists_ended = false;
                for (const auto* name : {"a", "b", "c"})
                    run.add(name);
                run.run(seconds(5));
                for (const auto each : steps)
                {
                    disturb(run, each & 0xf, (each >> 8) & 0xff);
                    for (auto i = (each >> 16) & 0xf; i > 0; --i)
                    {
                        run.run(step);
                        check_shares(run);
                    }
                }
                // Without further faults the epoch opens again.
                run.store_available = true;
                run.list_lag = duration::zero();
                run.add("f");
                for (auto& node : run.nodes)
                {
                    node->isolated = false;
                    node->reads_store = true;
                }
                for (int i = 0; i < 600; ++i)
                {
                    run.run(step);
                    check_shares(run);
                }
                RC_ASSERT(run.head().epoch_open);
            });
        CPPUNIT_ASSERT(held);
    }

private:
    static void check_shares(const fleet& run)
    {
        const auto head = run.head();
        for (const auto& node : run.nodes)
        {
            const auto& own = node->view.members;
            const bool holds_share =
                std::find(own.begin(), own.end(), node->self) != own.end() ||
                (node->guest_of > 0 && node->guest_of == node->view.epoch);
            RC_ASSERT(!head.epoch_open || !holds_share ||
                      node->view.epoch >= head.epoch ||
                      !node->lease->valid(run.clock.now()));
        }
    }

    static void disturb(fleet& run, std::uint32_t kind, std::uint32_t which)
    {
        auto& node = *run.nodes[which % run.nodes.size()];
        switch (kind)
        {
        case 0:
        case 1:
            node.isolated = !node.isolated;
            break;
        case 2:
        case 3:
            node.reads_store = !node.reads_store;
            break;
        case 4:
            run.store_available = !run.store_available;
            break;
        case 5:
            node.members->leave([&node] { node.running = false; });
            break;
        case 6:
            // A process that has ended can't serve.
            node.running = false;
            node.lease.emplace(
                clock_ref{&run.clock}, node.self.instance, "ended");
            break;
        case 7:
        {
            static constexpr std::array names{"a", "b", "c", "d", "e"};
            const std::string wanted = names[which % names.size()];
            const bool used = std::any_of(run.nodes.begin(), run.nodes.end(),
                [&](const auto& each) {
                    return each->running && each->self.instance.str() == wanted;
                });
            if (!used)
                run.add(wanted, static_cast<int>(run.nodes.size()) + 1);
            break;
        }
        case 8:
            run.list_lag = seconds(which % 64);
            break;
        case 9:
        case 10:
            // Can't join, as in an outage of the store.
            run.add("g" + std::to_string(run.nodes.size())).reads_store = false;
            run.run(seconds(1));
            break;
        case 11:
        case 12:
            for (auto& receiver : run.nodes)
                give(node, *receiver);
            break;
        default:
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(epoch_property_test);

} // namespace tarragonquay::membership
