#include "gateway/fleet_reports.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::gateway
{
namespace
{

using namespace std::chrono_literals;

const workspace_id acme("acme");
const endpoint_id engine("e1");
const instance_id first("i1");
const instance_id second("i2");
const instance_id relay("r2");

fleet_report report(double admitted, std::int64_t requests = 0,
    std::int64_t incarnation = 1, std::int64_t instances = 1)
{
    fleet_report out;
    out.incarnation = incarnation;
    out.instances = instances;
    out.demands = {{acme, 10, admitted}};
    if (requests > 0)
        out.loads = {{engine, {100 * requests, requests}}};
    return out;
}

double admitted(const fleet_report& of)
{
    return of.demands.empty() ? 0 : of.demands.front().admitted_units;
}

std::int64_t requests(const fleet_report& of)
{
    return of.loads.empty() ? 0 : of.loads.front().second.requests;
}

} // namespace

class fleet_reports_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_reports_test);
    CPPUNIT_TEST(a_receiver_gets_the_sums_over_all_others);
    CPPUNIT_TEST(another_relay_gets_the_sums_of_the_group_alone);
    CPPUNIT_TEST(counts_do_not_jump_when_members_come_restart_and_go);
    CPPUNIT_TEST(a_silent_member_has_no_load);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that counts its own requests twice, once as
    // its own and once in the sums of its relay.
    void a_receiver_gets_the_sums_over_all_others()
    {
        fleet_reports tested;
        tested.put_member(first, report(0, 1), now_);
        tested.put_member(second, report(0, 2), now_);
        tested.put_group(relay, report(0, 4, 1, 20), now_);
        const auto told = tested.sums_excluding(first);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), requests(told));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(21), told.instances);
    }

    // Guards against load that two relays send each other in circles.
    void another_relay_gets_the_sums_of_the_group_alone()
    {
        fleet_reports tested;
        tested.put_member(first, report(0, 1), now_);
        tested.put_group(relay, report(0, 4, 1, 20), now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), requests(tested.group_sums()));
    }

    // Guards against a limit that takes the whole history of a member as
    // admitted just now, and then refuses for a long time.
    void counts_do_not_jump_when_members_come_restart_and_go()
    {
        fleet_reports tested;
        tested.put_member(first, report(1'000), now_);
        tested.put_member(second, report(5'000), now_);
        CPPUNIT_ASSERT_EQUAL(0.0, admitted(tested.sums_excluding(first)));
        tested.put_member(second, report(5'100), now_);
        CPPUNIT_ASSERT_EQUAL(100.0, admitted(tested.sums_excluding(first)));
        // The process starts anew.
        tested.put_member(second, report(40, 0, 2), now_);
        CPPUNIT_ASSERT_EQUAL(100.0, admitted(tested.sums_excluding(first)));
        // It falls silent, and returns later.
        tested.expire(now_ + 2s);
        CPPUNIT_ASSERT_EQUAL(100.0, admitted(tested.sums_excluding(first)));
        tested.put_member(second, report(900, 0, 2), now_ + 3s);
        tested.put_member(second, report(950, 0, 2), now_ + 3s);
        CPPUNIT_ASSERT_EQUAL(150.0, admitted(tested.sums_excluding(first)));
    }

    // Guards against engines that are avoided for the load of an instance
    // that has died.
    void a_silent_member_has_no_load()
    {
        fleet_reports tested;
        tested.put_member(first, report(0, 1), now_);
        tested.put_member(second, report(0, 2), now_ + 1s);
        tested.expire(now_ + 2s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), requests(tested.group_sums()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tested.members().size());
    }

private:
    time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_reports_test);

} // namespace tarragonquay::gateway
