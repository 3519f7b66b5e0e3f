#include "catalog/committer.hpp"

#include "catalog/replica_nodes_test.hpp"

namespace tarragonquay::catalog
{

using store::fake_store;

class committer_test : public replica_nodes
{
    CPPUNIT_TEST_SUITE(committer_test);
    CPPUNIT_TEST(one_of_two_concurrent_changes_to_an_entity_conflicts);
    CPPUNIT_TEST(concurrent_changes_to_different_entities_both_commit);
    CPPUNIT_TEST(concurrent_commits_of_one_instance_finish_without_a_poll);
    CPPUNIT_TEST(a_lost_answer_is_resolved_by_the_operation_row);
    CPPUNIT_TEST(an_unresolved_commit_fails_at_its_deadline);
    CPPUNIT_TEST(a_repeated_operation_returns_its_first_revision);
    CPPUNIT_TEST(a_change_is_retried_after_one_failed_call);
    CPPUNIT_TEST(a_failed_snapshot_is_retried_at_the_next_check);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change that overwrites another change that its operator
    // has not seen.
    void one_of_two_concurrent_changes_to_an_entity_conflicts()
    {
        std::optional<result<std::int64_t>> first;
        std::optional<result<std::int64_t>> second;
        start(a_, workspace_change("w", 1), "op1", 0, first);
        start(b_, workspace_change("w", 2), "op2", 0, second);
        a_.run();
        b_.run();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), text_of(first));
        CPPUNIT_ASSERT_EQUAL(std::string("conflict"), text_of(second));
        CPPUNIT_ASSERT(
            second->error().message().find("revision 1") != std::string::npos);
    }

    // Guards against a conflict on the head row being reported to the operator
    // although the changes concern different entities.
    void concurrent_changes_to_different_entities_both_commit()
    {
        std::optional<result<std::int64_t>> first;
        std::optional<result<std::int64_t>> second;
        start(a_, workspace_change("w", 1), "op1", 0, first);
        start(b_, workspace_change("v", 2), "op2", 0, second);
        a_.run();
        b_.run();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), text_of(first));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), text_of(second));
        a_.poll();
        CPPUNIT_ASSERT(a_.get().current() == b_.get().current());
    }

    // Guards against concurrent commits of one instance that finish only after
    // the next poll.
    void concurrent_commits_of_one_instance_finish_without_a_poll()
    {
        std::optional<result<std::int64_t>> first;
        std::optional<result<std::int64_t>> second;
        std::optional<result<std::int64_t>> repeat;
        start(a_, workspace_change("w", 1), "op1", 0, first);
        start(a_, workspace_change("v", 2), "op2", 0, second);
        start(a_, workspace_change("w", 1), "op1", 0, repeat);
        a_.run();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), text_of(first));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), text_of(second));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), text_of(repeat));
    }

    // Guards against a change that is committed twice because the answer to its
    // transaction was lost.
    void a_lost_answer_is_resolved_by_the_operation_row()
    {
        std::optional<result<std::int64_t>> outcome;
        // The commit reads the head and the operation before it writes.
        store_.set_fault_after(2, fake_store::fault::answers_lost);
        start(a_, workspace_change("w", 1), "op1", 0, outcome);
        a_.run();
        CPPUNIT_ASSERT_EQUAL(std::string("no answer"), text_of(outcome));
        store_.set_fault(fake_store::fault::none);
        // Another instance commits meanwhile; the first commit must not be
        // written again.
        commit(b_, workspace_change("w", 3), "op2", 1);
        a_.poll();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), text_of(outcome));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), a_.get().revision());
    }

    // Guards against reporting a change as not committed when it may be.
    void an_unresolved_commit_fails_at_its_deadline()
    {
        std::optional<result<std::int64_t>> outcome;
        store_.set_fault_after(2, fake_store::fault::answers_lost);
        start(a_, workspace_change("w", 1), "op1", 0, outcome);
        a_.run();
        clock_.advance(std::chrono::seconds(31));
        a_.poll();
        CPPUNIT_ASSERT_EQUAL(
            std::string("store_outcome_unknown"), text_of(outcome));
    }

    // Guards against a repeated operation id that commits a second change.
    void a_repeated_operation_returns_its_first_revision()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"), commit(a_, workspace_change("w", 1), "op1", 0));
        commit(a_, workspace_change("v", 1), "op2", 0);
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"), commit(b_, workspace_change("w", 1), "op1", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), store_.revision());
    }

    // Guards against changes that fail because of a dead connection to the
    // store, which is replaced after the first failed call.
    void a_change_is_retried_after_one_failed_call()
    {
        for (const int calls_before : {0, 1, 2})
        {
            const auto name = "w" + std::to_string(calls_before);
            std::optional<result<std::int64_t>> outcome;
            store_.set_fault_after(calls_before, fake_store::fault::down);
            start(a_, workspace_change(name, 1), "op-" + name, 0, outcome);
            a_.run(calls_before);
            store_.set_fault(fake_store::fault::none);
            a_.run();
            CPPUNIT_ASSERT_EQUAL(
                std::to_string(calls_before + 1), text_of(outcome));
        }
    }

    // Guards against a log that grows by a whole snapshot interval because a
    // snapshot failed or its writer was interrupted.
    void a_failed_snapshot_is_retried_at_the_next_check()
    {
        const auto commit_up_to = [&](std::int64_t last)
        {
            for (auto i = a_.get().revision() + 1; i <= last; ++i)
                commit(
                    a_, workspace_change("w", i), "op" + std::to_string(i), -1);
        };
        a_.objects_fail = true;
        commit_up_to(snapshot_interval);
        CPPUNIT_ASSERT(!store_.rows().contains(rows::snapshot_pointer_key));
        a_.objects_fail = false;
        commit_up_to(snapshot_interval + snapshot_check_interval);
        CPPUNIT_ASSERT(store_.rows().contains(rows::snapshot_pointer_key));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), objects_.size());
        // The next one is due a whole interval later.
        commit_up_to(2 * snapshot_interval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), objects_.size());
        commit_up_to(2 * snapshot_interval + snapshot_check_interval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), objects_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(committer_test);

} // namespace tarragonquay::catalog
