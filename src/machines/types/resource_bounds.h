#pragma once

#include "machines/types/process_limits.h"

#include <compare>
#include <cstddef>

namespace oriole::machines {

/// A port of the process to which clients connect.
enum class client_port { callers, peers, gateway, admin };

inline constexpr std::size_t client_port_count = 4;

/// What is copied while it is passed on.
enum class running_kind {
    statement, ///< with the values of its session
    answer     ///< while it is received from a backend server
};

inline constexpr std::size_t running_kind_count = 2;

/// Copies of a statement and of its session's values that exist at the same time while it runs: as
/// read, decoded, forwarded in encoded form, and in the buffers of connections.
inline constexpr std::size_t statement_copies = 12;

/// Most of each resource that the clients of a process may hold together. Immutable.
class resource_bounds {
public:
    /// Divides the limits of the process. What is left is for the process itself: its
    /// configuration, allocator, and connections to backend servers, store and other instances.
    explicit resource_bounds(const process_limits& limits);

    /// Bytes of received input, session state and answers that are kept for clients.
    [[nodiscard]] std::size_t held_bytes() const noexcept { return m_held_bytes; }

    /// Bytes of the copies that are made of large statements, or of large answers.
    [[nodiscard]] std::size_t running_bytes(running_kind kind) const noexcept;

    /// The part of running_bytes() that one client gets at most.
    [[nodiscard]] std::size_t client_running_bytes(running_kind kind) const noexcept {
        return running_bytes(kind) / 2;
    }

    /// Bytes of the values of one session. They are copied with each statement.
    [[nodiscard]] std::size_t session_value_bytes() const noexcept;

    /// Connections to the port.
    [[nodiscard]] std::size_t connections(client_port port) const noexcept;

    /// Connections to the port whose clients have not been authenticated, when there are as many
    /// connections as it allows.
    [[nodiscard]] std::size_t unauthenticated(client_port port) const noexcept;

    friend auto operator<=>(const resource_bounds&, const resource_bounds&) = default;

private:
    std::size_t m_memory_bytes;
    std::size_t m_held_bytes;
    std::size_t m_sockets;
};

} // namespace oriole::machines
