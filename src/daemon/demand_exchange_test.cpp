#include "daemon/demand_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::daemon
{

class demand_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(demand_exchange_test);
    CPPUNIT_TEST(demand_of_instances_is_summed);
    CPPUNIT_TEST(old_reports_are_left_out);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<routing::demand_entry> one_entry(
        std::int64_t waiting, std::optional<time_point> since)
    {
        routing::demand_entry entry;
        entry.model = model_id("m");
        entry.tokens_per_second = 10;
        entry.waiting = waiting;
        entry.waiting_since = since;
        return {entry};
    }

public:
    // Guards against a placement that considers only the demand of the lease
    // holder.
    void demand_of_instances_is_summed()
    {
        const fake_clock clock;
        const auto now = clock.now();
        demand_exchange exchange;
        const auto since = now - std::chrono::seconds(2);
        exchange.receive(instance_id("i2"),
            demand_exchange::encode(one_entry(3, since), now), now);
        const auto total = exchange.total(one_entry(0, std::nullopt), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), total.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), total.front().waiting);
        CPPUNIT_ASSERT_EQUAL(20.0, total.front().tokens_per_second);
        CPPUNIT_ASSERT(total.front().waiting_since == since);
    }

    void old_reports_are_left_out()
    {
        fake_clock clock;
        demand_exchange exchange;
        exchange.receive(instance_id("i2"),
            demand_exchange::encode(one_entry(3, clock.now()), clock.now()),
            clock.now());
        clock.advance(std::chrono::seconds(6));
        CPPUNIT_ASSERT(exchange.total({}, clock.now()).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(demand_exchange_test);

} // namespace tarragonquay::daemon
