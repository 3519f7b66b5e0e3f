#include "fleet/relay_choice.hpp"

#include <algorithm>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::fleet
{
namespace
{

std::vector<member> make_zone(std::size_t size, const std::string& zone = "a")
{
    std::vector<member> out;
    for (std::size_t i = 0; i < size; ++i)
    {
        member each;
        each.id = instance_id(zone + std::to_string(i));
        each.availability_zone = zone;
        each.ready = true;
        each.processor_share = 0.12;
        out.push_back(each);
    }
    return out;
}

} // namespace

class relay_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_choice_test);
    CPPUNIT_TEST(ready_and_larger_instances_are_preferred);
    CPPUNIT_TEST(excluded_relay_is_replaced_and_the_others_stay);
    CPPUNIT_TEST(instances_per_relay_are_bounded_in_a_large_zone);
    CPPUNIT_TEST(relay_reports_to_itself);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against choosing the smallest instance of a zone as its relay, or
    // one that is stopping.
    void ready_and_larger_instances_are_preferred()
    {
        auto members = make_zone(20);
        members[7].processor_share = 0.5;
        members[3].processor_share = 0.5;
        members[3].ready = false;
        const auto relays = relays_of_zone(members, "a", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relays.size());
        CPPUNIT_ASSERT(relays.front() == members[7].id);
    }

    // Guards against replacing all relays of a zone when one of them fails.
    void excluded_relay_is_replaced_and_the_others_stay()
    {
        const auto members = make_zone(75);
        const auto before = relays_of_zone(members, "a", {});
        const auto after = relays_of_zone(members, "a", {before.front()});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), before.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), after.size());
        for (std::size_t i = 1; i < before.size(); ++i)
            CPPUNIT_ASSERT(std::find(after.begin(), after.end(), before[i]) !=
                           after.end());
    }

    // Guards against a single relay for a zone of 175 instances, which would be
    // overloaded by their messages.
    void instances_per_relay_are_bounded_in_a_large_zone()
    {
        const auto members = make_zone(175);
        const auto relays = relays_of_zone(members, "a", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), relays.size());
        std::map<instance_id, std::size_t> served;
        for (const auto& each : members)
            ++served[*relay_of(each.id, relays)];
        for (const auto& [relay, count] : served)
            CPPUNIT_ASSERT(count <= 2 * instances_per_relay);
    }

    // Guards against relays that report to each other, which would count their
    // requests twice.
    void relay_reports_to_itself()
    {
        const auto members = make_zone(75);
        const auto relays = relays_of_zone(members, "a", {});
        for (const auto& each : relays)
            CPPUNIT_ASSERT(*relay_of(each, relays) == each);
        CPPUNIT_ASSERT(!relay_of(members.front().id, {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_choice_test);

} // namespace tarragonquay::fleet
