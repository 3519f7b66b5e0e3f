#include "catalog/snapshot.hpp"

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "common/digest.hpp"
#include "config.pb.h"

namespace tarragonquay::catalog
{

namespace
{

config::Change change_after(const snapshot& base)
{
    config::Change change;
    change.set_revision(base.revision() + 1);
    return change;
}

snapshot must_apply(const snapshot& base, const config::Change& change)
{
    const auto next = base.apply(change);
    CPPUNIT_ASSERT_MESSAGE(
        next ? "" : next.error().message(), next.has_value());
    return *next;
}

void assert_refused(
    error_code expected, const snapshot& base, const config::Change& change)
{
    const auto next = base.apply(change);
    CPPUNIT_ASSERT(!next);
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(expected)),
        std::string(to_string(next.error().code())));
}

snapshot put_workspace(const snapshot& base, const std::string& id)
{
    auto change = change_after(base);
    change.mutable_put_workspace()->set_id(id);
    change.mutable_put_workspace()->set_rate_tokens_per_second(10);
    change.mutable_put_workspace()->set_burst_tokens(20);
    return must_apply(base, change);
}

config::Change put_key(const snapshot& base, const std::string& id,
    const std::string& workspace, const std::string& secret)
{
    auto change = change_after(base);
    change.mutable_put_key()->set_id(id);
    change.mutable_put_key()->set_workspace(workspace);
    change.mutable_put_key()->set_secret_sha256(sha256_hex(secret));
    return change;
}

/// A random change of any kind. Few distinct ids are used, so that references
/// often match; some values are invalid.
config::Change arbitrary_change(std::int64_t revision)
{
    const auto id = [] { return *rc::gen::element<std::string>("a", "b", ""); };
    const auto amount = [] { return *rc::gen::inRange(-1, 100); };
    config::Change change;
    change.set_revision(revision);
    switch (*rc::gen::inRange(0, 15))
    {
    case 0:
    case 1:
        change.mutable_put_workspace()->set_id(id());
        change.mutable_put_workspace()->set_rate_tokens_per_second(amount());
        change.mutable_put_workspace()->set_burst_tokens(amount());
        break;
    case 2:
        change.mutable_remove_workspace()->set_id(id());
        break;
    case 3:
    case 4:
        change.mutable_put_key()->set_id(id());
        change.mutable_put_key()->set_workspace(id());
        change.mutable_put_key()->set_secret_sha256(sha256_hex(id()));
        break;
    case 5:
        change.mutable_withdraw_key()->set_id(id());
        break;
    case 6:
        change.mutable_put_model()->set_id(id());
        change.mutable_put_model()->set_bytes(amount());
        break;
    case 7:
        change.mutable_remove_model()->set_id(id());
        break;
    case 8:
        change.mutable_put_adapter()->set_id(id());
        change.mutable_put_adapter()->set_model(id());
        break;
    case 9:
        change.mutable_remove_adapter()->set_id(id());
        break;
    case 10:
        change.mutable_put_service()->set_name(id());
        change.mutable_put_service()->add_routes()->set_path_prefix("/" + id());
        break;
    case 11:
        change.mutable_remove_service()->set_id(id());
        break;
    case 12:
        change.mutable_put_endpoint()->set_id(id());
        change.mutable_put_endpoint()->set_address("10.0.0.1:9000");
        change.mutable_put_endpoint()->set_service(id());
        change.mutable_put_endpoint()->set_kind(*rc::gen::element(
            config::Endpoint::ENGINE, config::Endpoint::SERVICE));
        break;
    case 13:
    {
        auto& member = *change.mutable_membership()->add_members();
        member.set_instance(id());
        member.set_incarnation(id());
        change.mutable_membership()->set_epoch(amount());
        break;
    }
    default:
        change.mutable_epoch_open()->set_epoch(amount());
    }
    return change;
}

} // namespace

class snapshot_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(snapshot_test);
    CPPUNIT_TEST(any_changes_round_trip_and_never_lower_the_revision);
    CPPUNIT_TEST(a_revision_out_of_sequence_is_refused);
    CPPUNIT_TEST(a_workspace_with_active_keys_cannot_be_removed);
    CPPUNIT_TEST(a_withdrawn_key_is_never_issued_again);
    CPPUNIT_TEST(a_model_with_adapters_cannot_be_removed);
    CPPUNIT_TEST(invalid_fields_are_refused);
    CPPUNIT_TEST(the_longest_prefix_of_whole_segments_wins);
    CPPUNIT_TEST(membership_closes_the_epoch_until_it_is_opened);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fields that are missing in the snapshot message, and
    // against a refused change that alters the state.
    void any_changes_round_trip_and_never_lower_the_revision()
    {
        CPPUNIT_ASSERT(rc::check(
            [](const std::vector<bool>& steps)
            {
                snapshot current;
                for (std::size_t i = 0; i < 2 * steps.size(); ++i)
                {
                    const auto change = arbitrary_change(
                        current.revision() + *rc::gen::element(1, 1, 1, 0, 2));
                    const auto next = current.apply(change);
                    if (!next)
                        continue;
                    RC_ASSERT(next->revision() == current.revision() + 1);
                    current = *next;
                }
                const auto restored = snapshot::from_proto(current.to_proto());
                RC_ASSERT(restored.has_value());
                RC_ASSERT(*restored == current);
            }));
    }

    void a_revision_out_of_sequence_is_refused()
    {
        const auto base = put_workspace({}, "acme");
        auto change = put_key(base, "k", "acme", "s");
        for (const int revision : {0, 1, 3})
        {
            change.set_revision(revision);
            assert_refused(error_code::invalid_argument, base, change);
        }
    }

    // Guards against active keys whose workspace, and with it their rate limit,
    // no longer exists.
    void a_workspace_with_active_keys_cannot_be_removed()
    {
        auto state = put_workspace({}, "acme");
        state = must_apply(state, put_key(state, "k", "acme", "s"));
        auto removal = change_after(state);
        removal.mutable_remove_workspace()->set_id("acme");
        assert_refused(error_code::conflict, state, removal);

        auto withdrawal = change_after(state);
        withdrawal.mutable_withdraw_key()->set_id("k");
        state = must_apply(state, withdrawal);
        removal.set_revision(state.revision() + 1);
        state = must_apply(state, removal);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(0), state.entity_revision("workspace/acme"));
        CPPUNIT_ASSERT(state.find_key_by_digest(sha256_hex("s"))->withdrawn);
    }

    void a_withdrawn_key_is_never_issued_again()
    {
        auto state = put_workspace({}, "acme");
        state = must_apply(state, put_key(state, "k", "acme", "s"));
        auto withdrawal = change_after(state);
        withdrawal.mutable_withdraw_key()->set_id("k");
        state = must_apply(state, withdrawal);
        assert_refused(error_code::already_exists, state,
            put_key(state, "k", "acme", "other"));
        assert_refused(error_code::already_exists, state,
            put_key(state, "k2", "acme", "s"));
    }

    void a_model_with_adapters_cannot_be_removed()
    {
        snapshot state;
        auto change = change_after(state);
        change.mutable_put_adapter()->set_id("verse");
        change.mutable_put_adapter()->set_model("m");
        assert_refused(error_code::not_found, state, change);
        auto model = change_after(state);
        model.mutable_put_model()->set_id("m");
        state = must_apply(state, model);
        change.set_revision(state.revision() + 1);
        state = must_apply(state, change);
        auto removal = change_after(state);
        removal.mutable_remove_model()->set_id("m");
        assert_refused(error_code::conflict, state, removal);
    }

    void invalid_fields_are_refused()
    {
        for (const auto& id :
            {std::string(), std::string("a/b"), std::string(129, 'a')})
            CPPUNIT_ASSERT_MESSAGE(id, !is_valid_id(id));
        CPPUNIT_ASSERT(is_valid_id(std::string(128, 'a')));
        CPPUNIT_ASSERT(is_valid_id("aZ0-_.:"));
        for (const auto& address :
            std::vector<std::string>{"host:1", "10.0.0.1", "10.0.0.1:0",
                "10.0.0.1:65536", "10.0.0.1:9x", ":80", "::1:80"})
            CPPUNIT_ASSERT_MESSAGE(address, !is_valid_address(address));
        CPPUNIT_ASSERT(is_valid_address("10.0.0.1:9000"));
        CPPUNIT_ASSERT(is_valid_address("[::1]:9000"));
        CPPUNIT_ASSERT(!validate(workspace{workspace_id("a"), 0, 1}));
        CPPUNIT_ASSERT(!validate(workspace{workspace_id("a"), 1, 0}));
        CPPUNIT_ASSERT(!validate(model{model_id("a"), "1", -1}));
        CPPUNIT_ASSERT(!validate(
            api_key{key_id("k"), workspace_id("a"), "not a digest", false}));
    }

    // Guards against a route that is open to all and also opens paths that only
    // start with the same characters.
    void the_longest_prefix_of_whole_segments_wins()
    {
        const service target{service_id("orders"),
            {{"/", "", repeat_rule::by_method, false},
                {"/status", "", repeat_rule::idempotent, true},
                {"/status", "POST", repeat_rule::not_idempotent, false}}};
        const snapshot state;
        CPPUNIT_ASSERT(
            state.match_route(target, "/status/7?x=1", "GET").open_to_all);
        CPPUNIT_ASSERT(
            !state.match_route(target, "/status-all", "GET").open_to_all);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"),
            state.match_route(target, "/status", "POST").method);
    }

    void membership_closes_the_epoch_until_it_is_opened()
    {
        snapshot state;
        auto change = change_after(state);
        auto& member = *change.mutable_membership()->add_members();
        member.set_instance("i1");
        member.set_incarnation("x");
        change.mutable_membership()->set_epoch(1);
        state = must_apply(state, change);
        CPPUNIT_ASSERT(!state.epoch_open());
        auto open = change_after(state);
        open.mutable_epoch_open()->set_epoch(1);
        state = must_apply(state, open);
        CPPUNIT_ASSERT(state.epoch_open());
        open.set_revision(state.revision() + 1);
        assert_refused(error_code::conflict, state, open);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(snapshot_test);

} // namespace tarragonquay::catalog
