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

double admitted(const fleet_report& sums)
{
    return sums.demands.empty() ? 0 : sums.demands.front().admitted_units;
}

std::int64_t requests(const fleet_report& sums)
{
    return sums.loads.empty() ? 0 : sums.loads.front().second.requests;
}

} // namespace

class fleet_reports_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_reports_test);
    CPPUNIT_TEST(receiver_gets_sums_over_all_other_instances);
    CPPUNIT_TEST(other_relays_get_sums_of_the_own_group_only);
    CPPUNIT_TEST(admitted_units_do_not_jump_on_join_restart_or_timeout);
    CPPUNIT_TEST(expired_member_contributes_no_load);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that counts its own requests twice: locally
    // and in the sums from its relay.
    void receiver_gets_sums_over_all_other_instances()
    {
        fleet_reports tested;
        tested.put_member(first, report(0, 1), now_);
        tested.put_member(second, report(0, 2), now_);
        tested.put_group(relay, report(0, 4, 1, 20), now_);
        const auto sums = tested.sums_excluding(first);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), requests(sums));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(21), sums.instances);
    }

    // Guards against two relays that report the same load back and forth.
    void other_relays_get_sums_of_the_own_group_only()
    {
        fleet_reports tested;
        tested.put_member(first, report(0, 1), now_);
        tested.put_group(relay, report(0, 4, 1, 20), now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), requests(tested.group_sums()));
    }

    // Guards against a limiter that counts all units a member ever admitted as
    // admitted just now, and then rejects requests for a long time.
    void admitted_units_do_not_jump_on_join_restart_or_timeout()
    {
        fleet_reports tested;
        tested.put_member(first, report(1'000), now_);
        tested.put_member(second, report(5'000), now_);
        CPPUNIT_ASSERT_EQUAL(0.0, admitted(tested.sums_excluding(first)));
        tested.put_member(second, report(5'100), now_);
        CPPUNIT_ASSERT_EQUAL(100.0, admitted(tested.sums_excluding(first)));
        // The process restarts.
        tested.put_member(second, report(40, 0, 2), now_);
        CPPUNIT_ASSERT_EQUAL(100.0, admitted(tested.sums_excluding(first)));
        // It times out and reports again later.
        tested.expire(now_ + 2s);
        CPPUNIT_ASSERT_EQUAL(100.0, admitted(tested.sums_excluding(first)));
        tested.put_member(second, report(900, 0, 2), now_ + 3s);
        tested.put_member(second, report(950, 0, 2), now_ + 3s);
        CPPUNIT_ASSERT_EQUAL(150.0, admitted(tested.sums_excluding(first)));
    }

    // Guards against avoiding engines because of load reported by an instance
    // that has died.
    void expired_member_contributes_no_load()
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
