#include "base/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace oriole {
namespace {

/// Maximum size of the buffer in bytes. With a flush every 200 ms, this allows a rate of 5 MB/s.
constexpr std::size_t buffer_limit = std::size_t{1} << 20U;

void append_time(std::string& out) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::array<char, 32> text{};
    const int size =
        std::snprintf(text.data(), text.size(), "time=%lld.%03lld ",
                      static_cast<long long>(millis / 1000), static_cast<long long>(millis % 1000));
    out.append(text.data(), static_cast<std::size_t>(size));
}

class buffered_decision_log final : public decision_log {
public:
    explicit buffered_decision_log(int descriptor) : m_descriptor(descriptor) {
        const int flags = ::fcntl(descriptor, F_GETFL);
        if (flags != -1) {
            ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
        }
    }

    ~buffered_decision_log() override { flush_buffer(); }

    buffered_decision_log(const buffered_decision_log&) = delete;
    buffered_decision_log& operator=(const buffered_decision_log&) = delete;

    void write(const log_entry& entry) override {
        const std::lock_guard lock(m_mutex);
        if (m_buffer.size() + entry.text().size() > buffer_limit) {
            ++m_dropped;
            return;
        }
        append_time(m_buffer);
        m_buffer.append(entry.text()).append(1, '\n');
    }

    void flush() override { flush_buffer(); }

    std::uint64_t dropped() const override {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

private:
    void flush_buffer() {
        const std::lock_guard lock(m_mutex);
        std::size_t written = 0;
        while (written < m_buffer.size()) {
            const auto size =
                ::write(m_descriptor, m_buffer.data() + written, m_buffer.size() - written);
            if (size < 0 && errno == EINTR) {
                continue;
            }
            if (size <= 0) {
                // The reader is slow or has closed its end. Unwritten lines stay buffered;
                // new lines that do not fit are dropped.
                break;
            }
            written += static_cast<std::size_t>(size);
        }
        m_buffer.erase(0, written);
    }

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace

std::unique_ptr<decision_log> make_decision_log(int descriptor) {
    return std::make_unique<buffered_decision_log>(descriptor);
}

} // namespace oriole
