#include "links/listening_socket.h"

#include "base/process_setup.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class listening_socket_test : public testing::Test {
protected:
    /// Listens on a free port of loopback.
    listening_socket_test() {
        listen(m_taken, {"127.0.0.1", 0}, "first");
        m_address = {"127.0.0.1", m_taken.local_endpoint().port()};
    }

    asio::io_context m_io{1};
    tcp::acceptor m_taken{m_io};
    tcp::acceptor m_acceptor{m_io};
    endpoint m_address;
};

// Guards against a message that does not say which of its addresses the process lacks.
TEST_F(listening_socket_test, error_names_address_and_role) {
    try {
        listen(m_acceptor, m_address, "peers");
        FAIL() << "two sockets listen on one address";
    } catch (const address_in_use& taken) {
        EXPECT_EQ(taken.what(),
                  "cannot listen on " + m_address.str() + " (peers): Address already in use");
    }
}

// Guards against a wait for an address that will never be this machine's.
TEST_F(listening_socket_test, address_of_another_machine_is_not_in_use) {
    try {
        listen(m_acceptor, {"192.0.2.1", 1}, "peers");
        FAIL() << "listens on an address of another machine";
    } catch (const address_in_use&) {
        FAIL() << "the address counts as in use";
    } catch (const listen_failed& failure) {
        EXPECT_NE(std::string(failure.what()).find("192.0.2.1:1 (peers)"), std::string::npos);
    }
}

// Guards against a process that ends because an address is in use for a moment.
TEST_F(listening_socket_test, serves_once_the_address_is_free) {
    int attempts = 0;
    serve_when_addresses_are_free([&] {
        ++attempts;
        if (attempts == 2) {
            m_taken.close();
        }
        tcp::acceptor acceptor(m_io);
        listen(acceptor, m_address, "peers");
    });
    EXPECT_EQ(attempts, 2);
}

// Guards against a process that cannot be stopped while it waits for an address, or that takes a
// hang-up for a stop.
TEST_F(listening_socket_test, stop_signal_ends_the_wait) {
    hold_stop_signals();
    int attempts = 0;
    serve_when_addresses_are_free([&] {
        ++attempts;
        std::raise(attempts == 1 ? SIGHUP : SIGTERM);
        tcp::acceptor acceptor(m_io);
        listen(acceptor, m_address, "peers");
    });
    EXPECT_EQ(attempts, 2);
}

} // namespace
} // namespace oriole::links
