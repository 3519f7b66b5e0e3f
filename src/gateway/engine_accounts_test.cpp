#include "gateway/engine_accounts.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::gateway
{
namespace
{

using namespace std::chrono_literals;

const model_id first("m1");
const model_id second("m2");
const adapter_id adapter("a1");

routes::engine_group make_group()
{
    routes::engine_group out;
    out.weight_bytes = 200;
    out.adapter_slots = 2;
    for (const auto& id : {first, second})
    {
        routes::engine_model model;
        model.id = id;
        model.weight_bytes = 70;
        model.adapter_bytes = 5;
        out.models.push_back(model);
    }
    return out;
}

endpoints::engine_report make_report(std::int64_t accepted,
    std::vector<endpoints::loaded_model> models, bool busy = false)
{
    endpoints::engine_report out;
    out.accepted_commands = accepted;
    out.models = std::move(models);
    out.busy = busy;
    return out;
}

} // namespace

class engine_accounts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_accounts_test);
    CPPUNIT_TEST(a_pending_load_reserves_its_memory);
    CPPUNIT_TEST(an_engine_busy_for_a_previous_holder_accepts_no_command);
    CPPUNIT_TEST(an_outdated_report_does_not_revert_a_command);
    CPPUNIT_TEST(an_adapter_being_unloaded_gets_no_new_requests);
    CPPUNIT_TEST(an_unload_frees_its_memory_once_it_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a third model on an engine with memory for two.
    void a_pending_load_reserves_its_memory()
    {
        engine_account account(1);
        account.apply_report(make_report(0, {{first, {adapter}}}), now_);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(125), account.free_bytes(make_group()));
        account.record_model_command(second, true, now_, now_ + 10s);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(55), account.free_bytes(make_group()));
        CPPUNIT_ASSERT(!view(account).accepts_command);
        now_ += 1s;
        account.apply_report(
            make_report(1, {{first, {adapter}}, {second, {}}}), now_);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(55), account.free_bytes(make_group()));
        CPPUNIT_ASSERT(view(account).accepts_command);
    }

    // Guards against a load that is sent while the engine executes one of a
    // previous lease holder, whose model and memory the report does not list.
    // Seen when all machines were killed during a load.
    void an_engine_busy_for_a_previous_holder_accepts_no_command()
    {
        engine_account account(1);
        account.apply_report(make_report(2, {{first, {}}}, true), now_);
        CPPUNIT_ASSERT(!view(account).accepts_command);
        CPPUNIT_ASSERT(account.busy());
        account.apply_report(make_report(2, {{first, {}}, {second, {}}}), now_);
        CPPUNIT_ASSERT(view(account).accepts_command);
    }

    // Guards against a command with too low a count of accepted commands: the
    // engine refuses it, and the request waits for an adapter that is never
    // loaded.
    void an_outdated_report_does_not_revert_a_command()
    {
        engine_account account(1);
        account.apply_report(make_report(4, {{first, {}}}), now_);
        account.record_adapter_command(first, adapter, true, now_);
        account.mark_adapter_loaded(first, adapter);
        account.invalidate();
        now_ += 200ms;
        account.apply_report(make_report(4, {{first, {}}}), now_);
        CPPUNIT_ASSERT(account.holds(first, adapter));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), account.accepted_commands());
        now_ += 300ms;
        account.apply_report(make_report(4, {{first, {}}}), now_);
        CPPUNIT_ASSERT(!account.holds(first, adapter));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), account.accepted_commands());
    }

    // Guards against an unload that never finishes because new requests keep
    // the adapter in use, while the engine refuses all other commands.
    void an_adapter_being_unloaded_gets_no_new_requests()
    {
        engine_account account(1);
        account.apply_report(make_report(4, {{first, {adapter}}}), now_);
        account.record_deferred_unload(first, adapter, now_, now_ + 15s);
        now_ += 1s;
        account.apply_report(make_report(5, {{first, {adapter}}}), now_);
        CPPUNIT_ASSERT(!account.holds(first, adapter));
        CPPUNIT_ASSERT(account.busy());
        account.apply_report(make_report(5, {{first, {}}}), now_);
        CPPUNIT_ASSERT(!account.busy());
    }

    // Guards against a load into memory that an unload still uses.
    void an_unload_frees_its_memory_once_it_is_reported()
    {
        engine_account account(1);
        account.apply_report(make_report(4, {{first, {}}, {second, {}}}), now_);
        account.record_model_command(second, false, now_, now_ + 10s);
        CPPUNIT_ASSERT(!account.holds(second));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(60), account.free_bytes(make_group()));
        now_ += 1s;
        account.apply_report(make_report(5, {{first, {}}, {second, {}}}), now_);
        CPPUNIT_ASSERT(!account.holds(second));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(60), account.free_bytes(make_group()));
        account.apply_report(make_report(5, {{first, {}}}), now_);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(130), account.free_bytes(make_group()));
    }

private:
    static placement::engine_view view(const engine_account& account)
    {
        return account.view(endpoint_id("e1"), make_group(), true, false);
    }

    time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_accounts_test);

} // namespace tarragonquay::gateway
