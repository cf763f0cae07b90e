#pragma once

#include "links/internal/peer_session.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <string>

namespace oriole::links {

/// A TCP connection between instances and its protocol session.
struct peer_connection {
    peer_connection(boost::beast::tcp_stream opened, peer_side side, const peer_key& key)
        : stream(std::move(opened)), session(side, key, make_peer_challenge()) {}

    boost::beast::tcp_stream stream;
    peer_session session;
    std::size_t bytes = 0; ///< total sent and received
};

/// Reads the next frame. Throws decode_error when it is longer than `limit`,
/// boost::system::system_error when the connection fails or the stream's deadline passes.
[[nodiscard]] boost::asio::awaitable<std::string> read_peer_frame(peer_connection& from,
                                                                  std::size_t limit);

/// Sends `frame` with its length prefix. Throws boost::system::system_error.
[[nodiscard]] boost::asio::awaitable<void> write_peer_frame(peer_connection& to, std::string frame);

} // namespace oriole::links
