#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

#include "support/background_stream.hpp"
#include "support/key_checks.hpp"

namespace tarragonquay::test_support
{
namespace
{

// More than a stream produces before the test ends it, and few enough for
// its deadline.
constexpr int endless = 1'500;

http_call short_call(const std::string& key)
{
    return completion_call{.max_tokens = 1, .stream = false}.request(key);
}

void assert_ends_with(background_stream& stream, const std::string& code)
{
    CPPUNIT_ASSERT(eventually([&] { return stream.ended(); }));
    const auto& reply = stream.reply();
    CPPUNIT_ASSERT_MESSAGE(describe(reply), ends_with_error_event(reply));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(reply), code, error_code_of(reply));
}

void assert_runs(const background_stream& stream)
{
    const int before = stream.events();
    CPPUNIT_ASSERT(eventually([&] { return stream.events() > before + 2; }));
}

/// Issues a key and waits until all instances serve it.
std::string issue(deployment& system, const std::string& id)
{
    auto key = system.issue_key(id, "w1");
    for (std::size_t i = 0; i < system.daemons(); ++i)
        assert_serves(system, i, key);
    return key;
}

class keys_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keys_test);
    CPPUNIT_TEST(withdrawal_reaches_every_instance_and_connection);
    CPPUNIT_TEST(withdrawal_holds_when_an_instance_is_cut_off);
    CPPUNIT_TEST(paused_instance_serves_no_withdrawn_key);
    CPPUNIT_TEST(outage_of_the_store_refuses_no_valid_key);
    CPPUNIT_TEST(instance_that_starts_during_an_outage_knows_all_keys);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance or an open connection that still accepts a
    // withdrawn key, and against streams that outlive it or end silently.
    void withdrawal_reaches_every_instance_and_connection()
    {
        const auto system = start_with_short_leases();
        std::vector<std::unique_ptr<http_client>> kept;
        std::vector<std::unique_ptr<background_stream>> withdrawn, valid;
        for (std::size_t i = 0; i < system->daemons(); ++i)
        {
            const auto entry = system->entry(i);
            kept.push_back(std::make_unique<http_client>(entry));
            const auto reply = kept.back()->send(short_call(system.key1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(reply), 200, reply.status);
            CPPUNIT_ASSERT(kept.back()->connected());
            withdrawn.push_back(std::make_unique<background_stream>(
                entry, system.key1, endless));
            valid.push_back(std::make_unique<background_stream>(
                entry, system.key2, endless));
            assert_runs(*withdrawn.back());
        }
        system->withdraw_key("k1");
        for (std::size_t i = 0; i < system->daemons(); ++i)
        {
            assert_refuses(*system.system, i, system.key1, "withdrawn_key");
            const auto reply = kept[i]->send(short_call(system.key1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(reply),
                std::string("withdrawn_key"), error_code_of(reply));
            assert_ends_with(*withdrawn[i], "withdrawn_key");
            assert_runs(*valid[i]);
        }
    }

    // Guards against an instance that serves a withdrawn key because it
    // can't learn of the withdrawal.
    void withdrawal_holds_when_an_instance_is_cut_off()
    {
        const auto system = start_with_short_leases(true);
        auto& all = *system.system;
        const nlohmann::json cut = {{"drop_new", true}, {"cut_all", true}};
        const nlohmann::json heal = {{"heal", true}};

        // From the store: the peers tell.
        auto key = issue(all, "cut-from-store");
        all.fault_store(2, cut);
        all.withdraw_key("cut-from-store");
        assert_refuses(all, 2, key, "withdrawn_key");
        assert_serves(all, 2, system.key2);
        all.fault_store(2, heal);

        // From the peers: the store tells.
        key = issue(all, "cut-from-peers");
        all.fault_peer(2, cut);
        all.withdraw_key("cut-from-peers");
        assert_refuses(all, 2, key, "withdrawn_key");
        assert_serves(all, 2, system.key2);

        // From both: nobody tells, so the lease lapses.
        key = issue(all, "cut-from-both");
        background_stream stream(all.entry(2), key, endless);
        assert_runs(stream);
        all.fault_store(2, cut);
        all.withdraw_key("cut-from-both");
        assert_refuses(all, 2, key, "no_view_lease");
        CPPUNIT_ASSERT_EQUAL(503, fetch(all.entry(2), "/healthz").status);
        assert_ends_with(stream, "no_view_lease");
        all.fault_store(2, heal);
        all.fault_peer(2, heal);
        assert_refuses(all, 2, key, "withdrawn_key");
        assert_serves(all, 2, system.key2);
    }

    // Guards against a process that serves on its old view after a pause. The
    // request waits in the socket, so it is the first that the process reads.
    void paused_instance_serves_no_withdrawn_key()
    {
        const auto system = start_with_short_leases();
        http_client client(system->entry(2));
        CPPUNIT_ASSERT_EQUAL(200, client.send(short_call(system.key1)).status);
        system->daemon(2).send_signal(SIGSTOP);
        system->withdraw_key("k1");
        http_reply first;
        std::thread caller(
            [&] { first = client.send(short_call(system.key1)); });
        std::this_thread::sleep_for(longer_than_lease);
        system->daemon(2).send_signal(SIGCONT);
        caller.join();
        const auto code = error_code_of(first);
        CPPUNIT_ASSERT_MESSAGE(describe(first),
            code == "no_view_lease" || code == "withdrawn_key");
        assert_refuses(*system.system, 2, system.key1, "withdrawn_key");
    }

    // Guards against a service that depends on the store: a withdrawal just
    // before the outage still spreads, and no valid key is refused.
    void outage_of_the_store_refuses_no_valid_key()
    {
        const auto system = start_with_short_leases();
        system->withdraw_key("k1");
        system->platform_mode({{"mode", "down"}});
        for (std::size_t i = 0; i < system->daemons(); ++i)
            assert_refuses(*system.system, i, system.key1, "withdrawn_key");
        const auto end = std::chrono::steady_clock::now() + longer_than_lease;
        while (std::chrono::steady_clock::now() < end)
        {
            for (std::size_t i = 0; i < system->daemons(); ++i)
            {
                const auto reply =
                    complete(system->entry(i), system.key2, {.max_tokens = 1});
                CPPUNIT_ASSERT_MESSAGE(describe(reply), claims_whole(reply));
            }
        }
    }

    // Guards against an instance that can't take its configuration from its
    // peers.
    void instance_that_starts_during_an_outage_knows_all_keys()
    {
        const auto system = start_with_short_leases();
        system->withdraw_key("k1");
        restart_during_outage(*system.system, 1);
        assert_refuses(*system.system, 1, system.key1, "withdrawn_key");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keys_test);

} // namespace
} // namespace tarragonquay::test_support
