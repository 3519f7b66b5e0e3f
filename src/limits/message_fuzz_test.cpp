#include <cppunit/extensions/HelperMacros.h>

#include "limits/limiter.hpp"
#include "support/message_mutation.hpp"

namespace tarragonquay::limits
{

// Guards the limiter against corrupt and forged messages of other instances.
class message_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_fuzz_test);
    CPPUNIT_TEST(corrupt_messages_keep_shares_and_level_in_range);
    CPPUNIT_TEST(transfers_of_unknown_senders_are_rejected);
    CPPUNIT_TEST(forged_requests_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;
    static constexpr std::int64_t rate = 100;
    static constexpr std::int64_t burst = 1000;
    static constexpr std::int64_t millitokens = 1000;

    const workspace_id acme_{"acme"};

public:
    void setUp() override
    {
        limits_view view;
        for (const char* name : {"i0", "i1", "i2"})
        {
            catalog::member member;
            member.instance = instance_id(name);
            member.incarnation = std::string(name) + "-1";
            view.members.push_back(member);
        }
        view.epoch = 1;
        tested_.apply(view, now_);
        view.epoch_open = true;
        tested_.apply(view, now_);
        view.workspaces = {{acme_, rate, burst}};
        tested_.apply(view, now_);
    }

    // Guards against overflows, and against shares or levels that exceed those
    // of the workspace.
    void corrupt_messages_keep_shares_and_level_in_range()
    {
        test_support::message_mutator random(seed);
        for (int i = 0; i < cases; ++i)
        {
            now_ += std::chrono::milliseconds(random.below(200));
            receive(random);
            const auto state = tested_.state(acme_, now_);
            CPPUNIT_ASSERT(state.shares >= 0 && state.shares <= total_shares);
            CPPUNIT_ASSERT(state.level_millitokens >= 0 &&
                           state.level_millitokens <= burst * millitokens);
            for (const auto& out : tested_.tick(now_))
                check(out.message);
        }
    }

    // Guards against memory that grows with each forged transfer id.
    void transfers_of_unknown_senders_are_rejected()
    {
        auto transfer = valid_transfer();
        const auto before = tested_.state(acme_, now_);
        for (const char* id : {"other-1/1/i0-1/1", "/1", "i1-1/1/i2-1/1",
                 "i1-1/2/i0-1/1", "i1-1/1"})
        {
            transfer.set_transfer_id(id);
            CPPUNIT_ASSERT_MESSAGE(id, !tested_.on_transfer(transfer, now_));
        }
        CPPUNIT_ASSERT(before == tested_.state(acme_, now_));
        CPPUNIT_ASSERT(tested_.on_transfer(valid_transfer(), now_));
    }

    // Guards against memory and messages that grow with each forged instance
    // id, and with each forged incarnation of one instance.
    void forged_requests_are_bounded()
    {
        // Four times the number of instances that the system is designed for.
        constexpr int forged_instances = 3000;
        constexpr std::size_t max_guests = 1500;
        peer::Share_request request;
        request.set_workspace(acme_.str());
        request.set_epoch(1);
        request.set_level_millitokens(1);
        for (int i = 0; i < forged_instances; ++i)
        {
            const auto name = "x" + std::to_string(i);
            tested_.on_request(instance_id(name), name + "-1", request, now_);
            tested_.on_request(instance_id("y"), name + "-2", request, now_);
        }
        const auto& guests = tested_.given_guests().incarnations;
        CPPUNIT_ASSERT(guests.size() >= 700 && guests.size() <= max_guests);
        CPPUNIT_ASSERT(tested_.take_messages(now_).size() <= max_guests);
        // A member still receives the level that it requests.
        tested_.on_request(instance_id("i1"), "i1-1", request, now_);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), tested_.take_messages(now_).size());
    }

private:
    peer::Share_transfer valid_transfer() const
    {
        peer::Share_transfer transfer;
        transfer.set_transfer_id("i1-1/1/i0-1/1");
        transfer.set_to_incarnation("i0-1");
        transfer.set_workspace(acme_.str());
        transfer.set_epoch(1);
        transfer.set_shares(1000);
        transfer.set_level_millitokens(1000);
        return transfer;
    }

    void receive(test_support::message_mutator& random)
    {
        const instance_id from("i1");
        switch (random.below(4))
        {
        case 0:
            tested_.on_transfer(random.damage(valid_transfer()), now_);
            return;
        case 1:
        {
            peer::Share_request request;
            request.set_workspace(acme_.str());
            request.set_epoch(1);
            request.set_level_millitokens(1000);
            return tested_.on_request(
                from, "i1-1", random.damage(request), now_);
        }
        case 2:
        {
            peer::Share_transfer_ack ack;
            ack.set_transfer_id("i0-1/1/i1-1/1");
            return tested_.on_transfer_ack(random.damage(ack));
        }
        default:
        {
            peer::Heartbeat heartbeat;
            auto& demand = *heartbeat.add_demands();
            demand.set_workspace(acme_.str());
            demand.set_requested_tokens(500);
            demand.set_level_tokens(10);
            demand.set_shares(1);
            return tested_.on_demands(from, random.damage(heartbeat), now_);
        }
        }
    }

    static void check(const peer::Envelope& message)
    {
        if (!message.has_share_transfer())
            return;
        const auto& transfer = message.share_transfer();
        CPPUNIT_ASSERT(
            transfer.shares() > 0 && transfer.shares() <= total_shares);
        CPPUNIT_ASSERT(transfer.level_millitokens() >= 0 &&
                       transfer.level_millitokens() <= burst * millitokens);
    }

    time_point now_{std::chrono::hours(1)};
    limiter tested_{instance_id("i0"), "i0-1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_fuzz_test);

} // namespace tarragonquay::limits
