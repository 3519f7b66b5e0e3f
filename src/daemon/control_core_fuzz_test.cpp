#include <utility>

#include "daemon/control_core.hpp"

#include <array>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "daemon/core_fixture.hpp"
#include "support/message_mutation.hpp"

namespace tarragonquay::daemon
{

// Passes mutated messages to control_core::on_message.
class control_core_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_core_fuzz_test);
    CPPUNIT_TEST(damaged_messages_keep_the_state_in_range);
    CPPUNIT_TEST(messages_without_a_valid_id_or_body_are_refused);
    CPPUNIT_TEST(messages_from_unknown_instances_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int rounds = 20;
    static constexpr int cases = 1000;
    static constexpr std::int64_t events_kept = 64;
    static constexpr std::int64_t max_revision = 1'000'000'000'000'000;
    static constexpr std::int64_t burst = 1000;
    // Nothing listens there.
    static constexpr const char* unreachable_address = "127.0.0.1:1";

    using random_source = test_support::message_mutator;

    /// A core without a store.
    struct node : core_fixture
    {
        node() : core_fixture(unreachable_address, events_kept)
        {
            core->start();
        }
    };

    static config::Snapshot valid_snapshot(const control_core& core)
    {
        config::Snapshot message;
        message.set_revision(9);
        message.set_epoch(2);
        message.set_epoch_open(true);
        message.set_membership_revision(5);
        auto& workspace = *message.add_workspaces();
        workspace.set_id("w");
        workspace.set_rate_tokens_per_second(10);
        workspace.set_burst_tokens(burst);
        auto& model = *message.add_models();
        model.set_id("m");
        model.set_version("1");
        auto& endpoint = *message.add_endpoints();
        endpoint.set_id("e");
        endpoint.set_address(unreachable_address);
        for (const char* name : {"a", "b", "c"})
        {
            auto& member = *message.add_members();
            member.set_instance(name);
            member.set_incarnation(name == core.local().instance.str()
                                       ? core.local().incarnation
                                       : std::string(name) + "-1");
            member.set_peer_address(unreachable_address);
            member.set_entry_address(unreachable_address);
        }
        return message;
    }

    static peer::Envelope envelope_of(const std::string& from)
    {
        peer::Envelope envelope;
        envelope.set_from_instance(from);
        envelope.set_from_incarnation(from + "-1");
        envelope.set_from_address(unreachable_address);
        envelope.set_to_instance("a");
        return envelope;
    }

    static peer::Envelope with_snapshot(const control_core& core)
    {
        auto envelope = envelope_of("b");
        *envelope.mutable_catch_up_reply()->mutable_snapshot() =
            valid_snapshot(core);
        return envelope;
    }

    static void fill_limits(
        peer::Envelope& envelope, const control_core& core, std::size_t kind)
    {
        switch (kind)
        {
        case 0:
        {
            auto& transfer = *envelope.mutable_share_transfer();
            transfer.set_transfer_id(
                "b-1/2/" + core.local().incarnation + "/1");
            transfer.set_to_incarnation(core.local().incarnation);
            transfer.set_workspace("w");
            transfer.set_epoch(2);
            transfer.set_shares(1000);
            transfer.set_level_millitokens(1000);
            return;
        }
        case 1:
            return envelope.mutable_share_transfer_ack()->set_transfer_id(
                core.local().incarnation + "/2/b-1/1");
        default:
            envelope.mutable_share_request()->set_workspace("w");
            envelope.mutable_share_request()->set_epoch(2);
            envelope.mutable_share_request()->set_level_millitokens(1000);
        }
    }

    static void fill_membership(
        peer::Envelope& envelope, const control_core& core, std::size_t kind)
    {
        const auto& applied = core.configuration();
        switch (kind)
        {
        case 0:
        {
            auto& heartbeat = *envelope.mutable_heartbeat();
            heartbeat.set_sequence(1);
            heartbeat.set_applied_revision(applied.revision());
            heartbeat.add_silent_instances("c");
            auto& demand = *heartbeat.add_demands();
            demand.set_workspace("w");
            demand.set_requested_tokens(500);
            return;
        }
        case 1:
            envelope.mutable_heartbeat_reply()->set_sequence(1);
            envelope.mutable_heartbeat_reply()->set_applied_revision(
                applied.revision());
            return envelope.mutable_heartbeat_reply()->set_admits_for_ms(1000);
        case 2:
        {
            auto& change = *envelope.mutable_push()->add_changes();
            change.set_revision(applied.revision() + 1);
            change.set_operation_id("o");
            change.mutable_put_workspace()->set_id("v");
            return;
        }
        case 3:
            return envelope.mutable_push_ack()->set_applied_revision(
                applied.revision());
        case 4:
            return envelope.mutable_catch_up_request()->set_after_revision(2);
        default:
            envelope = with_snapshot(core);
            envelope.mutable_catch_up_reply()->mutable_snapshot()->set_revision(
                applied.revision() + 1);
        }
    }

    static peer::Envelope valid_message(
        random_source& random, const control_core& core)
    {
        // "d" is not a member.
        constexpr std::array<const char*, 3> senders{"b", "c", "d"};
        auto envelope = envelope_of(senders.at(random.below(senders.size())));
        envelope.set_guest_epoch(2);
        envelope.add_guest_incarnations("d-1");
        switch (random.below(6))
        {
        case 0:
        case 1:
            fill_limits(envelope, core, random.below(3));
            break;
        case 2:
        {
            auto& entry = *envelope.mutable_demand_report()->add_entries();
            entry.set_model("m");
            entry.set_tokens(10);
            break;
        }
        case 3:
            if (random.below(2) == 0)
                envelope.mutable_events_request()->set_limit(10);
            else
                envelope.mutable_events_reply()->add_events()->set_kind("x");
            break;
        default:
            fill_membership(envelope, core, random.below(6));
        }
        return envelope;
    }

    static bool has_expected_code(const error& refused)
    {
        return refused.code() == error_code::malformed_message ||
               refused.code() == error_code::payload_too_large;
    }

    static void check_invariants(const node& tested)
    {
        auto& core = *tested.core;
        const auto& configuration = core.configuration();
        CPPUNIT_ASSERT(configuration.revision() <= max_revision);
        CPPUNIT_ASSERT(core.entries().size() <= configuration.members().size());
        const auto status = core.status();
        CPPUNIT_ASSERT_EQUAL(configuration.members().size(),
            static_cast<std::size_t>(status.members_size()));
        CPPUNIT_ASSERT_EQUAL(configuration.workspaces().size(),
            static_cast<std::size_t>(status.workspaces_size()));
        for (const auto& workspace : status.workspaces())
        {
            CPPUNIT_ASSERT(workspace.shares() >= 0 &&
                           workspace.shares() <= limits::total_shares);
            CPPUNIT_ASSERT(workspace.level_tokens() >= 0);
            if (workspace.workspace() == "w" &&
                configuration.workspaces().begin()->second.burst_tokens ==
                    burst)
                CPPUNIT_ASSERT(workspace.level_tokens() <= burst);
        }
        CPPUNIT_ASSERT(tested.events.latest(10 * events_kept).events.size() <=
                       static_cast<std::size_t>(events_kept));
    }

public:
    // Guards against a crash, an unexpected error code, a revision that
    // decreases, and shares above the total.
    void damaged_messages_keep_the_state_in_range()
    {
        random_source random(seed);
        int refused = 0;
        std::int64_t applied = 0;
        for (int round = 0; round < rounds; ++round)
        {
            node tested;
            CPPUNIT_ASSERT(tested.core->on_message(with_snapshot(*tested.core))
                               .has_value());
            CPPUNIT_ASSERT_EQUAL(
                std::int64_t(9), tested.core->configuration().revision());
            for (int i = 0; i < cases; ++i)
            {
                const auto before = tested.core->configuration().revision();
                const auto message =
                    random.damage(valid_message(random, *tested.core));
                const auto handled = tested.core->on_message(message);
                CPPUNIT_ASSERT_MESSAGE(message.ShortDebugString(),
                    handled || has_expected_code(handled.error()));
                refused += handled ? 0 : 1;
                tested.io.poll();
                const auto after = tested.core->configuration().revision();
                CPPUNIT_ASSERT(after >= before);
                applied += after > before ? 1 : 0;
                check_invariants(tested);
            }
            const auto message = tested.core->configuration().to_proto();
            CPPUNIT_ASSERT(catalog::snapshot::from_proto(message).has_value());
        }
        CPPUNIT_ASSERT(refused > 0 && refused < rounds * cases);
        CPPUNIT_ASSERT(applied > rounds);
    }

    // Guards against ids of unlimited size that are stored, forwarded or
    // logged, and against ids that inject log lines.
    void messages_without_a_valid_id_or_body_are_refused()
    {
        node tested;
        const auto code_of = [&](const peer::Envelope& message)
        {
            const auto handled = tested.core->on_message(message);
            CPPUNIT_ASSERT_MESSAGE(message.ShortDebugString(), !handled);
            return handled.error().code();
        };
        const std::string too_long(10'000, 'x');
        for (const auto& name :
            {std::string(), too_long, std::string("b\r\nb"), std::string(1, 0)})
        {
            auto message = envelope_of("b");
            message.mutable_demand_report();
            CPPUNIT_ASSERT(tested.core->on_message(message).has_value());
            message.set_from_instance(name);
            CPPUNIT_ASSERT(error_code::malformed_message == code_of(message));
            message.set_from_instance("b");
            message.set_from_incarnation(name);
            CPPUNIT_ASSERT(error_code::malformed_message == code_of(message));
            message.set_from_incarnation("b-1");
            message.add_guest_incarnations(name);
            CPPUNIT_ASSERT(error_code::malformed_message == code_of(message));
        }
        CPPUNIT_ASSERT(
            error_code::malformed_message == code_of(envelope_of("b")));
    }

    // Guards against memory that grows with each unknown instance id.
    void messages_from_unknown_instances_are_bounded()
    {
        // Four times the instances of the design target.
        constexpr int instances = 3000;
        node tested;
        int accepted = 0;
        for (int i = 0; i < instances; ++i)
        {
            auto message = envelope_of("i" + std::to_string(i));
            message.mutable_demand_report()->add_entries()->set_model("m");
            const auto handled = tested.core->on_message(message);
            CPPUNIT_ASSERT(handled || handled.error().code() ==
                                          error_code::payload_too_large);
            accepted += handled ? 1 : 0;
        }
        CPPUNIT_ASSERT(accepted >= 700 && accepted < instances);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_core_fuzz_test);

} // namespace tarragonquay::daemon
