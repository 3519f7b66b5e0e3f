#include "routing/queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::routing
{
namespace
{

const request_filter any = [](const queued_request&) { return true; };

queued_request item(const std::string& workspace, std::int64_t cost,
    priority level = priority::normal, std::uint64_t ticket = 0)
{
    queued_request out;
    out.ticket = ticket;
    out.spec.workspace = workspace_id(workspace);
    out.spec.cost_tokens = cost;
    out.spec.priority = level;
    return out;
}

} // namespace

class queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(queue_test);
    CPPUNIT_TEST(workspaces_get_equal_tokens);
    CPPUNIT_TEST(idle_workspace_is_served_next);
    CPPUNIT_TEST(emptying_a_flow_does_not_increase_its_share);
    CPPUNIT_TEST(priority_orders_only_within_a_workspace);
    CPPUNIT_TEST(full_queue_evicts_the_largest_workspace);
    CPPUNIT_TEST(blocked_request_does_not_hold_up_others);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fairness by number of requests instead of tokens: the
    // costs differ tenfold.
    void workspaces_get_equal_tokens()
    {
        fair_queue queue(10000);
        for (int i = 0; i < 1000; ++i)
            queue.push(item("large", 2000));
        for (int i = 0; i < 1000; ++i)
            queue.push(item("small", 200));
        std::map<std::string, std::int64_t> tokens;
        for (int i = 0; i < 500; ++i)
        {
            const auto next = queue.pop(any);
            tokens[next->spec.workspace.str()] += next->spec.cost_tokens;
        }
        const auto difference = tokens["large"] - tokens["small"];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(difference),
            difference <= 4000 && difference >= -4000);
    }

    // Guards against a workspace with little traffic that waits several rounds
    // behind a busy one because its request is expensive.
    void idle_workspace_is_served_next()
    {
        fair_queue queue(100);
        for (int i = 0; i < 10; ++i)
            queue.push(item("heavy", 1200, priority::normal, 1));
        for (int i = 0; i < 5; ++i)
            queue.pop(any);
        queue.push(item("light", 3000, priority::normal, 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), queue.pop(any)->ticket);
    }

    // Guards against a workspace that gets more than its share by never having
    // two requests in the queue.
    void emptying_a_flow_does_not_increase_its_share()
    {
        fair_queue queue(1000);
        for (int i = 0; i < 100; ++i)
            queue.push(item("backlogged", 100));
        std::map<std::string, int> served;
        for (int i = 0; i < 40; ++i)
        {
            queue.push(item("single", 300));
            ++served[queue.pop(any)->spec.workspace.str()];
            queue.remove_if([](const queued_request& each)
                { return each.spec.workspace.str() == "single"; });
        }
        CPPUNIT_ASSERT_EQUAL(10, served["single"]);
        CPPUNIT_ASSERT_EQUAL(30, served["backlogged"]);
    }

    void priority_orders_only_within_a_workspace()
    {
        fair_queue queue(100);
        queue.push(item("a", 1000, priority::batch, 1));
        queue.push(item("a", 1000, priority::interactive, 2));
        queue.push(item("b", 1000, priority::batch, 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), queue.pop(any)->ticket);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), queue.pop(any)->ticket);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), queue.pop(any)->ticket);
    }

    void full_queue_evicts_the_largest_workspace()
    {
        fair_queue queue(2);
        queue.push(item("a", 100, priority::normal, 1));
        queue.push(item("a", 100, priority::normal, 2));
        const auto evicted = queue.push(item("b", 100, priority::normal, 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), evicted->ticket);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), queue.size());
    }

    void blocked_request_does_not_hold_up_others()
    {
        fair_queue queue(10);
        queue.push(item("a", 100, priority::interactive, 1));
        queue.push(item("a", 100, priority::normal, 2));
        const auto next = queue.pop(
            [](const queued_request& each) { return each.ticket != 1; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), next->ticket);
        CPPUNIT_ASSERT(!queue.pop([](const queued_request&) { return false; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_test);

} // namespace tarragonquay::routing
