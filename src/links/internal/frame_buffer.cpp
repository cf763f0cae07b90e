#include "links/frame_buffer.h"

#include <cstring>

namespace oriole::links {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_per_byte = 8;

/// Small enough to keep idle connections cheap in memory, large enough to read hundreds of
/// pipelined requests at once.
constexpr std::size_t read_size = std::size_t{16} << 10U;

std::size_t read_length(const char* bytes) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

} // namespace

std::span<char> frame_buffer::prepare() {
    if (m_begin > 0) {
        std::memmove(m_bytes.data(), m_bytes.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_begin = 0;
    }
    if (m_bytes.size() - m_end < read_size) {
        m_bytes.resize(m_bytes.empty() ? read_size : m_bytes.size() * 2);
    }
    return {m_bytes.data() + m_end, m_bytes.size() - m_end};
}

std::optional<std::span<const char>> frame_buffer::next() {
    if (m_end - m_begin < length_bytes) {
        return std::nullopt;
    }
    const std::size_t length = read_length(m_bytes.data() + m_begin);
    if (length == 0 || length > max_backend_message_bytes) {
        throw decode_error("frame length " + std::to_string(length) + " is not between 1 and " +
                           std::to_string(max_backend_message_bytes) + " bytes");
    }
    if (m_end - m_begin - length_bytes < length) {
        return std::nullopt;
    }
    const std::span<const char> frame(m_bytes.data() + m_begin + length_bytes, length);
    m_begin += length_bytes + length;
    return frame;
}

void append_frame(std::string& out, std::string_view payload) {
    const std::size_t length = payload.size();
    for (std::size_t i = length_bytes; i > 0; --i) {
        out.push_back(static_cast<char>(length >> ((i - 1) * bits_per_byte)));
    }
    out.append(payload);
}

} // namespace oriole::links
