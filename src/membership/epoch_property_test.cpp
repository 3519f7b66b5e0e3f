#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "membership/fleet_model_test.hpp"

namespace tarragonquay::membership
{

class epoch_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(epoch_property_test);
    CPPUNIT_TEST(no_share_of_an_earlier_epoch_serves_in_an_open_epoch);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that serves with shares of an earlier epoch,
    // which other instances have received since. Instances are isolated, leave,
    // restart, join and give shares to non-members at random, and the
    // platform's list is delayed by up to a minute. In an open epoch, each
    // member or guest with shares and a view lease must have applied the
    // membership change that started the epoch.
    void no_share_of_an_earlier_epoch_serves_in_an_open_epoch()
    {
        const bool held = rc::check("old shares end before an epoch opens",
            []
            {
                const auto steps =
                    *rc::gen::container<std::vector<std::uint32_t>>(
                        80, rc::gen::resize(rc::kNominalSize,
                                rc::gen::arbitrary<std::uint32_t>()));
                fleet model;
                model.lists_ended = false;
                for (const auto* name : {"a", "b", "c"})
                    model.add(name);
                model.run(seconds(5));
                for (const auto each : steps)
                {
                    inject_fault(model, each & 0xf, (each >> 8) & 0xff);
                    for (auto i = (each >> 16) & 0xf; i > 0; --i)
                    {
                        model.run(tick_interval);
                        check_shares(model);
                    }
                }
                // The epoch opens again once the faults have ended.
                model.store_available = true;
                model.list_lag = duration::zero();
                model.add("f");
                for (auto& node : model.nodes)
                {
                    node->isolated = false;
                    node->reads_store = true;
                }
                for (int i = 0; i < 600; ++i)
                {
                    model.run(tick_interval);
                    check_shares(model);
                }
                RC_ASSERT(model.head().epoch_open);
            });
        CPPUNIT_ASSERT(held);
    }

private:
    static void check_shares(const fleet& model)
    {
        const auto head = model.head();
        for (const auto& node : model.nodes)
        {
            const auto& own = node->view.members;
            const bool holds_share =
                std::find(own.begin(), own.end(), node->self) != own.end() ||
                (node->guest_epoch > 0 &&
                    node->guest_epoch == node->view.epoch);
            RC_ASSERT(!head.epoch_open || !holds_share ||
                      node->view.epoch >= head.epoch ||
                      !node->lease->valid(model.clock.now()));
        }
    }

    static void inject_fault(
        fleet& model, std::uint32_t kind, std::uint32_t choice)
    {
        auto& node = *model.nodes[choice % model.nodes.size()];
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
            model.store_available = !model.store_available;
            break;
        case 5:
            node.members->leave([&node] { node.running = false; });
            break;
        case 6:
            // The process ends, so it holds no lease.
            node.running = false;
            node.lease.emplace(
                clock_ref{&model.clock}, node.self.instance, "ended");
            break;
        case 7:
        {
            static constexpr std::array names{"a", "b", "c", "d", "e"};
            const std::string wanted = names[choice % names.size()];
            const bool used = std::any_of(model.nodes.begin(),
                model.nodes.end(),
                [&](const auto& each) {
                    return each->running && each->self.instance.str() == wanted;
                });
            if (!used)
                model.add(wanted, static_cast<int>(model.nodes.size()) + 1);
            break;
        }
        case 8:
            model.list_lag = seconds(choice % 64);
            break;
        case 9:
        case 10:
            // Can't join, as during an outage of the store.
            model.add("g" + std::to_string(model.nodes.size())).reads_store =
                false;
            model.run(seconds(1));
            break;
        case 11:
        case 12:
            for (auto& receiver : model.nodes)
                give_shares(node, *receiver);
            break;
        default:
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(epoch_property_test);

} // namespace tarragonquay::membership
