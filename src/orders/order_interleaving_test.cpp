#include "orders/order_test_support.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay::orders
{

using namespace testing;

namespace
{

// Runs one random schedule: three instances repeat one order while store calls
// are delayed, answers are lost, the store is down and instances crash.
void check_interleaving()
{
    shared_state shared;
    std::vector<std::unique_ptr<instance>> instances;
    instances.reserve(3);
    for (int i = 0; i < 3; ++i)
        instances.push_back(
            std::make_unique<instance>(shared, "i" + std::to_string(i)));
    int dispatches = 0;
    // Per caller: whether it was refused as not_run, and whether it was
    // dispatched.
    std::map<int, bool> refused;
    std::map<int, bool> dispatched;
    int callers = 0;
    // Permits of instances that are paused before the dispatch.
    std::vector<std::function<void()>> paused;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        400, rc::gen::pair(rc::gen::inRange(0, 24), rc::gen::inRange(0, 1000)));
    for (const auto& step : steps)
    {
        const int action = step.first;
        const int choice = step.second;
        auto& at = instances[static_cast<std::size_t>(choice) % 3];
        const int caller = callers;
        switch (action)
        {
        case 0:
        case 1:
            ++callers;
            at->book.begin(make_call(shared),
                [&, caller, choice, book = &at->book](
                    result<begin_outcome> outcome)
                {
                    if (!outcome)
                    {
                        refused[caller] = outcome.error().execution() ==
                                          execution_state::not_run;
                        return;
                    }
                    auto* permit = std::get_if<dispatch_permit>(&*outcome);
                    if (permit == nullptr)
                        return;
                    const int permit_use = choice / 3 % 4;
                    if (permit_use == 0)
                        return book->mark_not_run(*permit, ignore);
                    if (permit_use == 3)
                        return paused.push_back(
                            [&, caller, book, permit = *permit]
                            {
                                if (!book->check(permit))
                                    return book->mark_not_run(permit, ignore);
                                ++dispatches;
                                dispatched[caller] = true;
                            });
                    ++dispatches;
                    dispatched[caller] = true;
                    if (permit_use == 1)
                        book->mark_unknown(*permit, ignore);
                    if (permit_use == 2)
                        book->complete(
                            *permit, {200, "text/plain", "ok"}, ignore);
                });
            break;
        case 2:
            shared.store.set_fault(
                static_cast<store::fake_store::fault>(choice / 3 % 3));
            break;
        case 3:
            shared.clock.advance(std::chrono::milliseconds(choice * 10));
            break;
        case 4:
            // A crash loses everything except rows and outstanding calls.
            if (choice % 5 == 0)
            {
                const auto name = "i" + std::to_string(choice % 3);
                shared.remove(name);
            }
            break;
        case 7:
            if (!paused.empty())
            {
                const auto resumed = std::move(paused.front());
                paused.erase(paused.begin());
                resumed();
            }
            break;
        case 8:
            // An operator resolves an order that has not run.
            at->book.show(workspace_id("w"), "key",
                [&, book = &at->book](auto shown)
                {
                    if (shown && dispatches == 0)
                        book->resolve(workspace_id("w"), "key", shown->version,
                            resolution::did_not_run, "ana", [](auto) {});
                });
            break;
        case 5:
        case 6:
            at->run_timer();
            break;
        default:
            at->calls.run(static_cast<std::size_t>(choice / 3));
            break;
        }
        RC_ASSERT(dispatches <= 1);
        for (const auto& [refused_caller, was_refused] : refused)
            RC_ASSERT(!(was_refused && dispatched[refused_caller]));
    }
}

} // namespace

class order_interleaving_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_interleaving_test);
    CPPUNIT_TEST(at_most_one_dispatch_and_none_after_a_not_run_refusal);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second dispatch of a record, and against the dispatch of
    // an attempt that was refused as not_run.
    void at_most_one_dispatch_and_none_after_a_not_run_refusal()
    {
        CPPUNIT_ASSERT(rc::check("at most one dispatch", check_interleaving));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_interleaving_test);

} // namespace tarragonquay::orders
