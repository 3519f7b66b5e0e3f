#include "catalog/log_reader.hpp"

#include "catalog/replica_nodes_test.hpp"

namespace tarragonquay::catalog
{

class log_reader_test : public replica_nodes
{
    CPPUNIT_TEST_SUITE(log_reader_test);
    CPPUNIT_TEST(a_new_instance_starts_from_the_stored_snapshot);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that can't start after old log rows were
    // erased.
    void a_new_instance_starts_from_the_stored_snapshot()
    {
        const auto count = 2 * snapshot_interval + 3;
        for (std::int64_t i = 1; i <= count; ++i)
            commit(a_, workspace_change("w", i), "op" + std::to_string(i), -1);
        CPPUNIT_ASSERT(
            !store_.rows().contains(rows::log_key(snapshot_interval)));
        CPPUNIT_ASSERT(
            store_.rows().contains(rows::log_key(snapshot_interval + 1)));
        CPPUNIT_ASSERT(!store_.rows().contains(rows::operation_key("op256")));
        CPPUNIT_ASSERT(store_.rows().contains(rows::operation_key("op257")));
        // A running instance recognizes operations whose rows were erased.
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"), commit(a_, workspace_change("w", 1), "op1", -1));
        b_.poll();
        CPPUNIT_ASSERT_EQUAL(1, b_.snapshots);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), b_.applied.size());
        CPPUNIT_ASSERT(a_.get().current() == b_.get().current());
        CPPUNIT_ASSERT(b_.contacts == std::vector<std::int64_t>{count});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_reader_test);

} // namespace tarragonquay::catalog
