#include "peering/transport.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

#include "peer.pb.h"
#include "support/message_mutation.hpp"

namespace tarragonquay::peering
{

class message_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_fuzz_test);
    CPPUNIT_TEST(handler_receives_only_well_formed_messages);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 20261204;
    static constexpr std::uint64_t cases = 4000;
    // Smaller than the queue, so that no message is dropped.
    static constexpr std::uint64_t batch = 100;

    static std::string valid_message()
    {
        peer::Envelope envelope;
        envelope.set_from_instance("a");
        envelope.set_from_incarnation("a-1");
        envelope.set_to_instance("b");
        envelope.set_from_address("127.0.0.1:9");
        envelope.set_sent_wall_ms(1);
        auto& demand = *envelope.mutable_heartbeat()->add_demands();
        demand.set_workspace("w");
        demand.set_requested_tokens(5);
        return envelope.SerializeAsString();
    }

public:
    // Guards against a decoder crash, and against passing a message to the
    // handler that has no sender or body or is for another instance.
    void handler_receives_only_well_formed_messages()
    {
        boost::asio::io_context context;
        std::uint64_t handled = 0;
        auto made =
            transport::create(context, "127.0.0.1:0", instance_id("b"), "b-1",
                [&](const peer::Envelope& envelope)
                {
                    ++handled;
                    CPPUNIT_ASSERT(!envelope.from_instance().empty());
                    CPPUNIT_ASSERT(
                        envelope.body_case() != peer::Envelope::BODY_NOT_SET);
                    CPPUNIT_ASSERT(envelope.to_instance().empty() ||
                                   envelope.to_instance() == "b");
                });
        CPPUNIT_ASSERT(made.has_value());
        const auto& counters = (*made)->counters();
        zmq::context_t zmq_context;
        zmq::socket_t raw(zmq_context, zmq::socket_type::dealer);
        raw.set(zmq::sockopt::linger, 0);
        raw.connect("tcp://" + (*made)->listen_address());
        test_support::mutator random(seed);
        for (std::uint64_t sent = 0; sent < cases;)
        {
            for (std::uint64_t i = 0; i < batch; ++i, ++sent)
                raw.send(zmq::buffer(random.damage(valid_message())),
                    zmq::send_flags::none);
            // Only stops a test that would hang otherwise.
            const auto limit =
                std::chrono::steady_clock::now() + std::chrono::seconds(20);
            while (counters.received + counters.malformed < sent &&
                   std::chrono::steady_clock::now() < limit)
                context.run_one_for(std::chrono::milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(sent, counters.received + counters.malformed);
        }
        CPPUNIT_ASSERT_EQUAL(counters.received, handled);
        CPPUNIT_ASSERT(handled > 0 && counters.malformed > 0);
        // Addresses learned from corrupted messages may be invalid.
        peer::Envelope reply;
        reply.mutable_push_ack();
        const auto answered = (*made)->send(instance_id("a"), reply);
        CPPUNIT_ASSERT(answered ||
                       answered.error().code() == error_code::peer_unreachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_fuzz_test);

} // namespace tarragonquay::peering
