#include <cppunit/extensions/HelperMacros.h>

#include "catalog/rows.hpp"
#include "catalog/snapshot.hpp"
#include "common/digest.hpp"
#include "config.pb.h"
#include "support/message_mutation.hpp"

namespace tarragonquay::catalog
{

// Mutated rows and objects of the store, and mutated changes from peers.
class row_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_fuzz_test);
    CPPUNIT_TEST(damaged_snapshots_are_refused_or_valid);
    CPPUNIT_TEST(damaged_changes_are_refused_or_valid);
    CPPUNIT_TEST(damaged_revisions_are_refused_or_in_range);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;

    static config::Snapshot valid_snapshot()
    {
        config::Snapshot message;
        message.set_revision(9);
        message.set_epoch(2);
        message.set_membership_revision(5);
        auto& workspace = *message.add_workspaces();
        workspace.set_id("w");
        workspace.set_rate_tokens_per_second(10);
        workspace.set_burst_tokens(20);
        auto& key = *message.add_keys();
        key.set_id("k");
        key.set_workspace("w");
        key.set_secret_sha256(sha256_hex("secret"));
        message.add_models()->set_id("m");
        auto& adapter = *message.add_adapters();
        adapter.set_id("a");
        adapter.set_model("m");
        auto& service = *message.add_services();
        service.set_name("s");
        service.add_routes()->set_path_prefix("/p");
        auto& endpoint = *message.add_endpoints();
        endpoint.set_id("e");
        endpoint.set_address("127.0.0.1:1");
        auto& member = *message.add_members();
        member.set_instance("i");
        member.set_incarnation("i-1");
        (*message.mutable_entity_revisions())["workspace/w"] = 1;
        return message;
    }

    // Checks that an accepted snapshot is within limits and survives a round
    // trip through its message.
    static void check(const snapshot& value)
    {
        CPPUNIT_ASSERT(
            value.revision() >= 0 && value.revision() <= rows::max_revision);
        CPPUNIT_ASSERT(
            value.epoch() >= 0 && value.epoch() <= rows::max_revision);
        CPPUNIT_ASSERT(value.membership_revision() >= 0 &&
                       value.membership_revision() <= value.revision());
        for (const auto& [id, each] : value.workspaces())
            CPPUNIT_ASSERT(validate(each).has_value());
        for (const auto& [id, each] : value.endpoints())
            CPPUNIT_ASSERT(validate(each).has_value());
        for (const auto& each : value.members())
            CPPUNIT_ASSERT(validate(each).has_value());
        const auto message = value.to_proto();
        for (const auto& [entity, revision] : message.entity_revisions())
            CPPUNIT_ASSERT(revision > 0 && revision <= value.revision());
        const auto again = snapshot::from_proto(message);
        CPPUNIT_ASSERT_MESSAGE(
            again ? "" : again.error().message(), again.has_value());
        CPPUNIT_ASSERT(*again == value);
    }

    static bool is_expected_refusal(const error& refused)
    {
        return refused.code() == error_code::invalid_argument ||
               refused.code() == error_code::not_found ||
               refused.code() == error_code::already_exists ||
               refused.code() == error_code::conflict;
    }

    static config::Change valid_change(test_support::message_mutator& random)
    {
        config::Change change;
        change.set_revision(10);
        change.set_operation_id("o");
        const auto whole = valid_snapshot();
        switch (random.below(7))
        {
        case 0:
            *change.mutable_put_workspace() = whole.workspaces(0);
            break;
        case 1:
            *change.mutable_put_key() = whole.keys(0);
            change.mutable_put_key()->set_id("k2");
            change.mutable_put_key()->set_secret_sha256(sha256_hex("other"));
            break;
        case 2:
            *change.mutable_put_service() = whole.services(0);
            break;
        case 3:
            *change.mutable_put_endpoint() = whole.endpoints(0);
            break;
        case 4:
            change.mutable_membership()->set_epoch(3);
            *change.mutable_membership()->add_members() = whole.members(0);
            break;
        case 5:
            change.mutable_remove_endpoint()->set_id("e");
            break;
        default:
            change.mutable_epoch_open()->set_epoch(2);
        }
        return change;
    }

public:
    // Guards against accepting a snapshot that can't be stored and restored, or
    // a revision whose successor overflows.
    void damaged_snapshots_are_refused_or_valid()
    {
        test_support::message_mutator random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto restored =
                snapshot::from_proto(random.damage(valid_snapshot()));
            if (restored)
            {
                ++accepted;
                check(*restored);
            }
            else
                CPPUNIT_ASSERT(is_expected_refusal(restored.error()));
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

    void damaged_changes_are_refused_or_valid()
    {
        const auto base = snapshot::from_proto(valid_snapshot());
        CPPUNIT_ASSERT(base.has_value());
        test_support::message_mutator random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto change = random.damage(valid_change(random));
            const auto next = base->apply(change);
            if (next)
            {
                ++accepted;
                check(*next);
            }
            else
                CPPUNIT_ASSERT_MESSAGE(change.ShortDebugString(),
                    is_expected_refusal(next.error()));
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

    void damaged_revisions_are_refused_or_in_range()
    {
        test_support::mutator random(seed);
        for (int i = 0; i < cases; ++i)
        {
            const auto text = random.damage("12345");
            const auto revision = rows::parse_revision(rows::head_key, text);
            CPPUNIT_ASSERT_MESSAGE(text,
                revision
                    ? *revision >= 0 && *revision <= rows::max_revision
                    : revision.error().code() == error_code::malformed_message);
        }
        CPPUNIT_ASSERT(
            !rows::parse_revision(rows::head_key, "9223372036854775807"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_fuzz_test);

} // namespace tarragonquay::catalog
