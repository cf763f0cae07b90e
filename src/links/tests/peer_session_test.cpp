#include "links/internal/peer_session.h"

#include "links/backend_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

class peer_session_test : public testing::Test {
protected:
    peer_session make(peer_side side, const std::string& secret, std::uint8_t minor = 0) {
        return {side, derive_peer_key({secret}), make_peer_challenge(), minor};
    }

    /// Performs the handshake between both sides.
    void connect() {
        m_server.accept_hello(m_caller.hello());
        m_caller.accept_hello(m_server.hello());
    }

    peer_session m_caller = make(peer_side::caller, "secret");
    peer_session m_server = make(peer_side::server, "secret");
};

std::string alter_byte(std::string frame) {
    const auto index = *rc::gen::inRange<std::size_t>(0, frame.size());
    const auto change = *rc::gen::inRange(1, 256);
    frame[index] = static_cast<char>(frame[index] ^ change);
    return frame;
}

// Guards against texts that are altered in transfer, in either direction and over several frames.
RC_GTEST_FIXTURE_PROP(peer_session_test, sealed_texts_open_in_order, (const std::string& text)) {
    connect();
    for (int i = 0; i < 3; ++i) {
        RC_ASSERT(m_server.open(m_caller.seal(text)) == text);
        RC_ASSERT(m_caller.open(m_server.seal(text)) == text);
    }
}

// Guards against acceptance of altered frames, and against crashes on arbitrary bytes.
RC_GTEST_FIXTURE_PROP(peer_session_test, altered_or_random_frames_are_refused,
                      (const std::string& text, const std::string& noise)) {
    const std::string hello = alter_byte(m_caller.hello());
    RC_ASSERT_THROWS_AS(m_server.accept_hello(hello), decode_error);
    RC_ASSERT_THROWS_AS(m_server.accept_hello(noise), decode_error);
    connect();
    const std::string frame = m_caller.seal(text);
    RC_ASSERT_THROWS_AS((void)m_server.open(alter_byte(frame)), decode_error);
    RC_ASSERT_THROWS_AS((void)m_server.open(noise), decode_error);
    const auto kept = *rc::gen::inRange<std::size_t>(0, frame.size());
    RC_ASSERT_THROWS_AS((void)m_server.open(frame.substr(0, kept)), decode_error);
    RC_ASSERT(m_server.open(frame) == text);
}

// Guards against frames that are replayed, reordered or sent back to their sender.
TEST_F(peer_session_test, frame_out_of_sequence_is_rejected) {
    connect();
    const std::string first = m_caller.seal("first");
    const std::string second = m_caller.seal("second");
    EXPECT_THROW((void)m_server.open(second), decode_error);
    EXPECT_EQ(m_server.open(first), "first");
    EXPECT_THROW((void)m_server.open(first), decode_error);
    EXPECT_THROW((void)m_caller.open(second), decode_error);
}

// Guards against a recorded connection that is replayed to the server.
TEST_F(peer_session_test, replayed_connection_is_rejected) {
    const std::string hello = m_caller.hello();
    connect();
    const std::string frame = m_caller.seal("call");
    peer_session again = make(peer_side::server, "secret");
    again.accept_hello(hello);
    EXPECT_THROW((void)again.open(frame), decode_error);
}

// Guards against accepting a caller or a server that does not know the secret.
TEST_F(peer_session_test, wrong_secret_is_rejected) {
    peer_session unauthorized = make(peer_side::caller, "other");
    EXPECT_THROW(m_server.accept_hello(unauthorized.hello()), decode_error);
    peer_session false_server = make(peer_side::server, "other");
    EXPECT_THROW(false_server.accept_hello(m_caller.hello()), decode_error);
    EXPECT_THROW(m_caller.accept_hello(false_server.hello()), decode_error);
}

// Guards against instances of different minor versions that cannot communicate during a rolling
// upgrade.
TEST_F(peer_session_test, older_minor_version_is_used_by_both) {
    m_caller = make(peer_side::caller, "secret", 1);
    m_server = make(peer_side::server, "secret", 3);
    connect();
    EXPECT_EQ(m_caller.minor_version(), 1);
    EXPECT_EQ(m_server.minor_version(), 1);
    EXPECT_EQ(m_server.open(m_caller.seal("text")), "text");
}

// Guards against a length prefix by which an unauthenticated peer makes the reader allocate memory.
RC_GTEST_FIXTURE_PROP(peer_session_test, length_over_limit_is_refused, (std::uint32_t length)) {
    std::array<unsigned char, 4> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        bytes[i] = static_cast<unsigned char>(length >> (24U - 8U * i));
    }
    if (length > peer_hello_bytes) {
        RC_ASSERT_THROWS_AS((void)decode_peer_length(bytes, peer_hello_bytes), decode_error);
    }
    RC_ASSERT(decode_peer_length(bytes, length) == length);
}

} // namespace
} // namespace oriole::links
