#include <algorithm>
#include <array>
#include <limits>

#include <cppunit/extensions/HelperMacros.h>

#include "placement/ledger.hpp"
#include "placement/types.hpp"
#include "records.pb.h"
#include "support/message_mutation.hpp"

namespace tarragonquay::placement
{

// Tests corrupt rows of the table and inconsistent engine reports.
class row_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_fuzz_test);
    CPPUNIT_TEST(damaged_intents_are_refused_or_in_range);
    CPPUNIT_TEST(damaged_leases_are_refused_or_in_range);
    CPPUNIT_TEST(damaged_bytes_are_refused_or_in_range);
    CPPUNIT_TEST(damaged_rows_and_reports_never_add_free_memory);
    CPPUNIT_TEST_SUITE_END();

    using random_source = test_support::message_mutator;

    static constexpr std::uint64_t seed = 20261204;
    static constexpr int cases = 20'000;
    // Largest accepted fencing number or renewal count, far above any that
    // occurs.
    static constexpr std::int64_t limit = 1'000'000'000'000'000;
    static constexpr std::size_t name_limit = 128;
    static constexpr std::size_t text_limit = 512;

    static records::Command_intent whole_intent(random_source& random)
    {
        records::Command_intent message;
        message.set_command_id("c" + std::to_string(random.below(8)));
        message.set_endpoint("e" + std::to_string(random.below(3)));
        message.set_engine_incarnation("1");
        message.set_fencing(5);
        message.set_model("m" + std::to_string(random.below(3)));
        message.set_version("1");
        message.set_bytes(60);
        message.set_deadline_unix_ms(1000);
        const bool adapter = random.below(2) == 0;
        if (adapter)
            message.set_adapter("a");
        const bool load = random.below(2) == 0;
        if (adapter)
            message.set_kind(load ? records::Command_intent::LOAD_ADAPTER
                                  : records::Command_intent::UNLOAD_ADAPTER);
        else
            message.set_kind(load ? records::Command_intent::LOAD_MODEL
                                  : records::Command_intent::UNLOAD_MODEL);
        return message;
    }

    static void check(const intent& value)
    {
        const auto is_name = [](const std::string& name)
        { return !name.empty() && name.size() <= name_limit; };
        CPPUNIT_ASSERT(is_name(value.command_id));
        CPPUNIT_ASSERT(is_name(value.endpoint.str()));
        for (const auto& text : {value.model.str(), value.adapter.str(),
                 value.version, value.engine_incarnation})
            CPPUNIT_ASSERT(text.size() <= text_limit);
        const bool is_adapter = value.kind == command_kind::load_adapter ||
                                value.kind == command_kind::unload_adapter;
        CPPUNIT_ASSERT_EQUAL(is_adapter, !value.adapter.str().empty());
        CPPUNIT_ASSERT(value.fencing > 0 && value.fencing <= limit);
        CPPUNIT_ASSERT(value.bytes >= 0);
        CPPUNIT_ASSERT(value.deadline_unix_ms >= 0);
        const auto again = intent_from_row(to_row(value));
        CPPUNIT_ASSERT(again && *again == value);
    }

    static bool is_malformed(const error& refused)
    {
        return refused.code() == error_code::malformed_message;
    }

    static std::int64_t any_count(random_source& random)
    {
        constexpr auto most = std::numeric_limits<std::int64_t>::max();
        constexpr std::array<std::int64_t, 6> values{
            0, 1, 60, 100, most / 2, most};
        return values.at(random.below(values.size()));
    }

    // Any report that the parser of engine states accepts.
    static routing::endpoint_report any_report(random_source& random)
    {
        const auto name = [&](const char* prefix, std::size_t most)
        { return prefix + std::to_string(random.below(most)); };
        routing::endpoint_report report;
        report.endpoint = endpoint_id(name("e", 3));
        report.incarnation = name("", 3);
        report.capacity_bytes = any_count(random);
        report.used_bytes = any_count(random);
        report.highest_fencing = any_count(random);
        for (auto i = random.below(4); i > 0; --i)
            report.models.push_back(
                {model_id(name("m", 3)), name("", 2), any_count(random),
                    static_cast<routing::residency_state>(random.below(3))});
        for (auto i = random.below(3); i > 0; --i)
            report.adapters.push_back(
                {adapter_id("a"), model_id(name("m", 3))});
        for (auto i = random.below(4); i > 0; --i)
            report.commands.push_back({name("c", 8),
                static_cast<routing::command_outcome>(random.below(3))});
        return report;
    }

    // The memory of each open command and the usage that the engine reports are
    // lower bounds of the accounted memory.
    static void check(const ledger& accounts, const endpoint_id& id)
    {
        const auto committed = accounts.committed_bytes(id);
        const auto free = accounts.free_bytes(id);
        CPPUNIT_ASSERT(committed >= 0 && free >= 0);
        for (const auto& each : accounts.intents(id))
            CPPUNIT_ASSERT(committed >= each.bytes);
        if (!accounts.fresh(id))
            return CPPUNIT_ASSERT_EQUAL(std::int64_t(0), free);
        const auto& report = *accounts.engines().at(id).report;
        CPPUNIT_ASSERT(committed >= report.used_bytes);
        for (const auto& each : report.models)
            CPPUNIT_ASSERT(committed >= each.bytes);
        CPPUNIT_ASSERT_EQUAL(
            std::max<std::int64_t>(report.capacity_bytes - committed, 0), free);
    }

public:
    // Guards against negative sizes, which would add free memory, against
    // fencing numbers that conclude their command at once, and against rows
    // that change when they are written back.
    void damaged_intents_are_refused_or_in_range()
    {
        random_source random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto message = random.damage(whole_intent(random));
            const auto value = intent_from_row(message.SerializeAsString());
            if (value)
            {
                ++accepted;
                check(*value);
            }
            else
                CPPUNIT_ASSERT_MESSAGE(
                    message.ShortDebugString(), is_malformed(value.error()));
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

    // Guards against fencing numbers that overflow or go backwards.
    void damaged_leases_are_refused_or_in_range()
    {
        records::Placement_lease whole;
        whole.set_instance("i1");
        whole.set_incarnation("i1-1");
        whole.set_fencing(7);
        whole.set_renewals(9);
        random_source random(seed);
        int accepted = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto message = random.damage(whole);
            const auto value = lease_from_row(message.SerializeAsString());
            if (!value)
            {
                CPPUNIT_ASSERT_MESSAGE(
                    message.ShortDebugString(), is_malformed(value.error()));
                continue;
            }
            ++accepted;
            CPPUNIT_ASSERT(value->fencing >= 0 && value->fencing <= limit);
            CPPUNIT_ASSERT(value->renewals >= 0 && value->renewals <= limit);
            CPPUNIT_ASSERT(!value->instance.empty());
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < cases);
    }

    // Guards against crashes on rows that are not valid messages.
    void damaged_bytes_are_refused_or_in_range()
    {
        random_source random(seed);
        test_support::mutator bytes(seed);
        int refused = 0;
        for (int i = 0; i < cases; ++i)
        {
            const auto row =
                bytes.damage(whole_intent(random).SerializeAsString());
            const auto value = intent_from_row(row);
            if (value)
                check(*value);
            else
                CPPUNIT_ASSERT(is_malformed(value.error()));
            const auto holder = lease_from_row(row);
            CPPUNIT_ASSERT(holder || is_malformed(holder.error()));
            refused += value ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 0 && refused < cases);
    }

    // Guards against overflowing sums, which make a full engine look empty, and
    // against accounts of engines that are not referenced any more.
    void damaged_rows_and_reports_never_add_free_memory()
    {
        random_source random(seed);
        ledger accounts;
        const std::array<endpoint_id, 3> engines{
            endpoint_id("e0"), endpoint_id("e1"), endpoint_id("e2")};
        for (const auto& id : engines)
            accounts.set_engine(id, random.below(2) == 0);
        accounts.set_adapter_bytes(
            adapter_id("a"), "1", std::numeric_limits<std::int64_t>::max());
        constexpr std::size_t most_rows = 8;
        for (int i = 0; i < cases; ++i)
        {
            std::vector<intent> found;
            for (auto rows = random.below(most_rows); rows > 0; --rows)
                if (const auto value =
                        intent_from_row(random.damage(whole_intent(random))
                                            .SerializeAsString()))
                    found.push_back(*value);
            accounts.replace_intents(found);
            CPPUNIT_ASSERT(accounts.intents().size() <= found.size());
            accounts.apply(any_report(random));
            accounts.mark_answered("c" + std::to_string(random.below(8)));
            for (const auto& id : engines)
                check(accounts, id);
        }
        accounts.replace_intents({});
        for (const auto& id : engines)
            CPPUNIT_ASSERT(accounts.engines().at(id).answered.empty() &&
                           accounts.engines().at(id).effect_seen.empty());
        // Corrupt rows may have added engines with other names.
        std::vector<endpoint_id> known;
        for (const auto& [id, account] : accounts.engines())
            known.push_back(id);
        for (const auto& id : known)
            accounts.remove_engine(id);
        CPPUNIT_ASSERT(accounts.engines().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_fuzz_test);

} // namespace tarragonquay::placement
