#include "gateway/evidence_messages.hpp"

#include <chrono>
#include <limits>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "support/message_mutation.hpp"

namespace tarragonquay::gateway
{

using namespace std::chrono_literals;
using dispatch::crash_evidence;
using dispatch::part_record;

class evidence_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evidence_messages_test);
    CPPUNIT_TEST(ages_become_times_of_the_receiver);
    CPPUNIT_TEST(negative_ages_are_ignored);
    CPPUNIT_TEST(ages_beyond_the_longest_history_are_clamped);
    CPPUNIT_TEST(surplus_parts_and_crashes_are_ignored);
    CPPUNIT_TEST(damaged_messages_give_bounded_records);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261205;

    std::vector<part_record> sample() const
    {
        return {{1, now_ - 5s, {{11, 101, now_ - 4s}, {12, 102, now_}}},
            {2, std::nullopt, {{11, 101, now_ - 4s}}}, {3, now_ - 1ms, {}}};
    }

public:
    // Guards against times that depend on the clock of the sender.
    void ages_become_times_of_the_receiver()
    {
        peer::Evidence_update message;
        write(sample(), now_, message);
        const auto offset = 17h;
        const auto received = read(message, now_ + offset);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), received.ignored);
        auto expected = sample();
        for (auto& each : expected)
        {
            if (each.answered_at)
                *each.answered_at += offset;
            for (auto& crash : each.crashes)
                crash.at += offset;
        }
        CPPUNIT_ASSERT(expected == received.records);
    }

    // Guards against answers and crashes in the future, which would clear later
    // crashes and extend refusals.
    void negative_ages_are_ignored()
    {
        peer::Evidence_update message;
        auto& part = *message.add_parts();
        part.set_answer_age_ms(-1);
        part.add_crashes()->set_age_ms(-1);
        part.add_crashes()->set_age_ms(5);
        const auto received = read(message, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.ignored);
        CPPUNIT_ASSERT(!received.records.front().answered_at);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), received.records.front().crashes.size());
    }

    // Guards against an overflow of time points.
    void ages_beyond_the_longest_history_are_clamped()
    {
        peer::Evidence_update message;
        auto& part = *message.add_parts();
        part.set_answer_age_ms(std::numeric_limits<std::int64_t>::max());
        part.add_crashes()->set_age_ms(
            std::numeric_limits<std::int64_t>::max());
        const auto record = read(message, now_).records.front();
        CPPUNIT_ASSERT(now_ - max_evidence_age == record.answered_at);
        CPPUNIT_ASSERT(now_ - max_evidence_age == record.crashes.front().at);
    }

    // Guards against a sender that makes this instance store or process more
    // than it would send itself.
    void surplus_parts_and_crashes_are_ignored()
    {
        peer::Evidence_update message;
        for (std::size_t i = 0; i < crash_evidence::max_parts + 3; ++i)
            message.add_parts()->set_part(i);
        for (std::size_t i = 0; i < crash_evidence::max_crashes + 2; ++i)
            message.mutable_parts(0)->add_crashes()->set_process(i);
        const auto received = read(message, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), received.ignored);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(crash_evidence::max_parts), received.records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(crash_evidence::max_crashes),
            received.records.front().crashes.size());
    }

    // Guards against a crash of the receiver, and against unbounded records.
    void damaged_messages_give_bounded_records()
    {
        peer::Evidence_update valid;
        write(sample(), now_, valid);
        test_support::message_mutator random(seed);
        crash_evidence evidence;
        std::size_t ignored = 0;
        constexpr int cases = 2'000;
        for (int i = 0; i < cases; ++i)
        {
            const auto received = read(random.damage(valid), now_);
            ignored += received.ignored;
            CPPUNIT_ASSERT(
                received.records.size() <= crash_evidence::max_parts);
            for (const auto& each : received.records)
            {
                CPPUNIT_ASSERT(
                    each.crashes.size() <= crash_evidence::max_crashes);
                CPPUNIT_ASSERT(!each.answered_at || *each.answered_at <= now_);
                for (const auto& crash : each.crashes)
                    CPPUNIT_ASSERT(crash.at <= now_ &&
                                   crash.at >= now_ - max_evidence_age);
            }
            evidence.merge(received.records, now_);
            evidence.expire(now_);
            CPPUNIT_ASSERT(
                evidence.records(now_).size() <= crash_evidence::max_parts);
        }
        CPPUNIT_ASSERT(ignored > 0);
    }

private:
    const time_point now_{std::chrono::hours(30)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(evidence_messages_test);

} // namespace tarragonquay::gateway
