#include "placement/ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::placement
{
namespace
{

const endpoint_id engine("e");
const model_id poet("poet");
const adapter_id rhyme("rhyme");

intent load_of(std::int64_t fencing, const std::string& incarnation = "1")
{
    return {"c" + std::to_string(fencing), engine, incarnation, fencing,
        command_kind::load_model, poet, {}, "1", 60, 0};
}

intent adapter_command(command_kind kind, std::int64_t fencing,
    const std::string& version, std::int64_t bytes)
{
    return {"c" + std::to_string(fencing), engine, "1", fencing, kind, poet,
        rhyme, version, bytes, 0};
}

routing::endpoint_report report_of(const std::string& incarnation,
    std::int64_t highest, std::vector<routing::resident_model> models = {})
{
    routing::endpoint_report out;
    out.endpoint = engine;
    out.incarnation = incarnation;
    out.capacity_bytes = 100;
    out.highest_fencing = highest;
    out.models = std::move(models);
    return out;
}

} // namespace

class ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ledger_test);
    CPPUNIT_TEST(open_load_is_accounted_until_a_higher_fencing_is_reported);
    CPPUNIT_TEST(two_versions_of_a_model_are_accounted_separately);
    CPPUNIT_TEST(load_of_another_version_does_not_conclude_a_load);
    CPPUNIT_TEST(restart_concludes_a_fenced_command);
    CPPUNIT_TEST(unanswered_load_without_fencing_stays_until_restart);
    CPPUNIT_TEST(reported_outcome_concludes_an_unanswered_command);
    CPPUNIT_TEST(unanswered_unload_without_fencing_keeps_memory_reserved);
    CPPUNIT_TEST(answered_command_without_fencing_concludes_with_its_effect);
    CPPUNIT_TEST(report_from_before_a_takeover_is_ignored);
    CPPUNIT_TEST(report_received_before_a_takeover_is_ignored);
    CPPUNIT_TEST(two_versions_of_an_adapter_are_accounted_separately);
    CPPUNIT_TEST(adapter_command_concludes_with_its_own_version);
    CPPUNIT_TEST(unreported_adapter_version_matches_every_version);
    CPPUNIT_TEST_SUITE_END();

    ledger accounts_;

    void start(bool fencing)
    {
        accounts_.set_engine(engine, fencing);
        accounts_.apply(report_of("1", 0));
        accounts_.apply(report_of("1", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), accounts_.free_bytes(engine));
    }

public:
    void open_load_is_accounted_until_a_higher_fencing_is_reported()
    {
        start(true);
        accounts_.add(load_of(5));
        CPPUNIT_ASSERT(accounts_.apply(report_of("1", 4)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), accounts_.apply(report_of("1", 6)).size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), accounts_.free_bytes(engine));
    }

    // Guards against an overcommit when a delayed load of the old version
    // arrives while the new one is resident.
    void two_versions_of_a_model_are_accounted_separately()
    {
        start(false);
        accounts_.add(load_of(5));
        accounts_.apply(report_of(
            "1", 5, {{poet, "2", 30, routing::residency_state::ready}}));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(90), accounts_.committed_bytes(engine));
    }

    // Guards against treating a new version as loaded when only the old one is.
    void load_of_another_version_does_not_conclude_a_load()
    {
        start(false);
        accounts_.add(load_of(5));
        accounts_.mark_answered("c5");
        const auto old = report_of(
            "1", 5, {{poet, "0", 30, routing::residency_state::ready}});
        CPPUNIT_ASSERT(accounts_.apply(old).empty());
        CPPUNIT_ASSERT(!accounts_.counts_as_ready(engine, poet, "1"));
    }

    // Guards against memory that stays reserved for a command that the new
    // incarnation rejects. A command for the new incarnation stays accounted.
    void restart_concludes_a_fenced_command()
    {
        start(true);
        accounts_.add(load_of(5));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), accounts_.apply(report_of("2", 0)).size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), accounts_.free_bytes(engine));
        accounts_.add(load_of(6, "2"));
        CPPUNIT_ASSERT(accounts_.apply(report_of("2", 0)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
    }

    void unanswered_load_without_fencing_stays_until_restart()
    {
        start(false);
        accounts_.add(load_of(5));
        CPPUNIT_ASSERT(!accounts_.accepts_command(engine));
        CPPUNIT_ASSERT(accounts_.apply(report_of("1", 9)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), accounts_.apply(report_of("2", 0)).size());
        CPPUNIT_ASSERT(accounts_.accepts_command(engine));
    }

    // Guards against memory that stays reserved after a lost response.
    void reported_outcome_concludes_an_unanswered_command()
    {
        start(false);
        accounts_.add(load_of(5));
        auto report = report_of("1", 5);
        report.commands = {{"c5", routing::command_outcome::pending}};
        CPPUNIT_ASSERT(accounts_.apply(report).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
        report.commands = {{"c5", routing::command_outcome::rejected}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounts_.apply(report).size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), accounts_.free_bytes(engine));
    }

    void unanswered_unload_without_fencing_keeps_memory_reserved()
    {
        start(false);
        auto unload = load_of(5);
        unload.kind = command_kind::unload_model;
        accounts_.add(unload);
        CPPUNIT_ASSERT(accounts_.apply(report_of("1", 5)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
        // The unload may still arrive, so the replica does not count as ready.
        accounts_.apply(report_of(
            "1", 5, {{poet, "1", 60, routing::residency_state::ready}}));
        CPPUNIT_ASSERT(!accounts_.counts_as_ready(engine, poet, "1"));
    }

    void answered_command_without_fencing_concludes_with_its_effect()
    {
        start(false);
        accounts_.add(load_of(5));
        accounts_.mark_answered("c5");
        CPPUNIT_ASSERT(accounts_.apply(report_of("1", 0)).empty());
        const auto done = accounts_.apply(report_of(
            "1", 0, {{poet, "1", 60, routing::residency_state::ready}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), done.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
    }

    // Guards against a report that lacks a load which the previous holder has
    // concluded, or that has an incarnation older than the intent.
    void report_from_before_a_takeover_is_ignored()
    {
        start(false);
        accounts_.require_fresh_reports(time_point{});
        accounts_.add(load_of(5, "2"));
        CPPUNIT_ASSERT(accounts_.apply(report_of("1", 0)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), accounts_.free_bytes(engine));
        CPPUNIT_ASSERT(accounts_.apply(report_of("2", 0)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), accounts_.free_bytes(engine));
    }

    // Guards against old reports that a paused control thread processes after
    // the scan.
    void report_received_before_a_takeover_is_ignored()
    {
        start(true);
        accounts_.require_fresh_reports(time_point{} + std::chrono::seconds(5));
        for (int i = 0; i < 3; ++i)
            accounts_.apply(report_of("1", 0));
        CPPUNIT_ASSERT(!accounts_.fresh(engine));
    }

    // Guards against an overcommit by a second version of an adapter, and
    // against using the new version's size for the old one.
    void two_versions_of_an_adapter_are_accounted_separately()
    {
        start(true);
        accounts_.set_adapter_bytes(rhyme, "1", 10);
        accounts_.set_adapter_bytes(rhyme, "2", 30);
        auto report = report_of("1", 4);
        report.adapters = {{rhyme, poet, "1"}};
        accounts_.apply(report);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(10), accounts_.committed_bytes(engine));
        accounts_.add(adapter_command(command_kind::load_adapter, 5, "2", 30));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(40), accounts_.committed_bytes(engine));
        report.adapters.push_back({rhyme, poet, "2"});
        CPPUNIT_ASSERT(accounts_.apply(report).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(40), accounts_.committed_bytes(engine));
        report.highest_fencing = 5;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounts_.apply(report).size());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(40), accounts_.committed_bytes(engine));
    }

    // Guards against concluding a command because of another version, so that
    // memory counts as free while the command is still open.
    void adapter_command_concludes_with_its_own_version()
    {
        start(false);
        accounts_.add(adapter_command(command_kind::load_adapter, 5, "2", 30));
        accounts_.mark_answered("c5");
        auto report = report_of("1", 0);
        report.adapters = {{rhyme, poet, "1"}};
        CPPUNIT_ASSERT(accounts_.apply(report).empty());
        report.adapters.push_back({rhyme, poet, "2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounts_.apply(report).size());
        accounts_.add(
            adapter_command(command_kind::unload_adapter, 6, "1", 10));
        accounts_.mark_answered("c6");
        CPPUNIT_ASSERT(accounts_.apply(report).empty());
        report.adapters.erase(report.adapters.begin());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounts_.apply(report).size());
    }

    // Guards against commands that never conclude on an engine that does not
    // report the versions of its adapters.
    void unreported_adapter_version_matches_every_version()
    {
        start(false);
        accounts_.set_adapter_bytes(rhyme, "1", 10);
        accounts_.add(adapter_command(command_kind::load_adapter, 5, "1", 10));
        accounts_.mark_answered("c5");
        auto report = report_of("1", 0);
        report.adapters = {{rhyme, poet}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounts_.apply(report).size());
        accounts_.add(
            adapter_command(command_kind::unload_adapter, 6, "1", 10));
        accounts_.mark_answered("c6");
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(10), accounts_.committed_bytes(engine));
        CPPUNIT_ASSERT(accounts_.apply(report).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), accounts_.apply(report_of("1", 0)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_test);

} // namespace tarragonquay::placement
