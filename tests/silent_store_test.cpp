#include <algorithm>
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
/// A change takes effect this long after its acknowledgement.
constexpr milliseconds apply_time{2'000};

/// Waits before the connections go silent, counted from the previous change,
/// and before the change, counted from the silence.
struct moments
{
    milliseconds before_silence;
    milliseconds before_change;
};

constexpr moments configuration_moments[] = {
    {milliseconds(400), milliseconds(3'500)},
    {milliseconds(0), milliseconds(0)},
    {milliseconds(5'300), milliseconds(1'500)},
    {milliseconds(2'100), milliseconds(3'000)}};

/// Gateways whose open connections to the store can go silent for good, while
/// new ones work.
class silent_store
{
public:
    explicit silent_store(int gateways) : gateways_(gateways), system_(gateways)
    {
    }

    void change_configuration(const moments& at)
    {
        std::this_thread::sleep_for(at.before_silence);
        silence();
        std::this_thread::sleep_for(at.before_change);
        auto next = make_configuration(version_ += 2);
        const auto key = fmt::format("key-{}", version_);
        next["tenants"][0]["api_keys"] = {"k1", key};
        system_.configure(next);
        wait_until_due();
        for (int i = 0; i < gateways_; ++i)
            assert_status(i, key, 200);
    }

    void withdraw_endpoints(const moments& at)
    {
        std::this_thread::sleep_for(at.before_silence);
        silence();
        std::this_thread::sleep_for(at.before_change);
        for (const auto* id : {"s1", "s2"})
            system_.put("servers", id,
                {{"service", "orders"}, {"address", "127.0.0.1:9"},
                    {"zone", "z1"}, {"version", "v1"}, {"slots", 4},
                    {"state", "draining"}, {"born", 1}, {"sequence", 0},
                    {"models", json::array()}});
        wait_until_due();
        for (int i = 0; i < gateways_; ++i)
            assert_status(i, "k1", 503);
    }

private:
    void silence()
    {
        system_.disturb_store({{"freeze_open", "both"}});
        silent_at_ = clock::now();
    }

    void wait_until_due() const
    {
        std::this_thread::sleep_until(
            std::max(silent_at_ + contact_time, clock::now()) + apply_time);
    }

    void assert_status(int gateway, const std::string& key, int expected)
    {
        const auto reply = system_.call(gateway, "/safe/x", {}, key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            fmt::format("instance {} of {}, {} ms after the silence", gateway,
                gateways_,
                std::chrono::duration_cast<milliseconds>(
                    clock::now() - silent_at_)
                    .count()),
            expected, reply.status);
    }

    const int gateways_;
    gateway_system system_;
    int version_ = 3;
    clock::time_point silent_at_{};
};

} // namespace

/// Connections to the store that go silent without a reset.
class silent_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_store_test);
    CPPUNIT_TEST(a_configuration_takes_effect_in_a_small_fleet);
    CPPUNIT_TEST(a_configuration_takes_effect_in_a_fleet);
    CPPUNIT_TEST(a_configuration_takes_effect_in_a_fleet_with_relays);
    CPPUNIT_TEST(a_change_of_the_directory_takes_effect);
    CPPUNIT_TEST(a_change_of_the_directory_takes_effect_with_relays);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against instances that act on an old configuration until a feed
    // call of the longest wait has ended.
    void a_configuration_takes_effect_in_a_small_fleet()
    {
        change_configurations(2);
    }

    void a_configuration_takes_effect_in_a_fleet() { change_configurations(7); }

    void a_configuration_takes_effect_in_a_fleet_with_relays()
    {
        change_configurations(relayed_fleet);
    }

    // Guards against requests to endpoints that have left, as long as the feed
    // of the directory is silent, too.
    void a_change_of_the_directory_takes_effect()
    {
        for (const int gateways : {2, 7})
            withdraw_endpoints(gateways);
    }

    void a_change_of_the_directory_takes_effect_with_relays()
    {
        withdraw_endpoints(relayed_fleet);
    }

private:
    /// More than nine instances use relays.
    static constexpr int relayed_fleet = 12;

    static void change_configurations(int gateways)
    {
        silent_store system(gateways);
        // The instances find each other and spread their calls.
        std::this_thread::sleep_for(milliseconds(3'000));
        for (const auto& each : configuration_moments)
            system.change_configuration(each);
    }

    static void withdraw_endpoints(int gateways)
    {
        silent_store system(gateways);
        std::this_thread::sleep_for(milliseconds(3'000));
        system.withdraw_endpoints({milliseconds(400), milliseconds(0)});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_store_test);

} // namespace tarragonquay::test_support
