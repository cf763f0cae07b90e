#include "links/internal/peer_connection.h"

#include <boost/asio.hpp>

#include <array>

namespace oriole::links {

namespace asio = boost::asio;

asio::awaitable<std::string> read_peer_frame(peer_connection& from, std::size_t limit) {
    std::array<unsigned char, peer_length_bytes> length{};
    co_await asio::async_read(from.stream, asio::buffer(length), asio::use_awaitable);
    std::string frame(decode_peer_length(length, limit), '\0');
    co_await asio::async_read(from.stream, asio::buffer(frame), asio::use_awaitable);
    from.bytes += length.size() + frame.size();
    co_return frame;
}

asio::awaitable<void> write_peer_frame(peer_connection& to, std::string frame) {
    const std::string sent = with_peer_length(frame);
    co_await asio::async_write(to.stream, asio::buffer(sent), asio::use_awaitable);
    to.bytes += sent.size();
}

} // namespace oriole::links
