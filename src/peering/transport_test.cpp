#include "peering/transport.hpp"

#include <array>
#include <list>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

#include "peer.pb.h"

namespace tarragonquay::peering
{

namespace
{

namespace asio = boost::asio;

// Only stops a test that would hang otherwise.
constexpr auto hang_limit = std::chrono::seconds(20);
/// Instances are in contact again this long after their connections have gone
/// silent (`contact_ms` of the platform).
constexpr auto contact_time = std::chrono::seconds(3);

constexpr std::size_t oversized_bytes = std::size_t(9) << 20;

struct node
{
    node(boost::asio::io_context& context, const std::string& name)
    {
        auto made = transport::create(context, "127.0.0.1:0", instance_id(name),
            name + "-1",
            [this](const peer::Envelope& envelope)
            { received.push_back(envelope); });
        CPPUNIT_ASSERT(made.has_value());
        link = std::move(*made);
    }

    std::vector<peer::Envelope> received;
    std::unique_ptr<transport> link;
};

/// Forwards connections to an address. Open ones can go silent for good: they
/// stay open and carry nothing more, also not their end.
class forwarder
{
public:
    forwarder(asio::io_context& context, std::uint16_t target)
        : context_(context),
          target_(asio::ip::address_v4::loopback(), target),
          acceptor_(context, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(context_, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    void silence_open_connections()
    {
        for (auto& each : connections_)
            each->silent = true;
    }
    std::size_t accepted() const { return connections_.size(); }

private:
    struct connection
    {
        explicit connection(asio::ip::tcp::socket from)
            : near_side(std::move(from)), far_side(near_side.get_executor())
        {
        }
        asio::ip::tcp::socket near_side;
        asio::ip::tcp::socket far_side;
        bool silent = false;
    };

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            auto added = std::make_shared<connection>(std::move(socket));
            connections_.push_back(added);
            co_await added->far_side.async_connect(
                target_, asio::use_awaitable);
            asio::co_spawn(context_,
                pump(added, added->near_side, added->far_side), asio::detached);
            asio::co_spawn(context_,
                pump(added, added->far_side, added->near_side), asio::detached);
        }
    }

    static asio::awaitable<void> pump(std::shared_ptr<connection> owner,
        asio::ip::tcp::socket& from, asio::ip::tcp::socket& to)
    {
        std::array<char, 4'096> bytes{};
        boost::system::error_code failed;
        while (true)
        {
            const auto count =
                co_await from.async_read_some(asio::buffer(bytes),
                    asio::redirect_error(asio::use_awaitable, failed));
            if (owner->silent)
                co_return;
            if (failed)
            {
                to.close(failed);
                co_return;
            }
            co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                asio::redirect_error(asio::use_awaitable, failed));
        }
    }

    asio::io_context& context_;
    const asio::ip::tcp::endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    std::list<std::shared_ptr<connection>> connections_;
};

peer::Envelope heartbeat(std::int64_t sequence)
{
    peer::Envelope envelope;
    envelope.mutable_heartbeat()->set_sequence(sequence);
    return envelope;
}

} // namespace

class transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(transport_test);
    CPPUNIT_TEST(receiver_replies_to_a_sender_it_did_not_know);
    CPPUNIT_TEST(many_messages_at_once_all_arrive);
    CPPUNIT_TEST(malformed_messages_are_counted_and_dropped);
    CPPUNIT_TEST(oversized_frames_do_not_reach_the_handler);
    CPPUNIT_TEST(messages_for_another_instance_are_dropped);
    CPPUNIT_TEST(messages_flow_after_a_reopen);
    CPPUNIT_TEST(a_connection_that_goes_silent_is_replaced_in_time);
    CPPUNIT_TEST(failures_report_their_error_codes);
    CPPUNIT_TEST_SUITE_END();

public:
    template <class Condition>
    void run_until(Condition done)
    {
        const auto limit = std::chrono::steady_clock::now() + hang_limit;
        while (!done() && std::chrono::steady_clock::now() < limit)
            context_.run_one_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(done());
    }

    void receiver_replies_to_a_sender_it_did_not_know()
    {
        CPPUNIT_ASSERT(
            a_.link->send_to_address(b_.link->listen_address(), heartbeat(7))
                .has_value());
        run_until([&] { return !b_.received.empty(); });
        CPPUNIT_ASSERT_EQUAL(
            std::string("a-1"), b_.received[0].from_incarnation());
        CPPUNIT_ASSERT(
            b_.link->send(instance_id("a"), heartbeat(8)).has_value());
        run_until([&] { return !a_.received.empty(); });
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(8), a_.received[0].heartbeat().sequence());
    }

    // Guards against a lost wake-up of the edge-triggered descriptor.
    void many_messages_at_once_all_arrive()
    {
        connect();
        for (int i = 0; i < 200; ++i)
            CPPUNIT_ASSERT(
                a_.link->send(instance_id("b"), heartbeat(i)).has_value());
        run_until([&] { return b_.received.size() == 200; });
    }

    void malformed_messages_are_counted_and_dropped()
    {
        zmq::context_t zmq_context;
        zmq::socket_t raw(zmq_context, zmq::socket_type::dealer);
        raw.set(zmq::sockopt::linger, 0);
        raw.connect("tcp://" + b_.link->listen_address());
        raw.send(zmq::str_buffer("\xff\xff not protobuf"));
        raw.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
        raw.send(zmq::str_buffer("parts"));
        raw.send(zmq::message_t(), zmq::send_flags::none);
        run_until([&] { return b_.link->counters().malformed == 3; });
        connect();
        a_.link->send(instance_id("b"), heartbeat(1));
        run_until([&] { return b_.received.size() == 1; });
    }

    void oversized_frames_do_not_reach_the_handler()
    {
        zmq::context_t zmq_context;
        zmq::socket_t raw(zmq_context, zmq::socket_type::dealer);
        raw.set(zmq::sockopt::linger, 0);
        raw.connect("tcp://" + b_.link->listen_address());
        raw.send(zmq::message_t(oversized_bytes), zmq::send_flags::none);
        connect();
        a_.link->send(instance_id("b"), heartbeat(1));
        run_until([&] { return b_.received.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), b_.link->counters().received);
        peer::Envelope large;
        large.mutable_events_reply()->add_events()->set_detail(
            std::string(oversized_bytes, 'x'));
        const auto sent = a_.link->send(instance_id("b"), large);
        CPPUNIT_ASSERT(sent.error().code() == error_code::payload_too_large);
    }

    void messages_for_another_instance_are_dropped()
    {
        a_.link->set_peer(instance_id("c"), b_.link->listen_address());
        a_.link->send(instance_id("c"), heartbeat(1));
        run_until([&] { return b_.link->counters().malformed == 1; });
        CPPUNIT_ASSERT(b_.received.empty());
    }

    void messages_flow_after_a_reopen()
    {
        connect();
        a_.link->send(instance_id("b"), heartbeat(1));
        run_until([&] { return b_.received.size() == 1; });
        CPPUNIT_ASSERT(a_.link->reopen(instance_id("b")).has_value());
        a_.link->send(instance_id("b"), heartbeat(2));
        run_until([&] { return b_.received.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), a_.link->counters().reopened);
    }

    // Guards against an instance that hears nothing from another one after the
    // connection between them has gone silent without a reset.
    void a_connection_that_goes_silent_is_replaced_in_time()
    {
        const auto address = b_.link->listen_address();
        forwarder between(
            context_, static_cast<std::uint16_t>(
                          std::stoi(address.substr(address.find(':') + 1))));
        a_.link->set_peer(instance_id("b"), between.address());
        a_.link->send(instance_id("b"), heartbeat(0));
        run_until([&] { return b_.received.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), between.accepted());
        between.silence_open_connections();
        const auto silent_at = std::chrono::steady_clock::now();
        std::int64_t sequence = 0;
        run_until(
            [&]
            {
                a_.link->send(instance_id("b"), heartbeat(++sequence));
                return b_.received.size() > 1;
            });
        CPPUNIT_ASSERT(
            std::chrono::steady_clock::now() <= silent_at + contact_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), between.accepted());
    }

    void failures_report_their_error_codes()
    {
        const auto taken =
            transport::create(context_, a_.link->listen_address(),
                instance_id("x"), "x-1", [](const peer::Envelope&) {});
        CPPUNIT_ASSERT(!taken.has_value());
        CPPUNIT_ASSERT(taken.error().code() == error_code::invalid_settings);
        const auto unknown = a_.link->send(instance_id("x"), heartbeat(1));
        CPPUNIT_ASSERT(unknown.error().code() == error_code::peer_unreachable);
        a_.link->set_peer(instance_id("x"), "not an address");
        const auto bad = a_.link->send(instance_id("x"), heartbeat(1));
        CPPUNIT_ASSERT(bad.error().code() == error_code::peer_unreachable);
    }

private:
    void connect()
    {
        a_.link->set_peer(instance_id("b"), b_.link->listen_address());
    }

    boost::asio::io_context context_;
    node a_{context_, "a"};
    node b_{context_, "b"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(transport_test);

} // namespace tarragonquay::peering
