#include "catalog/applied_configuration.hpp"

#include "catalog/replica_nodes_test.hpp"

namespace tarragonquay::catalog
{

class applied_configuration_test : public replica_nodes
{
    CPPUNIT_TEST_SUITE(applied_configuration_test);
    CPPUNIT_TEST(peers_never_lower_the_revision_and_gaps_are_refused);
    CPPUNIT_TEST(changes_after_covers_only_what_is_kept);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change that is skipped because a later one was applied
    // first.
    void peers_never_lower_the_revision_and_gaps_are_refused()
    {
        for (int i = 1; i <= 3; ++i)
            commit(a_, workspace_change("w", i), "op" + std::to_string(i), -1);
        const auto changes = *a_.get().changes_after(0);
        CPPUNIT_ASSERT(!b_.get().apply_changes({changes[0], changes[2]}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), b_.get().revision());
        const auto old = b_.get().current().to_proto();
        CPPUNIT_ASSERT(b_.get().apply_changes(changes).has_value());
        CPPUNIT_ASSERT(b_.get().install_snapshot(old).has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), b_.get().revision());
        CPPUNIT_ASSERT_EQUAL(0, b_.snapshots);
    }

    // Guards against sending a peer a list of changes with a gap.
    void changes_after_covers_only_what_is_kept()
    {
        for (int i = 1; i <= 1030; ++i)
            commit(a_, workspace_change("w", i), "op" + std::to_string(i), -1);
        CPPUNIT_ASSERT(!a_.get().changes_after(5));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(7), a_.get().changes_after(6)->front().revision());
        CPPUNIT_ASSERT(a_.get().changes_after(1030)->empty());
        CPPUNIT_ASSERT(a_.get().changes_after(2000)->empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(applied_configuration_test);

} // namespace tarragonquay::catalog
