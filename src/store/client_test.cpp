#include "store/client.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.grpc.pb.h"

namespace tarragonquay::store
{

namespace
{

using std::chrono::milliseconds;

time_point after(milliseconds delay)
{
    return std::chrono::steady_clock::now() + delay;
}

/// Service with fixed answers. The answers to writes can be held back until
/// they are released.
class test_service final : public platform::Platform::Service
{
public:
    grpc::Status Transact(grpc::ServerContext* context,
        const platform::Transact_request* request,
        platform::Transact_reply* reply) override
    {
        ++transactions;
        {
            std::unique_lock lock(mutex_);
            peers.insert(context->peer());
            released_.wait(lock, [this] { return !held_; });
        }
        if (request->conditions_size() > 0)
        {
            reply->set_failed_key(request->conditions(0).key());
            reply->set_failed_version(7);
            return grpc::Status::OK;
        }
        reply->set_applied(true);
        reply->set_revision(3);
        return grpc::Status::OK;
    }

    grpc::Status FetchObject(grpc::ServerContext*,
        const platform::Fetch_object_request* request,
        platform::Fetch_object_reply* reply) override
    {
        // Larger than gRPC's default limit of 4 MiB.
        reply->set_found(request->name() == "large");
        if (reply->found())
            reply->set_content(std::string(5'000'000, 'x'));
        return grpc::Status::OK;
    }

    void hold_answers()
    {
        const std::scoped_lock lock(mutex_);
        held_ = true;
    }

    void release_answers()
    {
        const std::scoped_lock lock(mutex_);
        held_ = false;
        released_.notify_all();
    }

    std::atomic<int> transactions{0};
    std::set<std::string> peers;

private:
    std::mutex mutex_;
    std::condition_variable released_;
    bool held_ = false;
};

/// Waits for the result of one call.
template <class T, class Start>
result<T> wait_for(const Start& start)
{
    auto promise = std::make_shared<std::promise<result<T>>>();
    auto outcome = promise->get_future();
    start([promise](result<T> value) { promise->set_value(std::move(value)); });
    CPPUNIT_ASSERT(outcome.wait_for(std::chrono::seconds(20)) ==
                   std::future_status::ready);
    return outcome.get();
}

template <class T>
std::string code_of(const result<T>& outcome)
{
    return outcome ? "ok" : std::string(to_string(outcome.error().code()));
}

/// Listening socket whose connections stay in the backlog and get no answer.
class unresponsive_listener
{
public:
    unresponsive_listener()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* plain = reinterpret_cast<sockaddr*>(&address);
        CPPUNIT_ASSERT_EQUAL(0, bind(socket_, plain, size));
        CPPUNIT_ASSERT_EQUAL(0, listen(socket_, 16));
        CPPUNIT_ASSERT_EQUAL(0, getsockname(socket_, plain, &size));
        port = ntohs(address.sin_port);
    }
    ~unresponsive_listener() { close(socket_); }
    unresponsive_listener(const unresponsive_listener&) = delete;
    unresponsive_listener& operator=(const unresponsive_listener&) = delete;

    int port = 0;

private:
    int socket_ = socket(AF_INET, SOCK_STREAM, 0);
};

} // namespace

class client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_test);
    CPPUNIT_TEST(a_malformed_address_is_rejected);
    CPPUNIT_TEST(replies_are_converted);
    CPPUNIT_TEST(a_write_without_an_answer_has_an_unknown_outcome);
    CPPUNIT_TEST(a_call_after_a_timeout_uses_a_new_connection);
    CPPUNIT_TEST(a_write_that_was_never_sent_has_no_effect);
    CPPUNIT_TEST(reads_on_an_unresponsive_connection_fail_at_their_deadline);
    CPPUNIT_TEST(destruction_cancels_calls_in_flight);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(
            "127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        client_ = connect(port);
    }

    void tearDown() override
    {
        client_.reset();
        // Shutdown() waits for the handlers of the service.
        service_.release_answers();
        if (server_)
            server_->Shutdown();
    }

    void a_malformed_address_is_rejected()
    {
        for (const auto* address : {"", "10.0.0.1", ":80", "10.0.0.1:"})
            CPPUNIT_ASSERT_EQUAL(std::string("invalid_argument"),
                code_of(client::create(address)));
    }

    void replies_are_converted()
    {
        CPPUNIT_ASSERT(*transact() == (transact_outcome{true, 3, "", 0}));
        const auto refused = transact({{"row", 2}});
        CPPUNIT_ASSERT(*refused == (transact_outcome{false, 0, "row", 7}));
        const auto fetch = [&](const std::string& name)
        {
            return *wait_for<std::optional<std::string>>([&](auto done)
                { client_->fetch_object(name, after(long_timeout), done); });
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(5'000'000), fetch("large")->size());
        CPPUNIT_ASSERT(!fetch("absent"));
    }

    void a_write_without_an_answer_has_an_unknown_outcome()
    {
        service_.hold_answers();
        CPPUNIT_ASSERT_EQUAL(std::string("store_outcome_unknown"),
            code_of(transact({}, short_timeout)));
        CPPUNIT_ASSERT_EQUAL(1, service_.transactions.load());
    }

    // Guards against later calls that share an unresponsive connection.
    void a_call_after_a_timeout_uses_a_new_connection()
    {
        CPPUNIT_ASSERT(transact().has_value());
        service_.hold_answers();
        transact({}, short_timeout);
        service_.release_answers();
        CPPUNIT_ASSERT(transact().has_value());
        client_.reset();
        server_->Shutdown();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), service_.peers.size());
    }

    void a_write_that_was_never_sent_has_no_effect()
    {
        int free_port = 0;
        {
            const unresponsive_listener closed;
            free_port = closed.port;
        }
        client_ = connect(free_port);
        CPPUNIT_ASSERT_EQUAL(
            std::string("store_unavailable"), code_of(transact()));
        CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"),
            code_of(transact({}, milliseconds(-1))));
    }

    void reads_on_an_unresponsive_connection_fail_at_their_deadline()
    {
        const unresponsive_listener listener;
        client_ = connect(listener.port);
        const auto outcome = wait_for<std::vector<row>>([&](auto done)
            { client_->read({"a"}, after(short_timeout), done); });
        CPPUNIT_ASSERT_EQUAL(
            std::string("store_unavailable"), code_of(outcome));
    }

    // Guards against handlers that run after the client was destroyed.
    void destruction_cancels_calls_in_flight()
    {
        service_.hold_answers();
        std::atomic<int> answered{0};
        for (int i = 0; i < 20; ++i)
            client_->transact({}, {}, after(long_timeout),
                [&](const result<transact_outcome>& outcome)
                { answered += outcome ? 0 : 1; });
        client_.reset();
        CPPUNIT_ASSERT_EQUAL(20, answered.load());
    }

private:
    static constexpr milliseconds short_timeout{300};
    static constexpr milliseconds long_timeout{15'000};

    static std::unique_ptr<client> connect(int port)
    {
        auto created = client::create(fmt::format("127.0.0.1:{}", port));
        CPPUNIT_ASSERT(created.has_value());
        return std::move(*created);
    }

    result<transact_outcome> transact(
        const std::vector<condition>& conditions = {},
        milliseconds timeout = long_timeout)
    {
        return wait_for<transact_outcome>(
            [&](auto done) {
                client_->transact(
                    conditions, {{"row", "value"}}, after(timeout), done);
            });
    }

    test_service service_;
    std::unique_ptr<grpc::Server> server_;
    std::unique_ptr<client> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_test);

} // namespace tarragonquay::store
