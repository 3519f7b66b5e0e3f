#include "catalog/replica.hpp"

#include "catalog/replica_nodes_test.hpp"

namespace tarragonquay::catalog
{

using store::fake_store;

class replica_test : public replica_nodes
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(an_unavailable_store_fails_commits_and_is_reported);
    CPPUNIT_TEST(contact_is_reported_after_all_changes_are_applied);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against renewing the lease without an answer from the store.
    void an_unavailable_store_fails_commits_and_is_reported()
    {
        store_.set_fault(fake_store::fault::down);
        CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"),
            commit(a_, workspace_change("w", 1), "op1", 0));
        a_.poll();
        CPPUNIT_ASSERT(a_.contacts.empty());
        CPPUNIT_ASSERT(a_.failures ==
                       std::vector<error_code>{error_code::store_unavailable});
        store_.set_fault(fake_store::fault::none);
        a_.poll();
        CPPUNIT_ASSERT(a_.contacts == std::vector<std::int64_t>{0});
    }

    // Guards against renewing the lease before the withdrawal of a key is
    // applied.
    void contact_is_reported_after_all_changes_are_applied()
    {
        commit(a_, workspace_change("w", 1), "op1", 0);
        commit(a_, workspace_change("w", 2), "op2", 1);
        // Reading the head succeeds, reading the log rows fails.
        store_.set_fault_after(1, fake_store::fault::down);
        b_.poll();
        CPPUNIT_ASSERT(b_.contacts.empty());
        store_.set_fault(fake_store::fault::none);
        b_.poll();
        CPPUNIT_ASSERT((b_.applied == std::vector<std::int64_t>{1, 2}));
        CPPUNIT_ASSERT(b_.contacts == std::vector<std::int64_t>{2});
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(2), b_.published().current()->revision());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace tarragonquay::catalog
