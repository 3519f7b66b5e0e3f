#include "dispatch/limit_share.hpp"

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::dispatch
{
namespace
{

using namespace std::chrono_literals;

constexpr auto window = 4s;
const time_point start{std::chrono::hours(1)};

std::vector<instance_id> make_fleet(int size)
{
    std::vector<instance_id> out;
    out.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i)
        out.emplace_back("i" + std::to_string(i));
    return out;
}

/// What the endpoint may get in `window`, by the platform's rule.
double allowed(double rate)
{
    return 1.5 * rate * std::chrono::duration<double>(window).count() + 5;
}

/// A fleet that shares the limit of one endpoint. Each instance sends whenever
/// it may. Instances are lost and return; the others notice after some time,
/// each at another one.
class fleet_model
{
public:
    fleet_model(int size, double rate, bool changes)
        : fleet_(make_fleet(size)),
          rate_(rate),
          changes_(changes),
          serving_(fleet_.size(), true),
          shares_(fleet_.size())
    {
    }

    void run(duration time)
    {
        views_.push_back({start, serving_});
        for (auto now = start; now < start + time; now += step)
        {
            if (changes_ && draw(0, 150) == 0)
            {
                const auto one = draw(0, static_cast<int>(fleet_.size()) - 1);
                serving_[one] = !serving_[one];
                views_.push_back({now, serving_});
            }
            while (views_.size() > 1 && views_[1].since + max_delay <= now)
                views_.pop_front();
            for (std::size_t i = 0; i < fleet_.size(); ++i)
                send(i, now);
        }
    }

    /// Largest number of requests within `window`.
    std::size_t most() const
    {
        std::size_t out = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < arrivals_.size(); ++i)
        {
            while (arrivals_[first] + window < arrivals_[i])
                ++first;
            out = std::max(out, i - first + 1);
        }
        return out;
    }
    std::size_t arrivals() const { return arrivals_.size(); }

private:
    struct view
    {
        time_point since;
        std::vector<bool> serving;
    };

    static constexpr auto step = 10ms;
    /// Time in which instances notice a change.
    static constexpr std::chrono::milliseconds max_delay{1'500};

    int draw(int from, int to)
    {
        return std::uniform_int_distribution(from, to)(random_);
    }

    // An instance knows its own state at once.
    std::vector<instance_id> view_of(std::size_t self, time_point now) const
    {
        const std::chrono::milliseconds delay(
            (self * 379) % static_cast<std::size_t>(max_delay.count()));
        const auto* known = &views_.front();
        for (const auto& each : views_)
            if (each.since + delay <= now)
                known = &each;
        std::vector<instance_id> out;
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            if (i == self ? serving_[i] : known->serving[i])
                out.push_back(fleet_[i]);
        return out;
    }

    void send(std::size_t self, time_point now)
    {
        if (views_.size() > 1 || now == start)
            shares_[self].set(
                rate_, fleet_[self], view_of(self, now), endpoint_, now);
        while (serving_[self] && shares_[self].admits(now))
        {
            shares_[self].take(now);
            arrivals_.push_back(now);
        }
    }

    const std::vector<instance_id> fleet_;
    const double rate_;
    const bool changes_;
    const endpoint_id endpoint_{"e"};
    std::vector<bool> serving_;
    std::vector<limit_share> shares_;
    /// Oldest first; the first one is known to all.
    std::deque<view> views_;
    std::vector<time_point> arrivals_;
    std::mt19937 random_{41};
};

} // namespace

class limit_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_share_test);
    CPPUNIT_TEST(an_endpoint_without_a_limit_takes_all);
    CPPUNIT_TEST(few_instances_share_a_low_limit);
    CPPUNIT_TEST(a_fleet_sends_no_more_than_the_limit_allows);
    CPPUNIT_TEST(a_changing_fleet_sends_no_more_than_the_limit_allows);
    CPPUNIT_TEST(an_endpoint_with_the_lowest_limit_gets_some_requests);
    CPPUNIT_TEST(a_new_holder_waits);
    CPPUNIT_TEST(an_unused_place_is_not_scarce_for_long);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_endpoint_without_a_limit_takes_all()
    {
        limit_share tested;
        tested.take(start);
        CPPUNIT_ASSERT(tested.admits(start) && !tested.scarce(start));
        CPPUNIT_ASSERT(tested.next_place(start) == start);
    }

    void few_instances_share_a_low_limit()
    {
        const auto fleet = make_fleet(295);
        const endpoint_id endpoint("e");
        const auto holders = [&](double rate)
        {
            return std::count_if(fleet.begin(), fleet.end(),
                [&](const instance_id& each)
                { return limit_share_rank(each, fleet, endpoint, rate); });
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(4), holders(0.5));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(6), holders(1.9));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(295), holders(1'000));
        CPPUNIT_ASSERT(
            !limit_share_rank(instance_id("other"), fleet, endpoint, 1'000));
    }

    // Guards against a limit that each instance keeps and the fleet exceeds.
    void a_fleet_sends_no_more_than_the_limit_allows() { check_fleets(false); }

    // Guards against two views of the fleet whose shares add up.
    void a_changing_fleet_sends_no_more_than_the_limit_allows()
    {
        check_fleets(true);
    }

    // Guards against a limit of which nobody hears that it has ended.
    void an_endpoint_with_the_lowest_limit_gets_some_requests()
    {
        fleet_model tested(7, 0, false);
        tested.run(60s);
        CPPUNIT_ASSERT(tested.arrivals() >= 15);
        CPPUNIT_ASSERT(static_cast<double>(tested.most()) <= allowed(0));
    }

    // Guards against an instance that uses its share before the former holder
    // knows that it has lost it.
    void a_new_holder_waits()
    {
        const instance_id self("i0");
        limit_share tested;
        tested.set(0.5, self, {}, endpoint_id("e"), start);
        CPPUNIT_ASSERT(!tested.admits(start + 1h));
        tested.set(0.5, self, {self}, endpoint_id("e"), start);
        CPPUNIT_ASSERT(!tested.admits(start + 1'999ms));
        CPPUNIT_ASSERT(tested.admits(start + 2s));
        CPPUNIT_ASSERT(tested.next_place(start) == start + 2s);
    }

    void an_unused_place_is_not_scarce_for_long()
    {
        const instance_id self("i0");
        limit_share tested;
        tested.set(0.5, self, {self}, endpoint_id("e"), start);
        tested.take(start);
        CPPUNIT_ASSERT(!tested.admits(start + 1'999ms));
        CPPUNIT_ASSERT(tested.admits(start + 2s));
        CPPUNIT_ASSERT(tested.scarce(start + 2s));
        CPPUNIT_ASSERT(!tested.scarce(start + 2'500ms));
    }

private:
    static void check_fleets(bool changes)
    {
        constexpr auto time = 60s;
        for (const int size : {1, 7, 65, 295})
            for (const double rate : {0.3, 1.0, 1.9, 10.0, 100.0})
            {
                fleet_model tested(size, rate, changes);
                tested.run(time);
                const auto used = static_cast<double>(tested.arrivals()) /
                                  (rate * static_cast<double>(time.count()));
                const auto message = "instances " + std::to_string(size) +
                                     ", rate " + std::to_string(rate) +
                                     ", most " + std::to_string(tested.most()) +
                                     ", used " + std::to_string(used);
                CPPUNIT_ASSERT_MESSAGE(message,
                    static_cast<double>(tested.most()) <= allowed(rate));
                if (!changes)
                    CPPUNIT_ASSERT_MESSAGE(message, used >= 0.95);
            }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_share_test);

} // namespace tarragonquay::dispatch
