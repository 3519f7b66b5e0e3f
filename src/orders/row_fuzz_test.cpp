#include <algorithm>
#include <cctype>

#include <cppunit/extensions/HelperMacros.h>

#include "orders/order_test_support.hpp"
#include "support/message_mutation.hpp"

namespace tarragonquay::orders
{

using namespace testing;

// Begins orders whose stored rows are randomly damaged.
class row_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_fuzz_test);
    CPPUNIT_TEST(damaged_rows_give_no_second_dispatch_and_no_invalid_answer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 10'000;

    static records::Order_record valid_record(bool completed)
    {
        records::Order_record record;
        record.set_order_id("o");
        record.set_workspace("w");
        record.set_idempotency_key("key");
        record.set_body_sha256("d");
        record.set_attempt_id("t");
        record.set_instance("b");
        record.set_incarnation("1");
        record.set_state(completed ? records::Order_record::COMPLETED
                                   : records::Order_record::DISPATCHED);
        record.set_status(200);
        record.set_content_type("text/plain");
        record.set_body("sent");
        record.set_membership_revision(1);
        return record;
    }

    static void check_answer(const order_answer& answer)
    {
        CPPUNIT_ASSERT(answer.status >= 100 && answer.status <= 999);
        CPPUNIT_ASSERT(std::none_of(answer.content_type.begin(),
            answer.content_type.end(),
            [](unsigned char c) { return c != '\t' && std::iscntrl(c) != 0; }));
    }

public:
    // Guards against a dispatch for a row in a state other than not_run, and
    // against a status or content type that makes the HTTP response invalid.
    void damaged_rows_give_no_second_dispatch_and_no_invalid_answer()
    {
        test_support::message_mutator random(seed);
        test_support::mutator bytes(seed);
        int answers = 0;
        int refusals = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto record = random.damage(valid_record(i % 2 == 0));
            auto value = record.SerializeAsString();
            if (i % 4 == 0)
                value = bytes.damage(value);
            records::Order_record stored;
            const bool readable = stored.ParseFromString(value);
            shared_state shared;
            shared.objects["large"] = "body";
            const auto key = order_row_key(workspace_id("w"), "key");
            shared.store.transact({}, {{key, value}}, shared.clock.now(),
                [](const result<store::transact_outcome>&) {});
            instance at(shared, "a");
            std::optional<result<begin_outcome>> outcome;
            at.book.begin(make_call(shared), [&](result<begin_outcome> begun)
                { outcome = std::move(begun); });
            at.run_until_idle();
            CPPUNIT_ASSERT(outcome.has_value());
            if (!*outcome)
            {
                ++refusals;
                CPPUNIT_ASSERT(
                    (*outcome).error().code() != error_code::internal);
                continue;
            }
            if (std::holds_alternative<dispatch_permit>(**outcome))
            {
                CPPUNIT_ASSERT_MESSAGE(record.ShortDebugString(),
                    readable &&
                        stored.state() == records::Order_record::NOT_RUN);
                continue;
            }
            ++answers;
            check_answer(std::get<order_answer>(**outcome));
        }
        CPPUNIT_ASSERT(answers > 0 && refusals > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_fuzz_test);

} // namespace tarragonquay::orders
