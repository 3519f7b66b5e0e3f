#include "common/socket_address.hpp"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay
{

class socket_address_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(socket_address_test);
    CPPUNIT_TEST(address_round_trips_through_text);
    CPPUNIT_TEST(malformed_addresses_are_refused);
    CPPUNIT_TEST(address_in_use_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void address_round_trips_through_text()
    {
        const auto address = parse_socket_address("127.0.0.1:7000");
        CPPUNIT_ASSERT(address.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7000"), to_text(*address));
    }

    // Guards against listening on or sending to an unintended address.
    void malformed_addresses_are_refused()
    {
        for (const auto* text : {"", "127.0.0.1", "127.0.0.1:", ":7000",
                 "127.0.0.1:70000", "127.0.0.1:7x", "host:7000"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_socket_address(text));
    }

    // Guards against returning an acceptor that does not listen.
    void address_in_use_is_refused()
    {
        boost::asio::io_context io;
        const auto first = open_acceptor(io.get_executor(), "127.0.0.1:0");
        CPPUNIT_ASSERT(first.has_value());
        const auto second =
            open_acceptor(io.get_executor(), to_text(first->local_endpoint()));
        CPPUNIT_ASSERT(!second.has_value());
        CPPUNIT_ASSERT(second.error().code() == error_code::invalid_argument);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_address_test);

} // namespace tarragonquay
