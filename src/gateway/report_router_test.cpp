#include "gateway/report_router.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "fleet/relay_choice.hpp"

namespace tarragonquay::gateway
{
namespace
{

using namespace std::chrono_literals;

fleet::member make_member(const std::string& id, double processor_share)
{
    fleet::member out;
    out.id = instance_id(id);
    out.incarnation = 1;
    out.availability_zone = id.substr(0, 1);
    out.ready = true;
    out.processor_share = processor_share;
    return out;
}

} // namespace

class report_router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(report_router_test);
    CPPUNIT_TEST(a_small_fleet_has_no_relays);
    CPPUNIT_TEST(a_silent_relay_is_replaced_after_its_timeout);
    CPPUNIT_TEST(a_relay_reports_to_the_relays_of_all_zones);
    CPPUNIT_TEST_SUITE_END();

    fleet::roster make_roster(const std::string& self, int zone_size)
    {
        fleet::roster out(make_member(self, 0.12));
        for (const auto* zone : {"a", "b"})
        {
            out.record_direct(
                make_member(zone + std::string("big1"), 0.5), now_);
            out.record_direct(
                make_member(zone + std::string("big2"), 0.5), now_);
            for (int i = 0; i < zone_size; ++i)
                out.record_direct(
                    make_member(zone + std::to_string(i), 0.12), now_);
        }
        return out;
    }

public:
    // Guards against relays in a small deployment, where they would only delay
    // reports.
    void a_small_fleet_has_no_relays()
    {
        report_router tested;
        tested.update(make_roster("a0", 2), now_);
        CPPUNIT_ASSERT(!tested.relayed());
        CPPUNIT_ASSERT(tested.relay().empty());
    }

    // Guards against instances that send to an endpoint that has left because
    // their relay died before it forwarded the change.
    void a_silent_relay_is_replaced_after_its_timeout()
    {
        report_router tested;
        const auto known = make_roster("a0", 10);
        tested.update(known, now_);
        const auto first = tested.relay();
        CPPUNIT_ASSERT(first.str().starts_with("abig"));
        now_ += 500ms;
        tested.update(known, now_);
        CPPUNIT_ASSERT(first == tested.relay());
        now_ += 300ms;
        tested.update(known, now_);
        const auto second = tested.relay();
        CPPUNIT_ASSERT(second != first);
        CPPUNIT_ASSERT(second.str().starts_with("abig"));
        tested.note_relay_heard(now_);
        now_ += 500ms;
        tested.update(known, now_);
        CPPUNIT_ASSERT(second == tested.relay());
    }

    // Guards against zones that do not receive each other's load.
    void a_relay_reports_to_the_relays_of_all_zones()
    {
        report_router tested;
        const auto known = make_roster("a0", 10);
        tested.update(known, now_);
        CPPUNIT_ASSERT(!tested.acts_as_relay());
        tested.reports().put_member(instance_id("a1"), {}, now_);
        tested.reports().put_group(instance_id("b3"), {}, now_);
        tested.update(known, now_);
        CPPUNIT_ASSERT(tested.acts_as_relay());
        bool other_zone = false;
        bool replaced = false;
        for (const auto& each : tested.other_relays())
        {
            other_zone = other_zone || each.str().starts_with("bbig");
            replaced = replaced || each == instance_id("b3");
        }
        CPPUNIT_ASSERT(other_zone);
        CPPUNIT_ASSERT(replaced);
    }

private:
    time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(report_router_test);

} // namespace tarragonquay::gateway
