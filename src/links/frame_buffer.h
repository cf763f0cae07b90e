#pragma once

#include "links/backend_codec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oriole::links {

/// Splits a byte stream into frames: a 4-byte big-endian length, then that many bytes. Does no I/O.
/// Not thread-safe.
class frame_buffer {
public:
    /// Free space for the next bytes of the stream. Invalidates spans returned by next().
    [[nodiscard]] std::span<char> prepare();

    /// Appends the first `size` bytes of the space returned by prepare() to the stream.
    void commit(std::size_t size) noexcept { m_end += size; }

    /// The content of the next complete frame, valid until the next prepare(); nullopt when no
    /// complete frame has arrived. Throws decode_error when the length is zero or above
    /// max_backend_message_bytes.
    [[nodiscard]] std::optional<std::span<const char>> next();

    /// Whether the bytes received so far end inside a frame.
    [[nodiscard]] bool partial() const noexcept { return m_begin != m_end; }

private:
    std::vector<char> m_bytes;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

/// Appends `payload` as one frame to `out`. Precondition: `payload` is not empty and not larger
/// than max_backend_message_bytes.
void append_frame(std::string& out, std::string_view payload);

} // namespace oriole::links
