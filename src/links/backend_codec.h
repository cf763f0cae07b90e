#pragma once

#include "base/errors.h"
#include "links/types/backend_messages.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>

namespace oriole::links {

/// A received frame, message or stored text cannot be decoded. A connection that delivered such a
/// frame or message is closed.
class decode_error : public error {
public:
    using error::error;
};

/// Largest backend message that is sent or accepted, in bytes.
inline constexpr std::size_t max_backend_message_bytes = std::size_t{1} << 20U;

/// Encodes and decodes backend messages, without the length prefix of their frame. Thread-safe.
class backend_codec {
public:
    virtual ~backend_codec() = default;

    [[nodiscard]] virtual std::string encode(const backend_request& request) const = 0;
    [[nodiscard]] virtual std::string encode(const backend_answer& answer) const = 0;

    /// Throws decode_error.
    [[nodiscard]] virtual backend_request decode_request(std::span<const char> bytes) const = 0;

    /// Throws decode_error.
    [[nodiscard]] virtual backend_answer decode_answer(std::span<const char> bytes) const = 0;
};

[[nodiscard]] std::unique_ptr<backend_codec> make_msgpack_backend_codec();

} // namespace oriole::links
