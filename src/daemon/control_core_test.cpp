#include <utility>

#include "daemon/control_core.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <new>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "daemon/core_fixture.hpp"

namespace tarragonquay::daemon
{

class control_core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_core_test);
    CPPUNIT_TEST(store_calls_may_outlive_the_core);
    CPPUNIT_TEST(store_calls_may_outlive_the_control_store);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t events_kept = 64;

    /// Accepts connections and never answers.
    class silent_server
    {
    public:
        std::string address() const
        {
            return "127.0.0.1:" +
                   std::to_string(acceptor_.local_endpoint().port());
        }

    private:
        boost::asio::io_context io_;
        boost::asio::ip::tcp::acceptor acceptor_{
            io_, {boost::asio::ip::address_v4::loopback(), 0}};
    };

public:
    // Guards against a crash at exit: when the client cancels its calls, gRPC
    // threads run their handlers after the core was destroyed.
    void store_calls_may_outlive_the_core()
    {
        const silent_server server;
        core_fixture tested(server.address(), events_kept);
        tested.core->start();
        tested.io.run_for(std::chrono::milliseconds(200));
        tested.core.reset();
        tested.store.reset();
    }

    // The same for control_store alone. Its memory is overwritten, so that a
    // use after destruction fails whatever the allocator left there.
    void store_calls_may_outlive_the_control_store()
    {
        const silent_server server;
        boost::asio::io_context io;
        auto client = store::client::create(server.address());
        CPPUNIT_ASSERT(client.has_value());
        alignas(control_store) std::array<std::byte, sizeof(control_store)>
            memory{};
        auto* tested = new (memory.data()) control_store(**client, io);
        int failures = 0;
        tested->read({"key"},
            std::chrono::steady_clock::now() + std::chrono::seconds(10),
            [&](const result<std::vector<store::row>>& rows)
            { failures += rows ? 0 : 1; });
        std::destroy_at(tested);
        memory.fill(std::byte{0});
        client->reset();
        io.poll();
        CPPUNIT_ASSERT_EQUAL(1, failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_core_test);

} // namespace tarragonquay::daemon
