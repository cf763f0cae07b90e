#include "machines/types/resource_bounds.h"

#include <algorithm>

namespace oriole::machines {
namespace {

// Three eighths of the memory are for the process itself and for what the kernel keeps in sockets.
constexpr std::size_t held_memory_divisor = 4;
constexpr std::size_t statement_memory_divisor = 4;
constexpr std::size_t answer_memory_divisor = 8;
/// Descriptors that the platform sets aside for files.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t min_sockets = 32;
/// Two values of the maximum length of a message.
constexpr std::size_t min_session_value_bytes = std::size_t{2} << 20U;

} // namespace

resource_bounds::resource_bounds(const process_limits& limits)
    : m_memory_bytes(limits.memory_bytes),
      m_held_bytes(limits.memory_bytes / held_memory_divisor),
      m_sockets(std::max(limits.descriptors, file_descriptors + min_sockets) - file_descriptors) {}

std::size_t resource_bounds::running_bytes(running_kind kind) const noexcept {
    return m_memory_bytes /
           (kind == running_kind::statement ? statement_memory_divisor : answer_memory_divisor);
}

std::size_t resource_bounds::session_value_bytes() const noexcept {
    return std::max(client_running_bytes(running_kind::statement) / statement_copies,
                    min_session_value_bytes);
}

std::size_t resource_bounds::connections(client_port port) const noexcept {
    switch (port) {
    case client_port::callers:
        return m_sockets / 2;
    case client_port::peers:
        return m_sockets / 8;
    case client_port::gateway:
        // An instance has a connection for each statement that it forwards at the same time.
        return m_sockets / 4;
    case client_port::admin:
        return m_sockets / 32;
    }
    return 0;
}

std::size_t resource_bounds::unauthenticated(client_port port) const noexcept {
    return connections(port) / 4;
}

} // namespace oriole::machines
