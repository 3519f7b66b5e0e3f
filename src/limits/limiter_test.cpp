#include "limits/limiter.hpp"

#include <optional>

#include <cppunit/extensions/HelperMacros.h>

#include "limits/limiter_model_test.hpp"

namespace tarragonquay::limits
{

class limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limiter_test);
    CPPUNIT_TEST(request_for_the_whole_burst_collects_level_from_all_members);
    CPPUNIT_TEST(waiting_request_is_refused_at_its_deadline);
    CPPUNIT_TEST(refund_does_not_exceed_the_burst);
    CPPUNIT_TEST(use_above_the_reservation_becomes_debt);
    CPPUNIT_TEST(restarted_instance_does_not_inherit_shares);
    CPPUNIT_TEST(recreated_workspace_gets_no_additional_shares);
    CPPUNIT_TEST(recreated_workspace_starts_empty);
    CPPUNIT_TEST(refusals_have_specific_error_codes);
    CPPUNIT_TEST(hand_over_transfers_all_shares);
    CPPUNIT_TEST(hand_over_is_weighted_by_demand_and_skips_stopping_members);
    CPPUNIT_TEST(repeated_transfer_is_applied_once);
    CPPUNIT_TEST(member_has_shares_from_its_first_open_epoch);
    CPPUNIT_TEST(guest_gets_shares_until_the_epoch_ends);
    CPPUNIT_TEST(guest_rejects_transfers_to_its_predecessor);
    CPPUNIT_TEST(request_waits_for_the_first_share);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing a large request of a workspace within its rate
    // because other members hold the shares.
    void request_for_the_whole_burst_collects_level_from_all_members()
    {
        start(7);
        bool admitted = false;
        nodes_[6].admit_before(acme, 1000, within(seconds(2)), now_,
            [&](const result<reservation>& reserved)
            { admitted = reserved.has_value(); });
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
            [&](const result<reservation>& reserved)
            { refused = reserved.error().code(); });
        CPPUNIT_ASSERT(!refused);
        now_ += seconds(1);
        nodes_[0].tick(now_);
        CPPUNIT_ASSERT(refused == error_code::rate_limited);
    }

    // The bucket fills up while the first reservation is open. Refunding that
    // reservation in full would admit more than the burst at once.
    void refund_does_not_exceed_the_burst()
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
        const auto reserved = nodes_[0].admit(acme, 1000, now_);
        nodes_[0].settle(*reserved, 1200, now_);
        nodes_[0].settle(*reserved, 1200, now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(-200'000),
            nodes_[0].state(acme, now_).level_millitokens);
    }

    void restarted_instance_does_not_inherit_shares()
    {
        limiter restarted(member_of(0).instance, member_of(0, 2).incarnation);
        restarted.apply(view_of(2, 1, true), now_);
        CPPUNIT_ASSERT(restarted.state(acme, now_) == bucket_state{});
    }

    // Guards against sending callers to a new member without shares, or to no
    // member at all while an epoch is closed.
    void member_has_shares_from_its_first_open_epoch()
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

    // Guards against extra shares when a transfer that was sent before the
    // workspace was removed arrives after it was created again in the same
    // epoch.
    void recreated_workspace_gets_no_additional_shares()
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

    // Guards against an additional burst each time a workspace is removed and
    // created again.
    void recreated_workspace_starts_empty()
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

    void refusals_have_specific_error_codes()
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

    void hand_over_transfers_all_shares()
    {
        start(2);
        nodes_[1].hand_over();
        exchange();
        exchange();
        CPPUNIT_ASSERT(nodes_[1].handed_over());
        CPPUNIT_ASSERT_EQUAL(total_shares, nodes_[0].state(acme, now_).shares);
    }

    // Guards against transferring shares to a member that is about to leave.
    void hand_over_is_weighted_by_demand_and_skips_stopping_members()
    {
        start(4);
        const auto receive_heartbeat =
            [&](int from, std::int64_t requested, bool stopping)
        {
            peer::Heartbeat heartbeat;
            heartbeat.set_stopping(stopping);
            auto& demand = *heartbeat.add_demands();
            demand.set_workspace(acme.str());
            demand.set_requested_tokens(requested);
            nodes_[3].on_demands(member_of(from).instance, heartbeat, now_);
        };
        receive_heartbeat(0, 1000, true);
        receive_heartbeat(1, 299, false);
        receive_heartbeat(2, 99, false);
        nodes_[3].hand_over();
        exchange();
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(250'000), nodes_[0].state(acme, now_).shares);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(437'500), nodes_[1].state(acme, now_).shares);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(312'500), nodes_[2].state(acme, now_).shares);
    }

    // Guards against applying a duplicate that arrives after later transfers,
    // and against accepting ids beyond the window, which would have to be
    // stored.
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

    // Guards against an instance that refuses all requests because it started
    // while no membership change can be committed, and against shares that are
    // valid beyond their epoch.
    void guest_gets_shares_until_the_epoch_ends()
    {
        start(3);
        start_guest(1);
        bool admitted = false;
        guest().admit_before(acme, 300, within(seconds(1)), now_,
            [&](const result<reservation>& reserved)
            { admitted = reserved.has_value(); });
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

    // Guards against admitting the same level twice. The earlier incarnation
    // may have accepted the transfer and used its level; if its acknowledgement
    // was lost, the transfer is resent.
    void guest_rejects_transfers_to_its_predecessor()
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

    // Guards against refusing requests within the rate at an instance that has
    // joined while the epoch that gives it a share is still closed.
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
                [&](const result<reservation>& reserved)
                {
                    if (reserved)
                        ++admitted;
                    else
                        refused.push_back(reserved.error().code());
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
        // A member with shares can tell that the rate is exceeded.
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

    // Runs one round in which every message is delivered.
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
