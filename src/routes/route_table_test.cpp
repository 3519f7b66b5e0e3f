#include "routes/route_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::routes
{
namespace
{

route make_route(const std::string& host, const std::string& prefix)
{
    route out;
    out.name = host + prefix;
    out.host = host;
    out.path_prefix = prefix;
    out.services = {{service_id("s"), 1}};
    return out;
}

configuration make_configuration(std::vector<route> routes)
{
    configuration out;
    out.version = 3;
    out.routes = std::move(routes);
    out.services.push_back({service_id("s"), 10, std::nullopt});
    return out;
}

std::string found(
    const route_table& table, const std::string& host, const std::string& path)
{
    const auto* route = table.find_route(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(longest_matching_prefix_is_selected);
    CPPUNIT_TEST(port_and_query_are_ignored);
    CPPUNIT_TEST(conflicting_entries_are_rejected);
    CPPUNIT_TEST(keys_identify_their_workspace);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a shorter matching prefix that routes a request to another
    // service.
    void longest_matching_prefix_is_selected()
    {
        const auto table =
            route_table::create(make_configuration({make_route("a", "/x/"),
                make_route("a", "/x/y/"), make_route("b", "/x/")}));
        CPPUNIT_ASSERT(table.has_value());
        CPPUNIT_ASSERT_EQUAL(
            std::string("a/x/y/"), found(**table, "a", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), found(**table, "a", "/x/yz"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("b/x/"), found(**table, "b", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), found(**table, "a", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), found(**table, "c", "/x/"));
    }

    // Guards against a 404 for a host with a port, and against a prefix that is
    // matched inside the query.
    void port_and_query_are_ignored()
    {
        const auto table =
            route_table::create(make_configuration({make_route("a", "/x/")}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("a/x/"), found(**table, "a:8080", "/x/?q=/y/"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("none"), found(**table, "a", "/?p=/x/"));
    }

    // Guards against configurations whose meaning depends on the order of their
    // entries.
    void conflicting_entries_are_rejected()
    {
        CPPUNIT_ASSERT(!route_table::create(make_configuration(
            {make_route("a", "/x/"), make_route("a", "/x/")})));
        auto unknown = make_configuration({make_route("a", "/x/")});
        unknown.routes[0].services = {{service_id("other"), 1}};
        CPPUNIT_ASSERT(!route_table::create(unknown));
        auto shared = make_configuration({});
        shared.workspaces.resize(2);
        shared.workspaces[0].id = workspace_id("w1");
        shared.workspaces[0].keys = {"k"};
        shared.workspaces[1].id = workspace_id("w2");
        shared.workspaces[1].keys = {"k"};
        CPPUNIT_ASSERT(!route_table::create(shared));
    }

    // Guards against a key that admits requests for another workspace.
    void keys_identify_their_workspace()
    {
        auto document = make_configuration({});
        document.workspaces.resize(2);
        document.workspaces[0].id = workspace_id("w1");
        document.workspaces[0].keys = {"k1", "k2"};
        document.workspaces[1].id = workspace_id("w2");
        document.workspaces[1].keys = {"k3"};
        const auto table = route_table::create(document);
        CPPUNIT_ASSERT(
            (*table)->find_workspace("k2")->id == workspace_id("w1"));
        CPPUNIT_ASSERT(
            (*table)->find_workspace("k3")->id == workspace_id("w2"));
        CPPUNIT_ASSERT((*table)->find_workspace("k4") == nullptr);
        CPPUNIT_ASSERT((*table)->find_workspace("") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace tarragonquay::routes
