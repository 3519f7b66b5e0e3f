#include "catalog/replica.hpp"

#include <deque>
#include <limits>
#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "platform/fake_store.hpp"

namespace tarragonquay::catalog
{

namespace
{

using platform::fake_store;

/// A replica with its own control queue on a shared store.
class node
{
public:
    node(fake_store& store, const fake_clock& clock,
        std::map<std::string, std::string>& objects)
        : replica_(store, clock, published_, make_objects(objects),
              [this](std::function<void()> task)
              { queue_.push_back(std::move(task)); },
              {[this](const snapshot&, const config::Change& change)
                  { applied.push_back(change.revision()); },
                  [this](const snapshot&) { ++snapshots; },
                  [this](time_point, std::int64_t head)
                  { contacts.push_back(head); },
                  [this](const error& reason)
                  { failures.push_back(reason.code()); }})
    {
    }

    /// Runs the queued tasks, but not more than this number.
    void run(int most = std::numeric_limits<int>::max())
    {
        for (; most > 0 && !queue_.empty(); --most)
        {
            const auto task = std::move(queue_.front());
            queue_.pop_front();
            task();
        }
    }

    void poll()
    {
        replica_.poll_head();
        run();
    }

    replica<fake_store, fake_clock>& get() { return replica_; }
    const published_state& published() const { return published_; }

    std::vector<std::int64_t> applied;
    std::vector<std::int64_t> contacts;
    std::vector<error_code> failures;
    int snapshots = 0;
    /// The object store refuses to store anything.
    bool objects_fail = false;

private:
    object_store make_objects(std::map<std::string, std::string>& objects)
    {
        return {[&](const std::string& name, const std::string& content,
                    time_point, const platform::handler<bool>& on_done)
            {
                if (objects_fail)
                    return on_done(fail(error_code::store_unavailable, "down"));
                objects[name] = content;
                on_done(true);
            },
            [&](const std::string& name, time_point,
                const platform::handler<std::optional<std::string>>& on_done)
            {
                const auto it = objects.find(name);
                on_done(it == objects.end() ? std::optional<std::string>()
                                            : std::optional(it->second));
            }};
    }

    std::deque<std::function<void()>> queue_;
    published_state published_;
    replica<fake_store, fake_clock> replica_;
};

config::Change workspace_change(const std::string& id, std::int64_t rate)
{
    config::Change change;
    change.mutable_put_workspace()->set_id(id);
    change.mutable_put_workspace()->set_rate_tokens_per_second(rate);
    change.mutable_put_workspace()->set_burst_tokens(1);
    return change;
}

std::string text_of(const std::optional<result<std::int64_t>>& outcome)
{
    if (!outcome)
        return "no answer";
    return *outcome ? std::to_string(**outcome)
                    : std::string(to_string(outcome->error().code()));
}

} // namespace

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(of_two_racing_operators_one_gets_a_conflict);
    CPPUNIT_TEST(racing_changes_of_different_entities_both_commit);
    CPPUNIT_TEST(concurrent_commits_of_one_instance_end_without_a_poll);
    CPPUNIT_TEST(a_lost_answer_is_settled_by_the_operation_row);
    CPPUNIT_TEST(an_unsettled_commit_ends_at_its_deadline);
    CPPUNIT_TEST(a_repeated_operation_returns_its_first_revision);
    CPPUNIT_TEST(a_change_survives_one_call_without_an_answer);
    CPPUNIT_TEST(a_store_that_is_down_refuses_and_reports);
    CPPUNIT_TEST(contact_follows_the_last_applied_change);
    CPPUNIT_TEST(peers_never_lower_the_revision_and_gaps_are_refused);
    CPPUNIT_TEST(a_new_instance_starts_from_the_stored_snapshot);
    CPPUNIT_TEST(a_missed_snapshot_is_made_up_for_soon);
    CPPUNIT_TEST(changes_after_covers_only_what_is_kept);
    CPPUNIT_TEST_SUITE_END();

public:
    void of_two_racing_operators_one_gets_a_conflict()
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

    // Guards against a head conflict that is reported to the operator.
    void racing_changes_of_different_entities_both_commit()
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

    // Guards against commits of one instance that wait for the next poll.
    void concurrent_commits_of_one_instance_end_without_a_poll()
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

    void a_lost_answer_is_settled_by_the_operation_row()
    {
        std::optional<result<std::int64_t>> outcome;
        // The commit reads the head and the operation before it writes.
        store_.set_fault_after(2, fake_store::fault::answers_lost);
        start(a_, workspace_change("w", 1), "op1", 0, outcome);
        a_.run();
        CPPUNIT_ASSERT_EQUAL(std::string("no answer"), text_of(outcome));
        store_.set_fault(fake_store::fault::none);
        // Another instance moves on; the commit must not run twice.
        commit(b_, workspace_change("w", 3), "op2", 1);
        a_.poll();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), text_of(outcome));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), a_.get().revision());
    }

    void an_unsettled_commit_ends_at_its_deadline()
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

    void a_repeated_operation_returns_its_first_revision()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"), commit(a_, workspace_change("w", 1), "op1", 0));
        commit(a_, workspace_change("v", 1), "op2", 0);
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"), commit(b_, workspace_change("w", 1), "op1", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), store_.revision());
    }

    // Guards against changes that are refused because the connection to the
    // store went silent; the first failed call replaces it.
    void a_change_survives_one_call_without_an_answer()
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

    // Guards against an instance that can't start once the log is erased.
    void a_new_instance_starts_from_the_stored_snapshot()
    {
        const auto count = 2 * snapshot_interval + 3;
        for (std::int64_t i = 1; i <= count; ++i)
            commit(a_, workspace_change("w", i), "op" + std::to_string(i), -1);
        CPPUNIT_ASSERT(!store_.rows().contains(rows::log(snapshot_interval)));
        CPPUNIT_ASSERT(
            store_.rows().contains(rows::log(snapshot_interval + 1)));
        CPPUNIT_ASSERT(!store_.rows().contains(rows::operation("op256")));
        CPPUNIT_ASSERT(store_.rows().contains(rows::operation("op257")));
        // A running instance recognises operations whose rows are erased.
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"), commit(a_, workspace_change("w", 1), "op1", -1));
        b_.poll();
        CPPUNIT_ASSERT_EQUAL(1, b_.snapshots);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), b_.applied.size());
        CPPUNIT_ASSERT(a_.get().current() == b_.get().current());
        CPPUNIT_ASSERT(b_.contacts == std::vector<std::int64_t>{count});
    }

    // Guards against a log that grows by a whole interval because a snapshot
    // failed or its writer ended.
    void a_missed_snapshot_is_made_up_for_soon()
    {
        const auto commit_up_to = [&](std::int64_t last)
        {
            for (auto i = a_.get().revision() + 1; i <= last; ++i)
                commit(
                    a_, workspace_change("w", i), "op" + std::to_string(i), -1);
        };
        a_.objects_fail = true;
        commit_up_to(snapshot_interval);
        CPPUNIT_ASSERT(!store_.rows().contains(rows::snapshot_pointer));
        a_.objects_fail = false;
        commit_up_to(snapshot_interval + snapshot_check_interval);
        CPPUNIT_ASSERT(store_.rows().contains(rows::snapshot_pointer));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), objects_.size());
        // The next one is due a whole interval later.
        commit_up_to(2 * snapshot_interval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), objects_.size());
        commit_up_to(2 * snapshot_interval + snapshot_check_interval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), objects_.size());
    }

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

private:
    void start(node& at, const config::Change& change, const std::string& id,
        std::int64_t expected, std::optional<result<std::int64_t>>& outcome)
    {
        at.get().commit(change, id, expected,
            clock_.now() + std::chrono::seconds(30),
            [&outcome](const result<std::int64_t>& done) { outcome = done; });
    }

    std::string commit(node& at, const config::Change& change,
        const std::string& id, std::int64_t expected)
    {
        std::optional<result<std::int64_t>> outcome;
        start(at, change, id, expected, outcome);
        at.run();
        return text_of(outcome);
    }

    fake_store store_;
    fake_clock clock_;
    std::map<std::string, std::string> objects_;
    node a_{store_, clock_, objects_};
    node b_{store_, clock_, objects_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace tarragonquay::catalog
