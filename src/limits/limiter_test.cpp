#include "limits/limiter.hpp"

#include <array>
#include <optional>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tarragonquay::limits
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const workspace_id acme("acme");

catalog::member member_of(int index, int incarnation = 1)
{
    catalog::member result;
    result.instance = instance_id("i" + std::to_string(index));
    result.incarnation =
        result.instance.str() + "-" + std::to_string(incarnation);
    return result;
}

limits_view view_of(
    int members, std::int64_t epoch, bool open, std::int64_t burst = 1000)
{
    limits_view view;
    for (int i = 0; i < members; ++i)
        view.members.push_back(member_of(i));
    view.epoch = epoch;
    view.epoch_open = open;
    view.workspaces = {{acme, 100, burst}};
    return view;
}

// Instances that follow one log of configurations, over a network that loses,
// delays and repeats. Those that are not members, among them restarted ones,
// get shares from others. An instance that has not seen the close of an epoch
// has no lease, and admits nothing, once the next epoch opens.
template <class Policy>
class simulation
{
public:
    static constexpr int instances = 5;
    static constexpr std::int64_t rate = 100;
    static constexpr std::int64_t burst = 1000;

    simulation()
    {
        for (int i = 0; i < instances; ++i)
            restart(i);
        // The workspace is created in an open epoch, so buckets start full.
        auto view = view_of(3, 1, false);
        view.workspaces.clear();
        log_.push_back(view);
        view.epoch_open = true;
        log_.push_back(view);
        log_.push_back(view_of(3, 1, true));
        for (int i = 0; i < instances; ++i)
            catch_up(i, 3);
        check();
    }

    void step(int kind, int a, int b)
    {
        a %= instances;
        auto& self = *nodes_[a].limits;
        switch (kind % 16)
        {
        case 0:
        case 1:
            now_ += milliseconds(b * 32);
            break;
        case 2:
        case 3:
            admit(a, b * 16);
            break;
        case 4:
        case 14:
        case 15:
            if (!reserved_.empty())
                settle(b);
            break;
        case 5:
        case 6:
            send(a, b);
            break;
        case 7:
        case 8:
        case 9:
            deliver(b);
            break;
        case 10:
            catch_up(a, b % 4 == 0 ? 1 : 100);
            break;
        case 11:
            if (log_.back().epoch_open || b % 8 == 0)
                change_members(a, b);
            break;
        case 12:
            for (int i = 0; b % 4 != 0 && i < instances; ++i)
                catch_up(i, 100);
            open_epoch();
            break;
        default:
            if (b % 16 == 0)
                restart(a);
            else if (b % 16 == 1)
                toggle_workspace();
            else
                self.admit_before(acme, b * 12,
                    {now_ + seconds(b), now_ + seconds(2 * b)}, now_,
                    [this, a](const result<reservation>& made)
                    { record(a, made); });
        }
        check();
    }

private:
    struct node
    {
        int incarnation = 0;
        std::size_t applied = 0;
        std::optional<basic_limiter<Policy>> limits;
    };
    struct held
    {
        int node, incarnation;
        reservation made;
        std::size_t admission;
    };
    struct sent
    {
        int from;
        std::string from_incarnation;
        outgoing_message out;
    };

    struct in_transit
    {
        int to;
        std::int64_t epoch, shares;
    };

    void restart(int index)
    {
        auto& target = nodes_[index];
        ++target.incarnation;
        target.applied = 0;
        const auto self = member_of(index, target.incarnation);
        target.limits.emplace(self.instance, self.incarnation);
        std::erase_if(
            reserved_, [&](const held& each) { return each.node == index; });
    }

    void catch_up(int index, int count)
    {
        auto& target = nodes_[index];
        for (; count > 0 && target.applied < log_.size(); --count)
            target.limits->apply(log_[target.applied++], now_);
    }

    // Whether this instance may hold a view lease: no epoch is open that it
    // has not seen begin. Whether it is a member does not matter.
    bool may_serve(int index) const
    {
        const auto applied = nodes_[index].applied;
        if (applied == 0)
            return false;
        const auto open = std::find_if(log_.rbegin(), log_.rend(),
            [](const limits_view& view) { return view.epoch_open; });
        return open == log_.rend() || log_[applied - 1].epoch >= open->epoch;
    }

    void admit(int index, std::int64_t tokens)
    {
        record(index, may_serve(index)
                          ? nodes_[index].limits->admit(acme, tokens, now_)
                          : fail(error_code::no_view_lease, "no lease"));
    }

    void record(int index, const result<reservation>& made)
    {
        if (!made || !may_serve(index))
            return;
        reserved_.push_back(
            {index, nodes_[index].incarnation, *made, admitted_.size()});
        admitted_.emplace_back(now_, made->tokens);
    }

    void settle(int b)
    {
        const auto at = b % reserved_.size();
        const auto each = reserved_[at];
        reserved_.erase(reserved_.begin() + static_cast<std::ptrdiff_t>(at));
        const auto used = each.made.tokens * (b % 3) / 2;
        admitted_[each.admission].second = used;
        nodes_[each.node].limits->settle(each.made, used, now_);
    }

    void send(int a, int b)
    {
        auto& from = *nodes_[a].limits;
        peer::Heartbeat heartbeat;
        for (auto& demand : from.take_demands(now_))
            *heartbeat.add_demands() = demand;
        nodes_[b % instances].limits->on_demands(
            member_of(a).instance, heartbeat, now_);
        for (auto& out : from.tick(now_))
        {
            const auto& transfer = out.message.share_transfer();
            const auto& id = transfer.transfer_id();
            if (!id.empty() && !accepted_.contains(id))
                in_transit_[id] = {out.to.str().back() - '0', transfer.epoch(),
                    transfer.shares()};
            network_.push_back(
                {a, member_of(a, nodes_[a].incarnation).incarnation,
                    std::move(out)});
        }
    }

    // Messages stay in the network, so any can arrive again at any time.
    void deliver(int b)
    {
        if (network_.empty())
            return;
        const auto item =
            network_[network_.size() - 1 -
                     b % std::min<std::size_t>(network_.size(), 40)];
        const auto to = item.out.to.str().back() - '0';
        auto& target = *nodes_[to].limits;
        const auto& message = item.out.message;
        if (message.has_share_request())
            target.on_request(member_of(item.from).instance,
                item.from_incarnation, message.share_request(), now_);
        if (message.has_share_transfer_ack())
            target.on_transfer_ack(message.share_transfer_ack());
        if (!message.has_share_transfer() ||
            !target.on_transfer(message.share_transfer(), now_))
            return;
        accepted_.insert(message.share_transfer().transfer_id());
        in_transit_.erase(message.share_transfer().transfer_id());
        peer::Envelope ack;
        ack.mutable_share_transfer_ack()->set_transfer_id(
            message.share_transfer().transfer_id());
        network_.push_back(
            {to, member_of(to, nodes_[to].incarnation).incarnation,
                {member_of(item.from).instance, ack}});
    }

    void change_members(int a, int b)
    {
        auto next = log_.back();
        next.members.clear();
        for (int i = 0; i < instances; ++i)
        {
            if (((a * 37 + b) >> i) & 1)
                next.members.push_back(member_of(i, nodes_[i].incarnation));
        }
        if (next.members.empty())
            return;
        ++next.epoch;
        next.epoch_open = false;
        log_.push_back(next);
    }

    void open_epoch()
    {
        auto next = log_.back();
        for (const auto& member : next.members)
        {
            const auto& target = nodes_[member.instance.str().back() - '0'];
            if (member != member_of(member.instance.str().back() - '0',
                              target.incarnation) ||
                target.applied < log_.size())
                return;
        }
        next.epoch_open = true;
        log_.push_back(next);
    }

    void toggle_workspace()
    {
        auto next = log_.back();
        if (next.workspaces.empty())
            next.workspaces = {{acme, rate, burst}};
        else
        {
            next.workspaces.clear();
            next.used_before = {acme};
        }
        log_.push_back(next);
    }

    void check()
    {
        std::int64_t shares = 0;
        std::int64_t level = 0;
        for (int i = 0; i < instances; ++i)
        {
            if (!may_serve(i))
                continue;
            const auto state = nodes_[i].limits->state(acme, now_);
            shares += state.shares;
            level += std::max<std::int64_t>(state.level_millitokens, 0);
        }
        for (const auto& [id, transfer] : in_transit_)
        {
            const auto applied = nodes_[transfer.to].applied;
            const auto epoch = applied > 0 ? log_[applied - 1].epoch : 0;
            if (may_serve(transfer.to) && transfer.epoch >= epoch)
                shares += transfer.shares;
        }
        RC_ASSERT(shares <= total_shares);
        RC_ASSERT(level <= burst * 1000);
        // Every window that ends now; earlier ends were checked before.
        std::int64_t tokens = 0;
        for (auto at = admitted_.rbegin(); at != admitted_.rend(); ++at)
        {
            tokens += at->second;
            const auto elapsed =
                std::chrono::duration_cast<milliseconds>(now_ - at->first);
            RC_ASSERT(tokens * 1000 <= rate * elapsed.count() + burst * 1000);
        }
    }

    time_point now_{std::chrono::hours(1)};
    std::vector<limits_view> log_;
    std::array<node, instances> nodes_;
    std::vector<sent> network_;
    std::map<std::string, in_transit> in_transit_;
    std::set<std::string> accepted_;
    std::vector<held> reserved_;
    std::vector<std::pair<time_point, std::int64_t>> admitted_;
};

template <class Policy>
bool bounds_hold(const std::string& name)
{
    return rc::check(name,
        []
        {
            const auto steps =
                *rc::gen::container<std::vector<std::uint32_t>>(300,
                    // All values from the first case on; small ones repeat one
                    // step.
                    rc::gen::resize(
                        rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
            simulation<Policy> run;
            for (const auto each : steps)
                run.step(static_cast<int>(each & 0xff),
                    static_cast<int>((each >> 8) & 0xff),
                    static_cast<int>((each >> 16) & 0x3f));
        });
}

} // namespace

class limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limiter_test);
    CPPUNIT_TEST(bounds_hold_with_transfers);
    CPPUNIT_TEST(bounds_hold_with_a_static_split);
    CPPUNIT_TEST(bounds_hold_with_owner_grants);
    CPPUNIT_TEST(request_of_the_whole_burst_collects_all_level);
    CPPUNIT_TEST(waiting_request_is_refused_at_its_deadline);
    CPPUNIT_TEST(refund_does_not_exceed_what_the_window_allows);
    CPPUNIT_TEST(use_above_the_reservation_becomes_debt);
    CPPUNIT_TEST(restarted_instance_has_no_share_of_its_predecessor);
    CPPUNIT_TEST(workspace_created_again_gets_no_further_shares);
    CPPUNIT_TEST(workspace_created_again_starts_empty);
    CPPUNIT_TEST(errors_are_typed);
    CPPUNIT_TEST(hand_over_leaves_nothing_behind);
    CPPUNIT_TEST(hand_over_follows_demand_and_passes_over_stopping_members);
    CPPUNIT_TEST(repeated_transfer_is_applied_once);
    CPPUNIT_TEST(shares_are_had_from_the_first_open_epoch_on);
    CPPUNIT_TEST(guest_gets_shares_until_the_epoch_ends);
    CPPUNIT_TEST(guest_gets_no_transfer_of_its_predecessor);
    CPPUNIT_TEST(request_waits_for_the_first_share);
    CPPUNIT_TEST_SUITE_END();

public:
    void bounds_hold_with_transfers()
    {
        CPPUNIT_ASSERT(bounds_hold<transfer_policy>("transfers"));
    }
    void bounds_hold_with_a_static_split()
    {
        CPPUNIT_ASSERT(bounds_hold<static_split_policy>("static split"));
    }
    void bounds_hold_with_owner_grants()
    {
        CPPUNIT_ASSERT(bounds_hold<owner_grant_policy>("owner grants"));
    }

    // Guards against a large request that is refused although the workspace
    // is within its rate, because its share is elsewhere.
    void request_of_the_whole_burst_collects_all_level()
    {
        start(7);
        bool admitted = false;
        nodes_[6].admit_before(acme, 1000, within(seconds(2)), now_,
            [&](const result<reservation>& made)
            { admitted = made.has_value(); });
        for (int round = 0; round < 10 && !admitted; ++round)
            exchange();
        CPPUNIT_ASSERT(admitted);
    }

    void waiting_request_is_refused_at_its_deadline()
    {
        start(2);
        std::optional<error_code> refused;
        CPPUNIT_ASSERT(nodes_[0].admit(acme, 500, now_).has_value());
        CPPUNIT_ASSERT(nodes_[1].admit(acme, 500, now_).has_value());
        nodes_[0].admit_before(acme, 1000, within(seconds(1)), now_,
            [&](const result<reservation>& made)
            { refused = made.error().code(); });
        CPPUNIT_ASSERT(!refused);
        now_ += seconds(1);
        nodes_[0].tick(now_);
        CPPUNIT_ASSERT(refused == error_code::rate_limited);
    }

    // The bucket filled up while the first reservation was open, so a refund
    // of it would admit more than the burst at one time.
    void refund_does_not_exceed_what_the_window_allows()
    {
        start(1);
        auto& limits = nodes_[0];
        const auto first = limits.admit(acme, 1000, now_);
        now_ += seconds(10);
        const auto second = limits.admit(acme, 1000, now_);
        limits.settle(*first, 0, now_);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(0), limits.state(acme, now_).level_millitokens);
        limits.settle(*second, 400, now_);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(600'000), limits.state(acme, now_).level_millitokens);
    }

    void use_above_the_reservation_becomes_debt()
    {
        start(1);
        const auto made = nodes_[0].admit(acme, 1000, now_);
        nodes_[0].settle(*made, 1200, now_);
        nodes_[0].settle(*made, 1200, now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(-200'000),
            nodes_[0].state(acme, now_).level_millitokens);
    }

    void restarted_instance_has_no_share_of_its_predecessor()
    {
        limiter restarted(member_of(0).instance, member_of(0, 2).incarnation);
        restarted.apply(view_of(2, 1, true), now_);
        CPPUNIT_ASSERT(restarted.state(acme, now_) == bucket_state{});
    }

    // Guards against callers that are sent to a new member without shares, or
    // to no member at all while an epoch is closed.
    void shares_are_had_from_the_first_open_epoch_on()
    {
        limiter joined(member_of(1).instance, member_of(1).incarnation);
        CPPUNIT_ASSERT(!joined.has_shares());
        joined.apply(view_of(1, 1, true), now_);
        CPPUNIT_ASSERT(!joined.has_shares());
        joined.apply(view_of(2, 2, false), now_);
        CPPUNIT_ASSERT(!joined.has_shares());
        joined.apply(view_of(2, 2, true), now_);
        CPPUNIT_ASSERT(joined.has_shares());
        joined.apply(view_of(3, 3, false), now_);
        CPPUNIT_ASSERT(joined.has_shares());
        joined.apply(view_of(1, 4, false), now_);
        CPPUNIT_ASSERT(!joined.has_shares());
    }

    // A transfer that was on its way when the workspace was removed arrives
    // after it has been created again in the same epoch.
    void workspace_created_again_gets_no_further_shares()
    {
        start(2);
        nodes_[1].hand_over();
        const auto sent = nodes_[1].tick(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        auto without = view_of(2, 1, true);
        without.workspaces.clear();
        for (auto& each : nodes_)
        {
            each.apply(without, now_);
            each.apply(view_of(2, 1, true), now_);
        }
        nodes_[0].on_transfer(sent[0].message.share_transfer(), now_);
        CPPUNIT_ASSERT_EQUAL(
            total_shares, nodes_[0].state(acme, now_).shares +
                              nodes_[1].state(acme, now_).shares);
    }

    // Guards against a burst for each time that a workspace is removed and
    // created again.
    void workspace_created_again_starts_empty()
    {
        start(1);
        CPPUNIT_ASSERT(nodes_[0].admit(acme, 1000, now_).has_value());
        auto view = view_of(1, 1, true);
        view.workspaces.clear();
        nodes_[0].apply(view, now_);
        for (const bool open : {false, true})
        {
            view.epoch = 2;
            view.epoch_open = open;
            nodes_[0].apply(view, now_);
        }
        view = view_of(1, 2, true);
        view.used_before = {acme};
        nodes_[0].apply(view, now_);
        CPPUNIT_ASSERT(
            (nodes_[0].state(acme, now_) == bucket_state{total_shares, 0}));
    }

    void errors_are_typed()
    {
        start(2);
        const auto code = [&](std::int64_t tokens)
        { return nodes_[0].admit(acme, tokens, now_).error().code(); };
        CPPUNIT_ASSERT(code(1001) == error_code::request_exceeds_burst);
        CPPUNIT_ASSERT(code(501) == error_code::rate_limited);
        CPPUNIT_ASSERT(code(-1) == error_code::invalid_argument);
        CPPUNIT_ASSERT(
            nodes_[0].admit(workspace_id("x"), 1, now_).error().code() ==
            error_code::not_found);
    }

    void hand_over_leaves_nothing_behind()
    {
        start(2);
        nodes_[1].hand_over();
        exchange();
        exchange();
        CPPUNIT_ASSERT(nodes_[1].handed_over());
        CPPUNIT_ASSERT_EQUAL(total_shares, nodes_[0].state(acme, now_).shares);
    }

    // Guards against shares that go to a member that leaves next.
    void hand_over_follows_demand_and_passes_over_stopping_members()
    {
        start(4);
        const auto hear = [&](int from, std::int64_t requested, bool stopping)
        {
            peer::Heartbeat heartbeat;
            heartbeat.set_stopping(stopping);
            auto& demand = *heartbeat.add_demands();
            demand.set_workspace(acme.str());
            demand.set_requested_tokens(requested);
            nodes_[3].on_demands(member_of(from).instance, heartbeat, now_);
        };
        hear(0, 1000, true);
        hear(1, 299, false);
        hear(2, 99, false);
        nodes_[3].hand_over();
        exchange();
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(250'000), nodes_[0].state(acme, now_).shares);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(437'500), nodes_[1].state(acme, now_).shares);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(312'500), nodes_[2].state(acme, now_).shares);
    }

    // Guards against a duplicate that arrives after later transfers, and
    // against ids beyond the window, which would have to be remembered.
    void repeated_transfer_is_applied_once()
    {
        start(2);
        peer::Share_transfer transfer;
        transfer.set_workspace(acme.str());
        transfer.set_epoch(1);
        transfer.set_shares(1);
        transfer.set_to_incarnation("i0-1");
        const auto receive = [&](int sequence)
        {
            transfer.set_transfer_id("i1-1/1/i0-1/" + std::to_string(sequence));
            return nodes_[0].on_transfer(transfer, now_);
        };
        CPPUNIT_ASSERT(receive(2));
        CPPUNIT_ASSERT(receive(1));
        for (const int again : {1, 2, 1})
            CPPUNIT_ASSERT(receive(again));
        CPPUNIT_ASSERT(!receive(67));
        CPPUNIT_ASSERT(receive(66));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(500'003), nodes_[0].state(acme, now_).shares);
    }

    // Guards against an instance that starts while nothing can be committed
    // and refuses all requests, and against shares that outlive their epoch.
    void guest_gets_shares_until_the_epoch_ends()
    {
        start(3);
        start_guest(1);
        bool admitted = false;
        guest().admit_before(acme, 300, within(seconds(1)), now_,
            [&](const result<reservation>& made)
            { admitted = made.has_value(); });
        for (int round = 0; round < 4 && !admitted; ++round)
            exchange();
        CPPUNIT_ASSERT(admitted);
        CPPUNIT_ASSERT(guest().state(acme, now_).shares > 0);
        limits::guest_list named;
        for (int i = 0; i < 3; ++i)
            named = std::max(named, nodes_[i].given_guests());
        CPPUNIT_ASSERT((named == guest_list{1, {"i3-1"}}));
        guest().apply(view_of(3, 2, false), now_);
        CPPUNIT_ASSERT(guest().state(acme, now_) == bucket_state{});
        guest().apply(view_of(3, 2, true), now_);
        CPPUNIT_ASSERT(guest().state(acme, now_) == bucket_state{});
    }

    // The earlier incarnation may have accepted the transfer and spent its
    // level; its acknowledgement was lost, so the transfer is sent again.
    void guest_gets_no_transfer_of_its_predecessor()
    {
        start(3);
        start_guest(1);
        peer::Share_request request;
        request.set_workspace(acme.str());
        request.set_epoch(1);
        request.set_level_millitokens(100'000);
        nodes_[0].on_request(instance_id("i3"), "i3-1", request, now_);
        const auto sent = nodes_[0].take_messages(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        const auto& transfer = sent[0].message.share_transfer();
        CPPUNIT_ASSERT(guest().on_transfer(transfer, now_));
        nodes_.pop_back();
        start_guest(2);
        CPPUNIT_ASSERT(!guest().on_transfer(transfer, now_));
        CPPUNIT_ASSERT(guest().state(acme, now_) == bucket_state{});
    }

    // Guards against refusals within the rate at an instance that has joined
    // while the epoch that gives it a share is still closed.
    void request_waits_for_the_first_share()
    {
        limiter joined(member_of(1).instance, member_of(1).incarnation);
        joined.apply(view_of(2, 2, false), now_);
        std::vector<error_code> refused;
        int admitted = 0;
        const auto ask = [&](seconds longest)
        {
            joined.admit_before(acme, 10, {now_ + seconds(1), now_ + longest},
                now_,
                [&](const result<reservation>& made)
                {
                    if (made)
                        ++admitted;
                    else
                        refused.push_back(made.error().code());
                });
        };
        ask(seconds(3));
        ask(seconds(9));
        now_ += seconds(3);
        joined.tick(now_);
        CPPUNIT_ASSERT(refused == std::vector{error_code::no_share});
        // The new share starts empty; the request still waits for refill.
        joined.apply(view_of(2, 2, true), now_);
        CPPUNIT_ASSERT_EQUAL(0, admitted);
        now_ += seconds(2);
        joined.tick(now_);
        CPPUNIT_ASSERT_EQUAL(1, admitted);
        // A member with shares knows that the rate is used.
        CPPUNIT_ASSERT(joined.admit(acme, 400, now_).error().code() ==
                       error_code::rate_limited);
        joined.apply(view_of(2, 3, false), now_);
        CPPUNIT_ASSERT(joined.admit(acme, 400, now_).error().code() ==
                       error_code::rate_limited);
    }

private:
    admission_deadlines within(duration wait) const
    {
        return {now_ + wait, now_ + wait};
    }

    limiter& guest() { return nodes_.back(); }

    // Adds an instance that is not a member, after all others.
    void start_guest(int incarnation)
    {
        const auto index = static_cast<int>(nodes_.size());
        nodes_.emplace_back(member_of(index).instance,
            member_of(index, incarnation).incarnation);
        guest().apply(view_of(index, 1, true), now_);
    }

    void start(int members)
    {
        for (int i = 0; i < members; ++i)
        {
            nodes_.emplace_back(
                member_of(i).instance, member_of(i).incarnation);
            auto view = view_of(members, 1, false);
            view.workspaces.clear();
            nodes_.back().apply(view, now_);
            view.epoch_open = true;
            nodes_.back().apply(view, now_);
            nodes_.back().apply(view_of(members, 1, true), now_);
        }
    }

    // One round in which every message arrives.
    void exchange()
    {
        now_ += milliseconds(100);
        for (std::size_t from = 0; from < nodes_.size(); ++from)
        {
            for (const auto& out : nodes_[from].tick(now_))
            {
                auto& to = nodes_[out.to.str().back() - '0'];
                const auto& message = out.message;
                if (message.has_share_request())
                    to.on_request(member_of(static_cast<int>(from)).instance,
                        member_of(static_cast<int>(from)).incarnation,
                        message.share_request(), now_);
                if (message.has_share_transfer() &&
                    to.on_transfer(message.share_transfer(), now_))
                {
                    peer::Share_transfer_ack ack;
                    ack.set_transfer_id(message.share_transfer().transfer_id());
                    nodes_[from].on_transfer_ack(ack);
                }
            }
        }
    }

    time_point now_{std::chrono::hours(1)};
    std::vector<limiter> nodes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(limiter_test);

} // namespace tarragonquay::limits
