#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "fleet/relay_choice.hpp"
#include "support/gateway_system.hpp"

namespace tarragonquay::test_support
{
namespace
{

using clock = std::chrono::steady_clock;

/// A change takes effect this long after its acknowledgement, once the fleet
/// has noticed a disturbance.
constexpr milliseconds apply_time{2'000};
/// The fleet notices a disturbance of the store within this time.
constexpr milliseconds notice_time{5'000};
/// Instances are in contact with the store again this long after a disruption.
constexpr milliseconds contact_time{3'000};
/// Three relays; all instances are in one availability zone.
constexpr int fleet_size = 60;
/// The instances find each other and spread their calls.
constexpr milliseconds settling_time{6'000};

/// The gateways that the whole fleet chooses as its relays.
std::set<int> relays()
{
    std::vector<fleet::member> members;
    for (int i = 0; i < fleet_size; ++i)
    {
        fleet::member each;
        each.id = instance_id(fmt::format("i{}", i));
        each.availability_zone = "z1";
        each.ready = true;
        members.push_back(each);
    }
    std::set<int> out;
    for (const auto& id : fleet::relays_of_zone(members, "z1", {}))
        out.insert(std::stoi(id.str().substr(1)));
    return out;
}

std::set<int> every_third()
{
    std::set<int> out;
    for (int i = 0; i < fleet_size; i += 3)
        out.insert(i);
    return out;
}

/// A fleet with relays, a part of which the store turns away at times.
class divided_fleet
{
public:
    explicit divided_fleet(std::set<int> apart)
        : system_(fleet_size, 2, 0, std::move(apart))
    {
        std::this_thread::sleep_for(settling_time);
    }

    void turn_away(const std::string& how)
    {
        system_.turn_away(how);
        how_ = how.empty() ? "served again" : how;
        disturbed_at_ = clock::now();
    }

    /// Adds a key and asserts that all gateways accept it within `apply_time`,
    /// or within `notice` of the disturbance.
    void change_and_check(milliseconds notice)
    {
        const auto key = fmt::format("key-{}", version_ += 2);
        auto next = make_configuration(version_);
        next["tenants"][0]["api_keys"] = {"k1", key};
        system_.configure(next);
        const auto due =
            std::max(disturbed_at_ + notice, clock::now() + apply_time);
        std::set<int> waiting;
        for (int i = 0; i < fleet_size; ++i)
            waiting.insert(i);
        bool last = false;
        while (!waiting.empty() && !last)
        {
            last = clock::now() >= due;
            std::erase_if(waiting, [&](int i)
                { return system_.call(i, "/safe/x", {}, key).status == 200; });
        }
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{}: {} instances lack version {} {} ms after the "
                        "disturbance",
                how_, waiting.size(), version_,
                std::chrono::duration_cast<milliseconds>(
                    clock::now() - disturbed_at_)
                    .count()),
            waiting.empty());
    }

private:
    gateway_system system_;
    int version_ = 3;
    std::string how_;
    clock::time_point disturbed_at_{};
};

} // namespace

/// Changes of the configuration while the store turns some instances away.
class turned_away_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(turned_away_test);
    CPPUNIT_TEST(a_change_takes_effect_while_a_third_is_turned_away);
    CPPUNIT_TEST(a_change_takes_effect_while_all_relays_are_turned_away);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_change_takes_effect_while_a_third_is_turned_away()
    {
        change_configurations(every_third());
    }

    // Guards against relays that all lack the store and count as working until
    // the last of their open calls has ended.
    void a_change_takes_effect_while_all_relays_are_turned_away()
    {
        auto apart = every_third();
        apart.merge(relays());
        change_configurations(std::move(apart));
    }

private:
    static void change_configurations(std::set<int> apart)
    {
        divided_fleet fleet(std::move(apart));
        for (const auto* how : {"silent", "many"})
        {
            fleet.turn_away(how);
            std::this_thread::sleep_for(milliseconds(300));
            for (int i = 0; i < 4; ++i)
                fleet.change_and_check(notice_time);
            fleet.turn_away("");
            fleet.change_and_check(contact_time);
            std::this_thread::sleep_for(contact_time);
            fleet.change_and_check(contact_time);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(turned_away_test);

} // namespace tarragonquay::test_support
