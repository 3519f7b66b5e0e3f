#include "orders/order_test_support.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::orders
{

using namespace testing;

namespace
{

result<begin_outcome> begin(instance& at, order_call call)
{
    result<begin_outcome> out = fail(error_code::internal, "no answer");
    at.book.begin(std::move(call),
        [&out](result<begin_outcome> outcome) { out = std::move(outcome); });
    at.run_until_idle();
    return out;
}

void assert_code(error_code expected, const result<begin_outcome>& actual)
{
    CPPUNIT_ASSERT(!actual);
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(expected)),
        std::string(to_string(actual.error().code())));
}

dispatch_permit permit_of(const result<begin_outcome>& outcome)
{
    CPPUNIT_ASSERT_MESSAGE(
        outcome ? "replayed" : outcome.error().message(), outcome.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<dispatch_permit>(*outcome));
    return std::get<dispatch_permit>(*outcome);
}

} // namespace

class order_book_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_book_test);
    CPPUNIT_TEST(first_call_is_dispatched_and_repeat_gets_its_answer);
    CPPUNIT_TEST(large_answer_is_replayed_from_the_object_store);
    CPPUNIT_TEST(repeat_during_the_first_call_is_in_progress);
    CPPUNIT_TEST(key_reuse_with_another_body_is_refused);
    CPPUNIT_TEST(store_outage_refuses_without_dispatch);
    CPPUNIT_TEST(lost_answer_is_read_back);
    CPPUNIT_TEST(write_with_unknown_result_is_marked_not_run_later);
    CPPUNIT_TEST(order_recorded_too_late_gets_no_permit);
    CPPUNIT_TEST(answer_is_stored_after_an_outage);
    CPPUNIT_TEST(abandoned_order_has_an_unknown_outcome);
    CPPUNIT_TEST(operator_resolves_an_unknown_outcome);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second dispatch when a call is repeated.
    void first_call_is_dispatched_and_repeat_gets_its_answer()
    {
        shared_state shared;
        instance a(shared, "a");
        instance b(shared, "b");
        const auto permit = permit_of(begin(a, make_call(shared)));
        a.book.complete(permit, {201, "text/plain", "sent"}, ignore);
        a.run_until_idle();
        const auto repeat = begin(b, make_call(shared));
        CPPUNIT_ASSERT(repeat.has_value());
        CPPUNIT_ASSERT(std::get<order_answer>(*repeat) ==
                       (order_answer{201, "text/plain", "sent"}));
    }

    // Guards against truncating answers that exceed the row limit.
    void large_answer_is_replayed_from_the_object_store()
    {
        shared_state shared;
        instance a(shared, "a");
        const std::string body((64U << 10U) + 1, 'x');
        a.book.complete(permit_of(begin(a, make_call(shared))),
            {200, "text/plain", body}, ignore);
        a.run_until_idle();
        const auto repeat = begin(a, make_call(shared));
        CPPUNIT_ASSERT(repeat.has_value());
        CPPUNIT_ASSERT_EQUAL(
            body.size(), std::get<order_answer>(*repeat).body.size());
    }

    void repeat_during_the_first_call_is_in_progress()
    {
        shared_state shared;
        instance a(shared, "a");
        instance b(shared, "b");
        permit_of(begin(a, make_call(shared)));
        const auto repeat = begin(b, make_call(shared));
        assert_code(error_code::order_in_progress, repeat);
        CPPUNIT_ASSERT(repeat.error().execution() == execution_state::unknown);
    }

    // Guards against replaying an answer to a different request.
    void key_reuse_with_another_body_is_refused()
    {
        shared_state shared;
        instance a(shared, "a");
        permit_of(begin(a, make_call(shared)));
        assert_code(error_code::idempotency_key_reused,
            begin(a, make_call(shared, "other")));
    }

    void store_outage_refuses_without_dispatch()
    {
        shared_state shared;
        instance a(shared, "a");
        shared.store.set_fault(store::fake_store::fault::down);
        const auto refused = begin(a, make_call(shared));
        assert_code(error_code::store_unavailable, refused);
        CPPUNIT_ASSERT(refused.error().execution() == execution_state::not_run);
    }

    // Guards against refusing the order, or running it twice, when the answer
    // of the store is lost.
    void lost_answer_is_read_back()
    {
        shared_state shared;
        instance a(shared, "a");
        shared.store.set_fault(store::fake_store::fault::answers_lost);
        result<begin_outcome> out = fail(error_code::internal, "none");
        a.book.begin(make_call(shared),
            [&](result<begin_outcome> got) { out = std::move(got); });
        a.calls.run(0);
        shared.store.set_fault(store::fake_store::fault::none);
        a.run_until_idle();
        permit_of(out);
        assert_code(error_code::order_in_progress, begin(a, make_call(shared)));
    }

    // Guards against an order that stays blocked after its attempt was refused,
    // and against a dispatch when the write of a refused attempt arrives late.
    void write_with_unknown_result_is_marked_not_run_later()
    {
        shared_state shared;
        instance a(shared, "a");
        shared.store.set_fault(store::fake_store::fault::answers_lost);
        result<begin_outcome> out = fail(error_code::internal, "none");
        a.book.begin(make_call(shared),
            [&](result<begin_outcome> got) { out = std::move(got); });
        a.calls.run(0);
        shared.clock.advance(std::chrono::seconds(11));
        a.run_until_idle();
        assert_code(error_code::store_unavailable, out);
        CPPUNIT_ASSERT(out.error().execution() == execution_state::not_run);
        shared.store.set_fault(store::fake_store::fault::none);
        a.run_until_idle();
        permit_of(begin(a, make_call(shared)));
    }

    // Guards against a dispatch after the deadline of the caller when the store
    // answers late. A repeat may run the order.
    void order_recorded_too_late_gets_no_permit()
    {
        shared_state shared;
        instance a(shared, "a");
        result<begin_outcome> out = fail(error_code::internal, "none");
        a.book.begin(make_call(shared),
            [&](result<begin_outcome> got) { out = std::move(got); });
        shared.clock.advance(std::chrono::seconds(11));
        a.run_until_idle();
        assert_code(error_code::deadline_exceeded, out);
        CPPUNIT_ASSERT(out.error().execution() == execution_state::not_run);
        permit_of(begin(a, make_call(shared)));
    }

    // Guards against losing the answer of a completed order.
    void answer_is_stored_after_an_outage()
    {
        shared_state shared;
        instance a(shared, "a");
        const auto permit = permit_of(begin(a, make_call(shared)));
        shared.store.set_fault(store::fake_store::fault::down);
        bool stored = true;
        a.book.complete(permit, {200, "text/plain", "ok"},
            [&](result<void> done) { stored = done.has_value(); });
        a.run_until_idle();
        CPPUNIT_ASSERT(!stored);
        shared.store.set_fault(store::fake_store::fault::none);
        a.run_until_idle();
        CPPUNIT_ASSERT(begin(a, make_call(shared)).has_value());
    }

    void abandoned_order_has_an_unknown_outcome()
    {
        shared_state shared;
        instance a(shared, "a");
        instance b(shared, "b");
        const auto permit = permit_of(begin(a, make_call(shared)));
        assert_code(error_code::order_in_progress, begin(b, make_call(shared)));
        CPPUNIT_ASSERT(a.book.check(permit).has_value());
        shared.remove("a");
        assert_code(error_code::outcome_unknown, begin(b, make_call(shared)));
        CPPUNIT_ASSERT(!a.book.check(permit).has_value());
        assert_code(error_code::no_view_lease, begin(a, make_call(shared)));
    }

    // Guards against a decision that is based on an outdated version.
    void operator_resolves_an_unknown_outcome()
    {
        shared_state shared;
        instance a(shared, "a");
        a.book.mark_unknown(permit_of(begin(a, make_call(shared))), ignore);
        a.run_until_idle();
        const auto resolve_with = [&](std::int64_t version)
        {
            result<order_book<queued_store>::versioned_order> out =
                fail(error_code::internal, "none");
            a.book.resolve(workspace_id("w"), "key", version,
                resolution::did_not_run, "ana",
                [&](auto got) { out = std::move(got); });
            a.run_until_idle();
            return out;
        };
        const auto version = shared.store.revision();
        CPPUNIT_ASSERT(
            resolve_with(version - 1).error().code() == error_code::conflict);
        CPPUNIT_ASSERT(resolve_with(version).has_value());
        permit_of(begin(a, make_call(shared)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_book_test);

} // namespace tarragonquay::orders
