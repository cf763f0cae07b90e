#include "links/internal/peer_session.h"

#include "links/backend_codec.h"

#include <sodium.h>

#include <algorithm>

namespace oriole::links {
namespace {

constexpr unsigned char hello_frame = 1;
constexpr unsigned char sealed_frame = 2;
constexpr std::size_t header_bytes = 3; // major, minor, kind
constexpr std::size_t counter_bytes = 8;
constexpr std::size_t mac_bytes = crypto_auth_BYTES;
constexpr unsigned byte_bits = 8;

static_assert(std::tuple_size_v<peer_key> == crypto_auth_KEYBYTES);
static_assert(peer_hello_bytes == header_bytes + std::tuple_size_v<peer_challenge> + mac_bytes);
static_assert(peer_seal_bytes == header_bytes + counter_bytes + mac_bytes);

// Key derivation contexts. Distinct contexts give each direction its own key, so that a frame of
// one direction is not valid in the other.
constexpr std::string_view secret_context = "oriolethread peer secret";
constexpr std::string_view caller_to_server_context = "oriolethread caller to server";
constexpr std::string_view server_to_caller_context = "oriolethread server to caller";

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string_view text_of(const peer_challenge& challenge) {
    return {reinterpret_cast<const char*>(challenge.data()), challenge.size()};
}

peer_key keyed_hash(const peer_key& key, const std::string& input) {
    peer_key result{};
    crypto_generichash(result.data(), result.size(), bytes_of(input), input.size(), key.data(),
                       key.size());
    return result;
}

std::string header(std::uint8_t minor, unsigned char kind) {
    return {static_cast<char>(peer_major_version), static_cast<char>(minor),
            static_cast<char>(kind)};
}

std::string encode_counter(std::uint64_t value) {
    std::string bytes(counter_bytes, '\0');
    for (std::size_t i = 0; i < counter_bytes; ++i) {
        bytes[counter_bytes - 1 - i] = static_cast<char>(value >> (byte_bits * i));
    }
    return bytes;
}

std::string with_mac(std::string frame, const peer_key& key) {
    std::array<unsigned char, mac_bytes> mac{};
    crypto_auth(mac.data(), bytes_of(frame), frame.size(), key.data());
    frame.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    return frame;
}

/// Returns the frame without its MAC. Throws decode_error when the frame is shorter than `min_size`
/// or the MAC is wrong.
std::string_view verify_mac(std::string_view frame, const peer_key& key, std::size_t min_size) {
    if (frame.size() < min_size) {
        throw decode_error("peer frame of " + std::to_string(frame.size()) + " bytes is truncated");
    }
    const std::string_view content = frame.substr(0, frame.size() - mac_bytes);
    const std::string_view mac = frame.substr(content.size());
    if (crypto_auth_verify(bytes_of(mac), bytes_of(content), content.size(), key.data()) != 0) {
        throw decode_error("peer frame fails authentication");
    }
    return content;
}

void check_header(std::string_view content, unsigned char kind) {
    if (static_cast<std::uint8_t>(content[0]) != peer_major_version) {
        throw decode_error("peer frame has a major version other than " +
                           std::to_string(peer_major_version));
    }
    if (static_cast<unsigned char>(content[2]) != kind) {
        throw decode_error("peer frame has an unexpected kind");
    }
}

void require_sodium() {
    if (sodium_init() < 0) {
        throw error("libsodium cannot be initialised");
    }
}

} // namespace

peer_key derive_peer_key(const peer_secret& secret) {
    require_sodium();
    peer_key key{};
    const std::string input = std::string(secret_context) + secret.text;
    crypto_generichash(key.data(), key.size(), bytes_of(input), input.size(), nullptr, 0);
    return key;
}

peer_challenge make_peer_challenge() {
    require_sodium();
    peer_challenge challenge{};
    randombytes_buf(challenge.data(), challenge.size());
    return challenge;
}

std::size_t decode_peer_length(const std::array<unsigned char, 4>& bytes, std::size_t limit) {
    std::size_t length = 0;
    for (const unsigned char byte : bytes) {
        length = (length << byte_bits) | byte;
    }
    if (length > limit) {
        throw decode_error("peer frame of " + std::to_string(length) +
                           " bytes exceeds the limit of " + std::to_string(limit));
    }
    return length;
}

std::string with_peer_length(std::string_view frame) {
    const std::string counter = encode_counter(frame.size());
    return counter.substr(counter_bytes - peer_length_bytes) + std::string(frame);
}

peer_session::peer_session(peer_side side, const peer_key& secret_key,
                           const peer_challenge& own_challenge, std::uint8_t minor)
    : m_side(side), m_secret_key(secret_key), m_own_challenge(own_challenge), m_minor(minor) {
    require_sodium();
}

std::string peer_session::hello() const {
    const std::string content =
        header(m_minor, hello_frame) + std::string(text_of(m_own_challenge));
    // The server's key depends on the caller's challenge, so that a recorded hello cannot be
    // replayed to the caller.
    return with_mac(content, m_side == peer_side::caller ? m_secret_key : m_seal_key);
}

void peer_session::accept_hello(std::string_view frame) {
    if (frame.size() != peer_hello_bytes) {
        throw decode_error("peer hello has " + std::to_string(frame.size()) + " bytes, expected " +
                           std::to_string(peer_hello_bytes));
    }
    peer_challenge other{};
    std::copy_n(frame.begin() + header_bytes, other.size(), other.begin());
    derive_session_keys(other);
    const auto& key = m_side == peer_side::caller ? m_open_key : m_secret_key;
    const std::string_view content = verify_mac(frame, key, peer_hello_bytes);
    check_header(content, hello_frame);
    m_minor = std::min(m_minor, static_cast<std::uint8_t>(content[1]));
}

void peer_session::derive_session_keys(const peer_challenge& other) {
    const bool caller = m_side == peer_side::caller;
    std::string challenges(text_of(caller ? m_own_challenge : other));
    challenges += text_of(caller ? other : m_own_challenge);
    const peer_key to_server =
        keyed_hash(m_secret_key, std::string(caller_to_server_context) + challenges);
    const peer_key to_caller =
        keyed_hash(m_secret_key, std::string(server_to_caller_context) + challenges);
    m_seal_key = caller ? to_server : to_caller;
    m_open_key = caller ? to_caller : to_server;
}

std::string peer_session::seal(std::string_view text) {
    std::string frame = header(m_minor, sealed_frame) + encode_counter(++m_sealed_frames);
    frame += text;
    return with_mac(std::move(frame), m_seal_key);
}

std::string peer_session::open(std::string_view frame) {
    const std::string_view content = verify_mac(frame, m_open_key, peer_seal_bytes);
    check_header(content, sealed_frame);
    if (content.substr(header_bytes, counter_bytes) != encode_counter(m_opened_frames + 1)) {
        throw decode_error("peer frame is not the next one in sequence");
    }
    ++m_opened_frames;
    return std::string(content.substr(header_bytes + counter_bytes));
}

} // namespace oriole::links
