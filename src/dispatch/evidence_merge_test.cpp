#include "dispatch/crash_evidence.hpp"

#include <chrono>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::dispatch
{

using namespace std::chrono_literals;

// Two instances that exchange their records.
class evidence_merge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evidence_merge_test);
    CPPUNIT_TEST(expired_crashes_are_not_returned);
    CPPUNIT_TEST(expired_refusals_are_not_returned);
    CPPUNIT_TEST(the_request_of_a_crash_affects_the_verdict_at_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t bad = 5;
    static constexpr duration delay = 30ms;

    static prompt make_request(std::uint64_t request)
    {
        prompt out;
        out.parts = {{bad, 1}, {request, 1}};
        return out;
    }

    // Ends that follow each other more closely count once for a refusal.
    void crash(crash_evidence& at, int process, std::uint64_t request)
    {
        now_ += 250ms;
        at.note_crash(make_request(request),
            endpoint_id("e" + std::to_string(process)), 1, now_);
    }

    // As the exchange does it: times grow by the transmission time.
    bool send(const crash_evidence& from, crash_evidence& to)
    {
        auto records = from.records(now_);
        now_ += delay;
        for (auto& each : records)
        {
            if (each.answered_at)
                *each.answered_at += delay;
            for (auto& crash : each.crashes)
                crash.at += delay;
        }
        return to.merge(records, now_);
    }

    // Both drop expired records, each at its own second.
    void exchange_for(duration time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += 440ms)
        {
            a_.expire(now_);
            send(b_, a_);
            b_.expire(now_);
            send(a_, b_);
        }
    }

public:
    // Guards against two instances that drop and return an expired crash in
    // turn and thereby keep it forever.
    void expired_crashes_are_not_returned()
    {
        crash(a_, 1, 101);
        crash(a_, 2, 102);
        CPPUNIT_ASSERT(send(a_, b_));
        exchange_for(62s);
        CPPUNIT_ASSERT(a_.records(now_).empty());
        CPPUNIT_ASSERT(b_.records(now_).empty());
    }

    // As above, for a refused part, whose records live longer.
    void expired_refusals_are_not_returned()
    {
        for (int process = 1; process <= 3; ++process)
            crash(a_, process, 100 + static_cast<std::uint64_t>(process));
        CPPUNIT_ASSERT(send(a_, b_));
        exchange_for(118s);
        CPPUNIT_ASSERT(
            prompt_verdict::expired == b_.judge(make_request(1), now_));
        exchange_for(4s);
        CPPUNIT_ASSERT(a_.records(now_).empty());
        CPPUNIT_ASSERT(b_.records(now_).empty());
    }

    // Guards against a verdict from before the merge: three crashes prove the
    // cause only if they lost two different requests.
    void the_request_of_a_crash_affects_the_verdict_at_once()
    {
        for (int process = 1; process <= 3; ++process)
            crash(a_, process, 900);
        CPPUNIT_ASSERT(
            prompt_verdict::suspect == a_.judge(make_request(1), now_));
        // The other instance has seen the first of these ends.
        b_.note_crash(make_request(100), endpoint_id("e1"), 1, now_ - 500ms);
        const auto revision = a_.revision();
        CPPUNIT_ASSERT(send(b_, a_));
        CPPUNIT_ASSERT(a_.revision() != revision);
        CPPUNIT_ASSERT(
            prompt_verdict::refused == a_.judge(make_request(1), now_));
    }

private:
    time_point now_{std::chrono::hours(30)};
    crash_evidence a_;
    crash_evidence b_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(evidence_merge_test);

} // namespace tarragonquay::dispatch
