#include "gateway/document_feed.hpp"

#include "gateway/forwarder_fixture_test.hpp"

namespace tarragonquay::gateway
{

using namespace testing;

namespace
{

/// A store whose table never changes. Its feed calls go to a server that does
/// not answer.
class unchanging_store
{
public:
    explicit unchanging_store(std::string address)
        : address_(std::move(address))
    {
    }

    asio::awaitable<result<remote_store::table_changes>> read_table(
        std::string, time_point)
    {
        remote_store::table_changes out;
        out.version = 1;
        co_return out;
    }

    asio::awaitable<result<remote_store::table_changes>> follow_table(
        std::string, std::int64_t, time_point wait_until,
        std::optional<endpoints::http_connection>& connection)
    {
        waits_until.push_back(wait_until);
        auto opened =
            co_await endpoints::http_connection::open(address_, wait_until);
        if (!opened)
            co_return tl::unexpected<error>(opened.error());
        connection.emplace(std::move(*opened));
        endpoints::exchange_request request;
        request.address = address_;
        request.method = "GET";
        request.target = "/";
        request.deadline = wait_until;
        auto head = co_await connection->send(request);
        if (!head)
            co_return tl::unexpected<error>(head.error());
        co_return remote_store::table_changes();
    }

    std::vector<time_point> waits_until;

private:
    const std::string address_;
};

} // namespace

class document_feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(document_feed_test);
    CPPUNIT_TEST(a_restart_is_no_failure_of_the_store);
    CPPUNIT_TEST(an_unanswered_call_is_a_failure_of_the_store);
    CPPUNIT_TEST(a_call_that_ends_too_late_is_replaced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against endpoints that are used for two seconds after they have
    // left, since a feed that was taken for stalled counted as an outage.
    void a_restart_is_no_failure_of_the_store()
    {
        started_feed tested;
        tested.feed.restart();
        CPPUNIT_ASSERT(tested.system.poll_until(
            [&] { return tested.store.waits_until.size() == 2; }));
        CPPUNIT_ASSERT(!tested.feed.failing());
        CPPUNIT_ASSERT_EQUAL(0, tested.recoveries);
    }

    void an_unanswered_call_is_a_failure_of_the_store()
    {
        started_feed tested;
        CPPUNIT_ASSERT(
            tested.system.poll_until([&] { return tested.feed.failing(); }));
    }

    // Guards against a call that was planned while others covered the time
    // until its end.
    void a_call_that_ends_too_late_is_replaced()
    {
        started_feed tested;
        const auto now = std::chrono::steady_clock::now();
        const instance_id peer("a");
        tested.feed.note_peer(peer, now + 1s);
        tested.feed.restart();
        CPPUNIT_ASSERT(tested.system.poll_until(
            [&] { return tested.store.waits_until.size() == 2; }));
        CPPUNIT_ASSERT(tested.store.waits_until[1] > now + 1'500ms);
        tested.feed.tick(std::chrono::steady_clock::now());
        tested.feed.note_peer(peer, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), tested.store.waits_until.size());
        tested.feed.tick(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(tested.system.poll_until(
            [&] { return tested.store.waits_until.size() == 3; }));
        CPPUNIT_ASSERT(!tested.feed.failing());
    }

private:
    // A feed whose first call waits at the store.
    struct started_feed
    {
        started_feed()
        {
            feed.on_table([](const auto&, time_point) {});
            feed.on_changes([](const auto&, time_point) {});
            feed.on_recovery([this](time_point) { ++recoveries; });
            asio::co_spawn(system.io, feed.run(),
                [this](const std::exception_ptr&) { ended = true; });
            CPPUNIT_ASSERT(system.poll_until(
                [&] { return system.servers[0].requests.size() == 1; }));
        }

        fixture system{
            {{"", then::silent}, {"", then::silent}, {"", then::silent}}, {}};
        unchanging_store store{system.servers[0].address()};
        document_feed<unchanging_store> feed{system.ctx, store, "table"};
        int recoveries = 0;
        bool ended = false;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_feed_test);

} // namespace tarragonquay::gateway
