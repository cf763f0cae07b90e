#include "faults/fault_pipe.h"

#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <array>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t max_chunk_bytes = std::size_t{64} * 1024;

} // namespace

fault_pipe::fault_pipe(tcp::socket& from, tcp::socket& to, fault_chooser choose_faults)
    : m_from(from),
      m_to(to),
      m_choose_faults(std::move(choose_faults)),
      m_chunk_available(from.get_executor(), clock::time_point::max()) {}

asio::awaitable<void> fault_pipe::read() {
    std::array<char, max_chunk_bytes> buffer{};
    bool open = true;
    while (open) {
        error_code failed;
        const std::size_t size = co_await m_from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(use_awaitable, failed));
        const chunk_faults faults = m_choose_faults(size);
        const auto due = std::max(m_last_due, steady_clock().now() + faults.delay);
        m_last_due = due;
        open = !failed && !faults.close_after_bytes;
        const std::size_t forwarded_bytes =
            faults.drop ? 0 : std::min(size, faults.close_after_bytes.value_or(size));
        add_chunk({std::string(buffer.data(), forwarded_bytes), due, !open});
    }
}

asio::awaitable<void> fault_pipe::write() {
    while (true) {
        error_code failed;
        if (m_chunks.empty()) {
            co_await m_chunk_available.async_wait(asio::redirect_error(use_awaitable, failed));
            continue;
        }
        const chunk next = std::move(m_chunks.front());
        m_chunks.pop_front();
        asio::steady_timer delay(m_from.get_executor(), next.due);
        co_await delay.async_wait(use_awaitable);
        co_await asio::async_write(m_to, asio::buffer(next.bytes),
                                   asio::redirect_error(use_awaitable, failed));
        if (failed || next.last) {
            m_from.close(failed);
            m_to.close(failed);
            co_return;
        }
    }
}

void fault_pipe::add_chunk(chunk next) {
    m_chunks.push_back(std::move(next));
    m_chunk_available.cancel();
}

} // namespace oriole::standins
