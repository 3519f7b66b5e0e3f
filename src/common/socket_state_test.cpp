#include "common/socket_state.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay
{

class socket_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(socket_state_test);
    CPPUNIT_TEST(each_socket_state_is_detected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against treating an idle caller as disconnected, and against
    // sending a request on a connection that the peer has closed.
    void each_socket_state_is_detected()
    {
        int ends[2] = {};
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends));
        CPPUNIT_ASSERT(peek_socket(ends[0]) == socket_state::idle);
        CPPUNIT_ASSERT_EQUAL(ssize_t(1), ::write(ends[1], "x", 1));
        CPPUNIT_ASSERT(peek_socket(ends[0]) == socket_state::has_input);
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t(1), ::read(ends[0], &byte, 1));
        CPPUNIT_ASSERT(peek_socket(ends[0]) == socket_state::idle);
        ::close(ends[1]);
        CPPUNIT_ASSERT(peek_socket(ends[0]) == socket_state::closed);
        ::close(ends[0]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_state_test);

} // namespace tarragonquay
