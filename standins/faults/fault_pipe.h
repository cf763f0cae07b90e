#pragma once

#include "base/clock.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace oriole::standins {

/// The faults applied to one chunk of a stream.
struct chunk_faults {
    clock::duration delay{0};
    bool drop = false;
    std::optional<std::size_t> close_after_bytes; ///< bytes of this chunk after which to close

    friend bool operator==(const chunk_faults&, const chunk_faults&) = default;
};

/// Forwards one direction of a proxied connection. Reads and writes run as separate coroutines, so
/// that a delay does not reduce the throughput. Precondition: the sockets outlive both coroutines.
class fault_pipe {
public:
    /// Chooses the faults of a chunk of `bytes` bytes.
    using fault_chooser = std::function<chunk_faults(std::size_t bytes)>;

    fault_pipe(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to,
               fault_chooser choose_faults);

    /// Reads chunks from the source socket until it is closed or a fault closes the stream. Does
    /// not throw.
    boost::asio::awaitable<void> read();

    /// Writes each chunk when it is due, and closes both sockets after the last one. Does not
    /// throw.
    boost::asio::awaitable<void> write();

private:
    struct chunk {
        std::string bytes;
        clock::time_point due;
        bool last = false; ///< the stream is closed after this chunk
    };

    void add_chunk(chunk next);

    boost::asio::ip::tcp::socket& m_from;
    boost::asio::ip::tcp::socket& m_to;
    fault_chooser m_choose_faults;
    std::deque<chunk> m_chunks;
    boost::asio::steady_timer m_chunk_available;
    clock::time_point m_last_due;
};

} // namespace oriole::standins
