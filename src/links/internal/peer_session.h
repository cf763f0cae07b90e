#pragma once

#include "links/peer_link.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriole::links {

/// Version of the frame format. Peers of the same major version are compatible and use the lower of
/// their minor versions.
inline constexpr std::uint8_t peer_major_version = 1;
inline constexpr std::uint8_t peer_minor_version = 0;

/// Size of the length prefix of each frame.
inline constexpr std::size_t peer_length_bytes = 4;

using peer_challenge = std::array<unsigned char, 32>;
using peer_key = std::array<unsigned char, 32>;

/// Derives the key from the site's peer secret. Throws error when libsodium cannot be initialised.
[[nodiscard]] peer_key derive_peer_key(const peer_secret& secret);

/// A random challenge from the operating system's random number generator.
[[nodiscard]] peer_challenge make_peer_challenge();

/// Decodes the length prefix of a frame. Throws decode_error when the length exceeds `limit`.
[[nodiscard]] std::size_t decode_peer_length(const std::array<unsigned char, 4>& bytes,
                                             std::size_t limit);

/// Returns `frame` with its length prefix.
[[nodiscard]] std::string with_peer_length(std::string_view frame);

enum class peer_side { caller, server };

/// The peer protocol of one connection, without I/O: a handshake by which both sides prove that
/// they know the secret, then frames with a counter and a MAC. Only the caller's first sealed frame
/// proves that its hello is not a replay, since its key depends on the server's challenge. Not
/// thread-safe.
class peer_session {
public:
    /// `minor` is the highest minor version that this side supports; tests pass other versions.
    peer_session(peer_side side, const peer_key& secret_key, const peer_challenge& own_challenge,
                 std::uint8_t minor = peer_minor_version);

    /// The first frame that this side sends. Precondition on the server side: `accept_hello` has
    /// been called.
    [[nodiscard]] std::string hello() const;

    /// Verifies the first frame of the other side and derives the session keys. Throws
    /// decode_error.
    void accept_hello(std::string_view frame);

    /// Returns the next frame to send, with `text` as its content. Precondition: `accept_hello` has
    /// been called.
    [[nodiscard]] std::string seal(std::string_view text);

    /// Returns the content of the next frame from the other side. Throws decode_error when the MAC
    /// is wrong or the frame is not the next one in sequence.
    [[nodiscard]] std::string open(std::string_view frame);

    /// Minor version in use: the lower one of both sides after the handshake.
    [[nodiscard]] std::uint8_t minor_version() const noexcept { return m_minor; }

private:
    void derive_session_keys(const peer_challenge& other);

    peer_side m_side;
    peer_key m_secret_key;
    peer_challenge m_own_challenge;
    std::uint8_t m_minor;
    peer_key m_seal_key{};
    peer_key m_open_key{};
    std::uint64_t m_sealed_frames = 0;
    std::uint64_t m_opened_frames = 0;
};

/// Size of a hello frame: header, challenge, MAC. Before the hello has been verified, no larger
/// frame is accepted.
inline constexpr std::size_t peer_hello_bytes = 3 + 32 + 32;

/// Bytes that seal() adds to a text: header, counter, MAC.
inline constexpr std::size_t peer_seal_bytes = 3 + 8 + 32;

} // namespace oriole::links
