#pragma once

#include "links/internal/peer_session.h"
#include "machines/resource_account.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace oriole::links {

/// A TCP connection between instances and its protocol session.
struct peer_connection {
    peer_connection(boost::beast::tcp_stream opened, peer_side side, const peer_key& key)
        : stream(std::move(opened)), session(side, key, make_peer_challenge()) {}

    boost::beast::tcp_stream stream;
    peer_session session;
    std::size_t bytes = 0; ///< total sent and received
    /// Counts the frame that is being received and the call that it carries; may be null.
    std::unique_ptr<machines::resource_holding> holding;
    std::size_t kept_bytes = 0; ///< as they were last reported to the holding
};

/// Reports what the connection keeps; returns whether it may. Small messages are not reported.
[[nodiscard]] bool keep_bytes(peer_connection& connection, std::size_t bytes);

/// Reads the next frame. Memory is taken as its bytes arrive, not for the length that it announces.
/// Throws decode_error when it is longer than `limit`, boost::system::system_error when the
/// connection fails, the stream's deadline passes or the frame may not be kept.
[[nodiscard]] boost::asio::awaitable<std::string> read_peer_frame(peer_connection& from,
                                                                  std::size_t limit);

/// Sends `frame` with its length prefix. Throws boost::system::system_error.
[[nodiscard]] boost::asio::awaitable<void> write_peer_frame(peer_connection& to, std::string frame);

} // namespace oriole::links
