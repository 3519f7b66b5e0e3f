// A program of its own, so that KNOWN-RED.txt can name it alone.

#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_system.hpp"

namespace tarragonquay::test_support
{

namespace
{

/// Time that the rules give the fleet until no request reaches an endpoint that
/// one gateway knows to be leaving.
constexpr milliseconds drain_time{2'000};
/// Longer than the test, so that the directory does not tell.
constexpr int row_lag_ms = 60'000;

} // namespace

class late_gateway_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_gateway_test);
    CPPUNIT_TEST(a_gateway_that_starts_learns_which_endpoints_leave);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that a gateway sends, as soon as it has read the
    // directory, to an endpoint that other gateways know to be leaving.
    void a_gateway_that_starts_learns_which_endpoints_leave()
    {
        gateway_system system;
        system.gateways[1]->kill();
        system.fault("s1", {{"leaving", {{"row_lag_ms", row_lag_ms},
                                            {"stays_ms", 0}, {"down_ms", 0}}}});
        CPPUNIT_ASSERT(eventually(
            [&] {
                return system.call(0, "/once/x").status == 200 &&
                       arrivals(system) > 0;
            }));
        std::this_thread::sleep_for(drain_time);
        const auto before = arrivals(system);
        system.start(1);
        int answered = 0;
        const bool enough = eventually(
            [&]
            {
                answered += system.call(1, "/once/x").status == 200 ? 1 : 0;
                return answered == 20;
            });
        CPPUNIT_ASSERT(enough);
        CPPUNIT_ASSERT_EQUAL(before, arrivals(system));
    }

private:
    static std::size_t arrivals(const gateway_system& system)
    {
        return fetch(system.platform->address("s1-admin"), "/admin/signals")
            .json()
            .at("arrivals")
            .size();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_gateway_test);

} // namespace tarragonquay::test_support
