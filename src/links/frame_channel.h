#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace oriole::links {

/// Receives the frames and the closing of a frame channel, on the channel's executor.
class frame_handler {
public:
    virtual ~frame_handler() = default;

    /// `frame` is the content of one frame, valid during the call. An exception derived from
    /// oriole::error closes the channel.
    virtual void on_frame(std::span<const char> frame) = 0;

    /// Called once, after the last frame. `reason` says why the channel was closed.
    virtual void on_closed(const std::string& reason) noexcept = 0;
};

/// Sends and receives frames over one TCP connection. Frames that are queued while the executor is
/// busy are sent in one write. Not thread-safe; used on the socket's executor.
class frame_channel {
public:
    virtual ~frame_channel() = default;

    /// Starts to read. The channel closes when a frame arrives and `handler` no longer exists.
    virtual void start(std::weak_ptr<frame_handler> handler) = 0;

    /// Queues `payload` as one frame. Does nothing on a closed channel. Precondition: `payload` is
    /// not empty and not larger than max_backend_message_bytes.
    virtual void send(std::string_view payload) = 0;

    /// Closes the connection after all queued frames have been written.
    virtual void close_after_send() = 0;

    virtual void close() noexcept = 0;

    [[nodiscard]] virtual bool open() const noexcept = 0;
};

[[nodiscard]] std::shared_ptr<frame_channel>
make_tcp_frame_channel(boost::asio::ip::tcp::socket socket);

} // namespace oriole::links
