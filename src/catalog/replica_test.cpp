#include "catalog/replica.hpp"

#include "catalog/replica_nodes_test.hpp"

namespace tarragonquay::catalog
{

using store::fake_store;

class replica_test : public replica_nodes
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(a_store_that_is_down_refuses_and_reports);
    CPPUNIT_TEST(contact_follows_the_last_applied_change);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lease that is renewed without an answer of the store.
    void a_store_that_is_down_refuses_and_reports()
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

    // Guards against a lease that is renewed before a withdrawal is applied.
    void contact_follows_the_last_applied_change()
    {
        commit(a_, workspace_change("w", 1), "op1", 0);
        commit(a_, workspace_change("w", 2), "op2", 1);
        // The head passes, the log rows do not.
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
