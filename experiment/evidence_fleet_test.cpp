#include "experiment/evidence_fleet.hpp"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::experiment
{

using namespace std::chrono_literals;
using dispatch::prompt_verdict;

class evidence_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evidence_fleet_test);
    CPPUNIT_TEST(all_instances_refuse_a_part_within_a_second);
    CPPUNIT_TEST(verdicts_converge_despite_lost_messages);
    CPPUNIT_TEST(instances_that_start_later_learn_the_verdicts);
    CPPUNIT_TEST(both_sides_of_a_partition_agree_after_it);
    CPPUNIT_TEST(an_answer_from_before_a_partition_heals_clears_old_crashes);
    CPPUNIT_TEST(an_instance_sends_nothing_but_repetitions_after_agreement);
    CPPUNIT_TEST(a_part_that_is_answered_causes_no_lasting_messages);
    CPPUNIT_TEST(records_disappear_when_they_have_expired);
    CPPUNIT_TEST(more_parts_than_fit_cause_no_endless_exchange);
    CPPUNIT_TEST(more_crashes_than_fit_cause_no_endless_exchange);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t bad = 666;
    static constexpr std::uint64_t sound = 7;
    static constexpr std::size_t sizes[] = {7, 65, 90, 700};
    /// Rounds of repetition that a message may need when a fifth is lost: at
    /// 700 instances one of them misses five in a row in a fifth of the runs.
    static constexpr duration limit_with_loss = 12s;

    /// Ends that follow each other more closely count once for a refusal.
    static constexpr duration between_crashes = 250ms;

    // Four processes end under the bad part, each with another request.
    static void lose_four(evidence_fleet& in)
    {
        for (std::uint64_t process = 1; process <= 4; ++process)
        {
            in.crash(process, {{sound, bad}, {sound}}, process * 3);
            in.run(between_crashes);
            in.answer((process * 5) % in.size(), {sound});
        }
    }

    static std::string with(std::size_t size)
    {
        return "with " + std::to_string(size) + " instances";
    }

    static void assert_agreed(
        evidence_fleet& in, duration limit, prompt_verdict expected)
    {
        const auto message = with(in.size());
        CPPUNIT_ASSERT_MESSAGE(
            message, in.run_until_agreed({bad, sound}, limit) >= 0s);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(to_string(expected)),
            std::string(to_string(in.verdict(0, {bad}))));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("unsuspected"),
            std::string(to_string(in.verdict(0, {sound}))));
    }

    // In the steady state, each instance repeats its records once a second.
    static void assert_only_repetitions(evidence_fleet& in)
    {
        in.run(2s);
        const auto repetitions = [&]
        {
            in.reset_traffic();
            in.run(1s);
            return in.messages();
        };
        const auto first = repetitions();
        in.run(3s);
        const auto later = repetitions();
        // All-to-all, or a tree with connected relays; the half covers phases
        // of the timers that put two repetitions into one second.
        const auto relays = in.size() / 25 + 4;
        const auto links = in.size() < 10 ? in.size() * (in.size() - 1)
                                          : 2 * in.size() + relays * relays;
        CPPUNIT_ASSERT_MESSAGE(with(in.size()) + ": " + std::to_string(first) +
                                   ", " + std::to_string(later) + " of " +
                                   std::to_string(links),
            first <= links * 3 / 2 && later <= links * 3 / 2);
    }

public:
    // Guards against instances that send a request which others refuse.
    void all_instances_refuse_a_part_within_a_second()
    {
        for (const auto size : sizes)
        {
            evidence_fleet tested({size});
            lose_four(tested);
            assert_agreed(tested, 1s, prompt_verdict::refused);
        }
    }

    // Guards against an exchange that relies on single messages.
    void verdicts_converge_despite_lost_messages()
    {
        for (const auto size : sizes)
        {
            evidence_fleet tested({size, 0.2});
            lose_four(tested);
            assert_agreed(tested, limit_with_loss, prompt_verdict::refused);
        }
    }

    // Guards against new instances that repeat the crashes.
    void instances_that_start_later_learn_the_verdicts()
    {
        for (const auto size : sizes)
        {
            evidence_fleet tested({size});
            lose_four(tested);
            tested.run(10s);
            tested.start(size / 5 + 1);
            assert_agreed(tested, evidence_fleet::discovery_delay + 1s,
                prompt_verdict::refused);
        }
    }

    // Guards against verdicts that differ after two parts of the fleet have
    // made observations of their own.
    void both_sides_of_a_partition_agree_after_it()
    {
        for (const auto size : sizes)
        {
            evidence_fleet tested({size, 0.05});
            tested.partition(size / 3);
            tested.run(3s);
            for (std::uint64_t process = 1; process <= 2; ++process)
            {
                tested.crash(process, {{sound, bad}}, 0);
                tested.run(between_crashes);
                tested.crash(process + 10, {{sound, bad}}, size - 1);
                tested.run(between_crashes);
            }
            tested.answer(0, {sound});
            tested.run(20s);
            CPPUNIT_ASSERT(tested.verdict(0, {bad}) == prompt_verdict::suspect);
            tested.heal();
            assert_agreed(tested, limit_with_loss, prompt_verdict::refused);
            assert_only_repetitions(tested);
        }
    }

    // Guards against crashes of a sound part that an instance keeps because the
    // answer after them was given while it could not be reached.
    void an_answer_from_before_a_partition_heals_clears_old_crashes()
    {
        for (const auto size : sizes)
        {
            evidence_fleet tested({size});
            tested.crash(1, {{sound}}, 0);
            tested.crash(2, {{sound}}, 1);
            tested.run(500ms);
            tested.partition(size / 3);
            tested.run(100ms);
            tested.answer(size - 1, {sound});
            tested.run(15s);
            tested.heal();
            assert_agreed(tested, evidence_fleet::discovery_delay + 2s,
                prompt_verdict::unsuspected);
            tested.run(15s);
            tested.reset_traffic();
            tested.run(2s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                with(size), std::size_t(0), tested.messages());
        }
    }

    // Guards against two instances that keep telling each other the same.
    void an_instance_sends_nothing_but_repetitions_after_agreement()
    {
        for (const auto size : sizes)
        {
            evidence_fleet tested({size});
            tested.answer(1, {bad});
            tested.answer(2, {bad});
            tested.run(100ms);
            lose_four(tested);
            assert_agreed(tested, 1s, prompt_verdict::refused);
            assert_only_repetitions(tested);
        }
    }

    // Guards against an exchange that goes on for as long as a part is used
    // that was once lost with an engine, such as a common system prompt.
    void a_part_that_is_answered_causes_no_lasting_messages()
    {
        evidence_fleet tested({7});
        tested.crash(1, {{sound}, {sound}, {sound}}, 0);
        const auto answer_for = [&](duration time)
        {
            for (const auto end = tested.now() + time; tested.now() < end;)
            {
                for (std::size_t i = 0; i < tested.size(); ++i)
                    tested.answer(i, {sound});
                tested.run(25ms);
            }
        };
        answer_for(10s);
        tested.reset_traffic();
        answer_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tested.messages());
    }

    // Guards against expired records that instances return to each other.
    void records_disappear_when_they_have_expired()
    {
        for (const auto size : {std::size_t(7), std::size_t(65)})
        {
            evidence_fleet tested(
                {size, 0.1, std::chrono::microseconds(60'000)});
            lose_four(tested);
            tested.crash(9, {{1, 2, 3}, {1, 2}, {3}}, 4);
            tested.run(62s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(with(size), std::string("expired"),
                std::string(to_string(tested.verdict(0, {bad}))));
            CPPUNIT_ASSERT(tested.agrees({1, 2, 3, bad, sound}));
            tested.run(62s);
            tested.reset_traffic();
            tested.run(2s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                with(size), std::size_t(0), tested.messages());
        }
    }

    // Guards against instances that evict different parts and send them to each
    // other again and again.
    void more_parts_than_fit_cause_no_endless_exchange()
    {
        for (const auto size : {std::size_t(7), std::size_t(65)})
        {
            evidence_fleet tested({size});
            for (std::uint64_t i = 0; i < 12; ++i)
            {
                std::vector<std::uint64_t> parts;
                for (std::uint64_t part = 0; part < 10; ++part)
                    parts.push_back(1'000 + (i * 37 + part) % 100);
                tested.crash(100 + i, {parts}, i);
            }
            tested.run(100ms);
            lose_four(tested);
            assert_agreed(tested, 4s, prompt_verdict::refused);
            assert_only_repetitions(tested);
        }
    }

    // As above, for crashes of one part.
    void more_crashes_than_fit_cause_no_endless_exchange()
    {
        for (const auto size : {std::size_t(7), std::size_t(65)})
        {
            evidence_fleet tested({size});
            for (std::uint64_t i = 0; i < 40; ++i)
            {
                tested.crash(i, {{bad}}, i);
                tested.run(between_crashes);
            }
            assert_agreed(tested, 1s, prompt_verdict::refused);
            assert_only_repetitions(tested);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evidence_fleet_test);

} // namespace tarragonquay::experiment
