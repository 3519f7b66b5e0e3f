#include "membership/membership.hpp"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "support/message_mutation.hpp"

namespace tarragonquay::membership
{

// Feeds randomly damaged messages from members and unknown senders to the
// membership.
class message_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_fuzz_test);
    CPPUNIT_TEST(damaged_messages_keep_the_state_in_range);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;

public:
    // Guards against crashes, against more than one reply and one catch-up
    // request per message, and against replies from unknown senders that renew
    // the view lease.
    void damaged_messages_keep_the_state_in_range()
    {
        auto created =
            membership::create(member("a"), {"b:1"}, make_callbacks());
        CPPUNIT_ASSERT(created.has_value());
        auto& tested = **created;
        membership_view view;
        view.applied_revision = view.membership_revision = 3;
        view.members = {member("a"), member("b"), member("c")};
        view.epoch = 1;
        tested.update(view);
        test_support::message_mutator random(seed);
        for (int i = 0; i < cases; ++i)
        {
            clock_.advance(std::chrono::milliseconds(random.below(50)));
            const auto message = random.damage(valid_message(random));
            sent_ = 0;
            tested.on_message(message);
            // At most a reply and a request for missing changes.
            CPPUNIT_ASSERT_MESSAGE(message.ShortDebugString(), sent_ <= 2);
            tested.tick();
            CPPUNIT_ASSERT(tested.view() == view);
            CPPUNIT_ASSERT(std::all_of(tested.serving().begin(),
                tested.serving().end(),
                [&](const instance_id& id)
                {
                    return std::any_of(view.members.begin(), view.members.end(),
                        [&](const catalog::member& each)
                        { return each.instance == id; });
                }));
        }
        CPPUNIT_ASSERT(replies_ > 0);
    }

private:
    static catalog::member member(const std::string& name)
    {
        return {instance_id(name), name + "-1", name + ":1", "", "", ""};
    }

    peer::Envelope valid_message(test_support::message_mutator& random) const
    {
        peer::Envelope envelope;
        envelope.set_from_instance("b");
        envelope.set_from_incarnation("b-1");
        envelope.set_to_instance("a");
        envelope.set_from_address("b:1");
        switch (random.below(6))
        {
        case 0:
            envelope.mutable_heartbeat()->set_sequence(1);
            envelope.mutable_heartbeat()->set_applied_revision(3);
            envelope.mutable_heartbeat()->add_silent_instances("c");
            break;
        case 1:
            envelope.mutable_heartbeat_reply()->set_sequence(heartbeat_);
            envelope.mutable_heartbeat_reply()->set_applied_revision(3);
            break;
        case 2:
            envelope.mutable_push()->add_changes()->set_revision(4);
            break;
        case 3:
            envelope.mutable_push_ack()->set_applied_revision(3);
            break;
        case 4:
            envelope.mutable_catch_up_request()->set_after_revision(2);
            break;
        default:
            envelope.mutable_catch_up_reply()->set_applied_revision(3);
        }
        return envelope;
    }

    void send(const peer::Envelope& message)
    {
        ++sent_;
        if (message.has_heartbeat())
            heartbeat_ = message.heartbeat().sequence();
    }

    collaborators make_callbacks()
    {
        collaborators callbacks;
        callbacks.now = [this] { return clock_.now(); };
        callbacks.send = [this](const instance_id&,
                             const peer::Envelope& message) { send(message); };
        callbacks.send_to_address =
            [this](const std::string&, const peer::Envelope& message)
        { send(message); };
        callbacks.set_peer = [](const instance_id&, const std::string&) {};
        callbacks.remove_peer = [](const instance_id&) {};
        callbacks.reopen = [](const instance_id&) {};
        callbacks.commit = [](const config::Change&, const membership_view&,
                               const collaborators::commit_handler& handler)
        { handler(fail(error_code::store_unavailable, "no store")); };
        callbacks.apply_push = [](const peer::Push&) {};
        callbacks.apply_catch_up = [](const peer::Catch_up_reply&) {};
        callbacks.read_changes = [](std::int64_t)
        { return peer::Catch_up_reply(); };
        callbacks.record_reply = [this](const instance_id& peer,
                                     const std::string& incarnation,
                                     time_point sent_at, std::int64_t)
        {
            ++replies_;
            CPPUNIT_ASSERT(
                peer == instance_id("b") || peer == instance_id("c"));
            CPPUNIT_ASSERT_EQUAL(peer.str() + "-1", incarnation);
            CPPUNIT_ASSERT(sent_at <= clock_.now());
        };
        callbacks.demands = []
        { return std::vector<peer::Workspace_demand>(); };
        callbacks.on_demands = [](const instance_id&, const peer::Heartbeat&) {
        };
        callbacks.admits_for = [] { return duration::zero(); };
        callbacks.given_guests = [] { return limits::guest_list(); };
        callbacks.on_serving_changed = [](const std::vector<instance_id>&) {};
        return callbacks;
    }

    fake_clock clock_;
    int sent_ = 0;
    int replies_ = 0;
    std::int64_t heartbeat_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_fuzz_test);

} // namespace tarragonquay::membership
