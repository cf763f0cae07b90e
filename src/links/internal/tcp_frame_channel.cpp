#include "links/frame_buffer.h"
#include "links/frame_channel.h"

#include <boost/asio.hpp>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A peer that leaves more output than this unread is taken to be stuck; the connection is closed.
constexpr std::size_t max_queued_bytes = std::size_t{64} << 20U;

class tcp_frame_channel final : public frame_channel,
                                public std::enable_shared_from_this<tcp_frame_channel> {
public:
    explicit tcp_frame_channel(tcp::socket socket) : m_socket(std::move(socket)) {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }

    void start(std::weak_ptr<frame_handler> handler) override {
        m_handler = std::move(handler);
        asio::co_spawn(m_socket.get_executor(), read_frames(shared_from_this()), asio::detached);
    }

    void send(std::string_view payload) override {
        if (!m_open) {
            return;
        }
        append_frame(m_queued, payload);
        if (m_queued.size() > max_queued_bytes) {
            close_with_reason("the peer does not read: more than 64 MiB of output are queued");
            return;
        }
        start_writing();
    }

    void close_after_send() override {
        m_closing = true;
        start_writing();
    }

    void close() noexcept override { close_with_reason("closed by this side"); }

    [[nodiscard]] bool open() const noexcept override { return m_open; }

private:
    /// Closes the channel when reading ends, also when the execution context is destroyed while the
    /// coroutine is suspended: calls that wait for answers would otherwise keep the link alive.
    struct close_on_read_end {
        std::shared_ptr<tcp_frame_channel> channel;
        std::string reason = "the execution context was destroyed";

        close_on_read_end(const close_on_read_end&) = delete;
        close_on_read_end& operator=(const close_on_read_end&) = delete;

        explicit close_on_read_end(std::shared_ptr<tcp_frame_channel> reading)
            : channel(std::move(reading)) {}

        ~close_on_read_end() { channel->close_with_reason(reason); }
    };

    // `self` keeps the channel alive while the coroutine runs.
    static asio::awaitable<void> read_frames(std::shared_ptr<tcp_frame_channel> self) {
        close_on_read_end end(self);
        try {
            while (self->m_open) {
                const auto space = self->m_input.prepare();
                const auto buffer = asio::buffer(space.data(), space.size());
                const std::size_t size =
                    co_await self->m_socket.async_read_some(buffer, asio::use_awaitable);
                self->m_input.commit(size);
                self->dispatch_frames();
            }
        } catch (const std::exception& failure) {
            end.reason = failure.what();
        }
        if (self->m_input.partial()) {
            end.reason += " (inside a frame)";
        }
    }

    void dispatch_frames() {
        while (m_open) {
            const auto frame = m_input.next();
            if (!frame) {
                return;
            }
            const auto handler = m_handler.lock();
            if (!handler) {
                close_with_reason("the handler of the connection no longer exists");
                return;
            }
            handler->on_frame(*frame);
        }
    }

    // The spawned coroutine starts asynchronously, so frames queued by handlers that are already
    // scheduled are sent in the same write.
    void start_writing() {
        if (m_writing || !m_open) {
            return;
        }
        m_writing = true;
        asio::co_spawn(m_socket.get_executor(), write_queued(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> write_queued(std::shared_ptr<tcp_frame_channel> self) {
        try {
            while (self->m_open && !self->m_queued.empty()) {
                self->m_sending.swap(self->m_queued);
                const auto buffer = asio::buffer(self->m_sending);
                co_await asio::async_write(self->m_socket, buffer, asio::use_awaitable);
                self->m_sending.clear();
            }
        } catch (const std::exception& failure) {
            self->close_with_reason(failure.what());
        }
        self->m_writing = false;
        if (self->m_closing) {
            self->close_with_reason("closed by this side");
        }
    }

    void close_with_reason(const std::string& reason) noexcept {
        if (!m_open) {
            return;
        }
        m_open = false;
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        if (const auto handler = m_handler.lock()) {
            handler->on_closed(reason);
        }
    }

    tcp::socket m_socket;
    std::weak_ptr<frame_handler> m_handler;
    frame_buffer m_input;
    std::string m_queued;
    std::string m_sending;
    bool m_writing = false;
    bool m_closing = false;
    bool m_open = true;
};

} // namespace

std::shared_ptr<frame_channel> make_tcp_frame_channel(tcp::socket socket) {
    return std::make_shared<tcp_frame_channel>(std::move(socket));
}

} // namespace oriole::links
