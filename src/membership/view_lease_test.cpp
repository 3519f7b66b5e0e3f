#include "membership/view_lease.hpp"

#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay::membership
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct clock_ref
{
    const fake_clock* source;
    time_point now() const { return source->now(); }
};

catalog::member member_of(int index, int incarnation = 1)
{
    catalog::member result;
    result.instance = instance_id("i" + std::to_string(index));
    result.incarnation =
        result.instance.str() + "-" + std::to_string(incarnation);
    return result;
}

// Instances that apply one log, with a network that loses and delays messages.
class simulation
{
public:
    static constexpr int instances = 6;

    simulation()
    {
        log_.push_back({});
        log_.push_back({{member_of(0), member_of(1), member_of(2)}, true, {}});
        for (int i = 0; i < instances; ++i)
            restart(i);
        check_leases();
    }

    void step(int kind, int a, int b)
    {
        a %= instances;
        switch (kind % 12)
        {
        case 0:
        case 1:
            clock_.advance(milliseconds(b * 32));
            break;
        case 2:
        case 3:
            for (int to = 0; to < instances; ++to)
                requests_.push_back(
                    {a, to, nodes_[a].incarnation, clock_.now()});
            break;
        case 4:
        case 5:
        case 6:
            deliver(a, b);
            break;
        case 7:
        case 8:
            catch_up(a, b % 4 == 0 ? 1 : 100);
            break;
        case 9:
            if (head().acknowledged || b % 8 == 0)
                log_.push_back({head().members, false, {}});
            break;
        case 10:
            change_membership(a, b);
            break;
        default:
            if (b % 8 == 0)
                restart(a);
            else
                nodes_[a].lease->renew_from_store(
                    clock_.now() - milliseconds(b * 10), last());
        }
        check_leases();
    }

private:
    struct entry
    {
        std::vector<catalog::member> members;
        bool changes_members = false;
        std::optional<time_point> acknowledged;
    };
    struct node
    {
        int incarnation = 0;
        std::int64_t applied = 0;
        std::optional<view_lease<clock_ref>> lease;
    };
    struct message
    {
        int from, to, incarnation;
        time_point sent_at;
        std::optional<std::int64_t> replied_revision = std::nullopt;
        int replier_incarnation = 0;
    };

    std::int64_t last() const
    {
        return static_cast<std::int64_t>(log_.size()) - 1;
    }
    const entry& head() const { return log_.back(); }

    void restart(int index)
    {
        auto& target = nodes_[index];
        ++target.incarnation;
        target.applied = 0;
        const auto self = member_of(index, target.incarnation);
        target.lease.emplace(
            clock_ref{&clock_}, self.instance, self.incarnation);
    }

    void catch_up(int index, int count)
    {
        auto& target = nodes_[index];
        target.applied = std::min(last(), target.applied + count);
        target.lease->update(log_[target.applied].members, target.applied);
    }

    // Advances some of the newest messages of one instance by one hop.
    void deliver(int a, int b)
    {
        const auto newest = std::min<std::size_t>(requests_.size(), 48);
        for (auto at = requests_.size() - newest; at < requests_.size(); ++at)
        {
            auto& item = requests_[at];
            if (item.from != a || ((b >> item.to) & 1) == 0)
                continue;
            if (!item.replied_revision)
            {
                item.replied_revision = nodes_[item.to].applied;
                item.replier_incarnation = nodes_[item.to].incarnation;
            }
            else if (item.incarnation == nodes_[item.from].incarnation)
            {
                const auto peer = member_of(item.to, item.replier_incarnation);
                nodes_[item.from].lease->record_peer_reply(peer.instance,
                    peer.incarnation, item.sent_at, *item.replied_revision);
            }
        }
    }

    bool majority(
        const std::vector<catalog::member>& members, std::int64_t revision)
    {
        const auto count = std::count_if(members.begin(), members.end(),
            [&](const catalog::member& member)
            {
                for (int i = 0; i < instances; ++i)
                {
                    if (member == member_of(i, nodes_[i].incarnation))
                        return nodes_[i].applied >= revision;
                }
                return false;
            });
        return static_cast<std::size_t>(count) >= majority_of(members.size());
    }

    std::int64_t last_membership() const
    {
        auto revision = last();
        while (!log_[revision].changes_members)
            --revision;
        return revision;
    }

    void change_membership(int a, int b)
    {
        if (!log_[last_membership()].acknowledged)
            return;
        // Several members change at once, so that the old and the new majority
        // may have no member in common and both have to acknowledge.
        std::vector<catalog::member> next;
        for (int i = 0; i < instances; ++i)
        {
            if (((a * 37 + b) >> i) & 1)
                next.push_back(member_of(i, nodes_[i].incarnation));
        }
        if (!next.empty())
            log_.push_back({next, true, {}});
    }

    // Records each acknowledgement as early as it can be observed. From the
    // lease validity after that, no instance without the revision may hold a
    // lease.
    void check_leases()
    {
        const auto change = last_membership();
        const auto& old_members = log_[change - 1].members;
        for (std::int64_t revision = 1; revision <= last(); ++revision)
        {
            auto& item = log_[revision];
            const bool needs_old_majority =
                !log_[change].acknowledged || revision == change;
            if (!item.acknowledged && majority(head().members, revision) &&
                (!needs_old_majority || old_members.empty() ||
                    majority(old_members, revision)))
                item.acknowledged = clock_.now();
            if (!item.acknowledged ||
                clock_.now() < *item.acknowledged + view_lease_validity)
                continue;
            for (const auto& each : nodes_)
                RC_ASSERT(each.applied >= revision ||
                          !each.lease->valid(clock_.now()));
        }
    }

    fake_clock clock_;
    std::vector<entry> log_;
    std::array<node, instances> nodes_;
    std::vector<message> requests_;
};

} // namespace

class view_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(view_lease_test);
    CPPUNIT_TEST(no_lease_outlives_an_acknowledged_revision);
    CPPUNIT_TEST(lease_counts_from_the_oldest_heartbeat_of_the_majority);
    CPPUNIT_TEST(higher_reported_revision_blocks_renewal_until_applied);
    CPPUNIT_TEST(replies_of_another_incarnation_do_not_count);
    CPPUNIT_TEST(non_member_needs_a_majority_without_itself);
    CPPUNIT_TEST(lease_counts_from_the_request_of_a_store_read);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_lease_outlives_an_acknowledged_revision()
    {
        const bool held = rc::check(
            "leases end within their validity after an acknowledgement",
            []
            {
                const auto steps =
                    *rc::gen::container<std::vector<std::uint32_t>>(400,
                        // Full-range values from the first case on; small
                        // values would repeat a single step.
                        rc::gen::resize(rc::kNominalSize,
                            rc::gen::arbitrary<std::uint32_t>()));
                simulation model;
                for (const auto each : steps)
                    model.step(static_cast<int>(each & 0xff),
                        static_cast<int>((each >> 8) & 0xff),
                        static_cast<int>((each >> 16) & 0x3f));
            });
        CPPUNIT_ASSERT(held);
    }

    void lease_counts_from_the_oldest_heartbeat_of_the_majority()
    {
        auto lease = make_lease(0, 5);
        const auto start = clock_.now();
        reply(lease, 1, start, 1);
        CPPUNIT_ASSERT(!lease.valid(start));
        clock_.advance(seconds(1));
        reply(lease, 2, clock_.now(), 1);
        CPPUNIT_ASSERT(lease.deadline() == start + seconds(5));
        CPPUNIT_ASSERT(!lease.valid(start + seconds(5)));
    }

    void higher_reported_revision_blocks_renewal_until_applied()
    {
        auto lease = make_lease(0, 3);
        reply(lease, 1, clock_.now(), 2);
        CPPUNIT_ASSERT(!lease.valid(clock_.now()));
        lease.update(members(3), 2);
        CPPUNIT_ASSERT(lease.valid(clock_.now()));
    }

    // A restarted instance may have lost revisions that it acknowledged.
    void replies_of_another_incarnation_do_not_count()
    {
        auto lease = make_lease(0, 3);
        const auto restarted = member_of(1, 2);
        lease.record_peer_reply(
            restarted.instance, restarted.incarnation, clock_.now(), 1);
        CPPUNIT_ASSERT(!lease.valid(clock_.now()));
    }

    void non_member_needs_a_majority_without_itself()
    {
        auto lease = make_lease(7, 3);
        reply(lease, 0, clock_.now(), 1);
        CPPUNIT_ASSERT(!lease.valid(clock_.now()));
        reply(lease, 1, clock_.now(), 1);
        CPPUNIT_ASSERT(lease.valid(clock_.now()));
    }

    void lease_counts_from_the_request_of_a_store_read()
    {
        auto lease = make_lease(7, 3);
        const auto sent = clock_.now();
        clock_.advance(seconds(2));
        lease.renew_from_store(sent, 2);
        CPPUNIT_ASSERT(!lease.valid(clock_.now()));
        lease.update(members(3), 2);
        CPPUNIT_ASSERT(lease.deadline() == sent + seconds(5));
    }

private:
    static std::vector<catalog::member> members(int count)
    {
        std::vector<catalog::member> result;
        result.reserve(count);
        for (int i = 0; i < count; ++i)
            result.push_back(member_of(i));
        return result;
    }

    view_lease<clock_ref> make_lease(int self, int count)
    {
        const auto local = member_of(self);
        view_lease<clock_ref> lease(
            clock_ref{&clock_}, local.instance, local.incarnation);
        lease.update(members(count), 1);
        return lease;
    }

    static void reply(view_lease<clock_ref>& lease, int from, time_point sent,
        std::int64_t revision)
    {
        const auto peer = member_of(from);
        lease.record_peer_reply(
            peer.instance, peer.incarnation, sent, revision);
    }

    fake_clock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(view_lease_test);

} // namespace tarragonquay::membership
