#include "links/internal/peer_connection.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <array>

namespace oriole::links {

namespace asio = boost::asio;

namespace {

constexpr std::size_t read_step_bytes = std::size_t{64} << 10U;
constexpr std::size_t min_reported_bytes = std::size_t{4} << 10U;

} // namespace

bool keep_bytes(peer_connection& connection, std::size_t bytes) {
    const auto reported = bytes < min_reported_bytes ? 0 : bytes;
    if (connection.holding == nullptr || reported == connection.kept_bytes) {
        return true;
    }
    connection.kept_bytes = reported;
    return connection.holding->hold(machines::held_part::input, reported);
}

asio::awaitable<std::string> read_peer_frame(peer_connection& from, std::size_t limit) {
    std::array<unsigned char, peer_length_bytes> length{};
    co_await asio::async_read(from.stream, asio::buffer(length), asio::use_awaitable);
    const std::size_t frame_bytes = decode_peer_length(length, limit);
    std::string frame;
    while (frame.size() < frame_bytes) {
        const std::size_t received = frame.size();
        frame.resize(std::min(frame_bytes, received + read_step_bytes));
        if (!keep_bytes(from, frame.capacity())) {
            throw boost::system::system_error(asio::error::no_buffer_space);
        }
        co_await asio::async_read(from.stream, asio::buffer(frame) + received, asio::use_awaitable);
    }
    from.bytes += length.size() + frame.size();
    co_return frame;
}

asio::awaitable<void> write_peer_frame(peer_connection& to, std::string frame) {
    const std::string sent = with_peer_length(frame);
    co_await asio::async_write(to.stream, asio::buffer(sent), asio::use_awaitable);
    to.bytes += sent.size();
}

} // namespace oriole::links
