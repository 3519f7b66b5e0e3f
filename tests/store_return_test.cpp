#include <chrono>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

using clock = std::chrono::steady_clock;

/// Instances are in contact with the store again this long after a disruption.
constexpr milliseconds contact_time{3'000};
/// No request reaches an endpoint this long after its row was removed.
constexpr milliseconds drain_time{2'000};
/// Longer than endpoints need to lose their rows.
constexpr milliseconds outage_time{4'000};
/// Long enough for each endpoint to get requests.
constexpr milliseconds use_time{500};
/// So many that some of them wait for changes longer than `contact_time`.
constexpr int gateways = 7;

std::size_t arrivals(const gateway_system& system, const std::string& endpoint)
{
    return fetch(
        system.platform->address(endpoint + "-admin"), "/admin/signals")
        .json()
        .at("arrivals")
        .size();
}

void call_until(gateway_system& system, clock::time_point end)
{
    while (clock::now() < end)
        for (int i = 0; i < gateways; ++i)
            system.call(i, "/once/x");
}

} // namespace

/// Changes that follow some seconds after an outage of the store.
class store_return_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_return_test);
    CPPUNIT_TEST(an_endpoint_that_leaves_after_an_outage_gets_no_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an outage that lasts, for the gateways, until the next
    // change of the directory: they kept the endpoint that this change removes,
    // as one whose entry had expired while the store was away.
    void an_endpoint_that_leaves_after_an_outage_gets_no_requests()
    {
        gateway_system system(gateways);
        system.disturb_store({{"drop_new", true}, {"cut_all", true}});
        std::this_thread::sleep_for(outage_time);
        system.disturb_store({{"heal", true}});
        std::this_thread::sleep_for(contact_time - use_time);
        call_until(system, clock::now() + use_time);
        CPPUNIT_ASSERT(arrivals(system, "s1") > 0);
        system.put("servers", "s1", nullptr);
        const auto due = clock::now() + drain_time;
        call_until(system, due);
        const auto before = arrivals(system, "s1");
        call_until(system, due + milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(before, arrivals(system, "s1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_return_test);

} // namespace tarragonquay::test_support
