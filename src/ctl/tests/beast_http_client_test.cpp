#include "ctl/http_client.h"

#include <utility>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace oriole::ctl {
namespace {

namespace asio = boost::asio;

/// The server accepts one connection, reads a request, sends `m_response` and closes the
/// connection. `exchange` returns an empty response when the client throws http_failure.
class beast_http_client_test : public testing::Test {
protected:
    [[nodiscard]] http_response exchange(const http_request& request) {
        std::thread server([this] {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            asio::read_until(socket, asio::dynamic_buffer(m_received), "\r\n\r\n");
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(m_response), ignored);
        });
        http_response response;
        bool failed = false;
        try {
            const endpoint server_address("127.0.0.1", m_acceptor.local_endpoint().port());
            response =
                make_beast_http_client()->send(server_address, request, std::chrono::seconds(30));
        } catch (const http_failure&) {
            failed = true;
        }
        server.join();
        return failed ? http_response{} : response;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::string m_response;
    std::string m_received;
};

// Guards against header lookups that depend on the server's capitalization, and against requests
// that lose their If-Match header.
TEST_F(beast_http_client_test, complete_response_is_returned_with_lower_case_headers) {
    m_response = "HTTP/1.1 409 Conflict\r\nORIOLE-Version: 7\r\nContent-Length: 4\r\n\r\nbody";
    const auto response = exchange({"PUT", "/v1/objects/a", {{"If-Match", "6"}}, "x"});
    EXPECT_EQ(response.status, 409U);
    EXPECT_EQ(response.headers.at("oriole-version"), "7");
    EXPECT_EQ(response.body, "body");
    EXPECT_EQ(m_received.rfind("PUT /v1/objects/a HTTP/1.1\r\n", 0), 0U);
    EXPECT_NE(m_received.find("If-Match: 6\r\n"), std::string::npos);
}

// Guards against accepting a truncated object: the connection closes after 4 of 400 bytes.
TEST_F(beast_http_client_test, truncated_response_is_a_failure) {
    m_response = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbody";
    EXPECT_EQ(exchange({"GET", "/v1/objects/a", {}, {}}), http_response{});
}

} // namespace
} // namespace oriole::ctl
