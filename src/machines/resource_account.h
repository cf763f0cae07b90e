#pragma once

#include "machines/types/resource_bounds.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriole::machines {

/// Why a client was closed or refused.
enum class refusal_reason {
    held_memory,        ///< its connection keeps more than its part
    running_memory,     ///< no memory for the copies of its statement
    connections,        ///< the port has as many connections as it allows
    session_values,     ///< its session has values that are too long together
    message_too_long,   ///< a message is longer than the maximum
    unfinished_message, ///< it did not send the rest of a message in time
    unread_answer       ///< it did not read an answer in time
};

inline constexpr std::size_t refusal_reason_count = 7;

[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

[[nodiscard]] std::string_view to_string(client_port port) noexcept;

/// How many clients were closed or refused at one port for one reason.
struct refusal_count {
    client_port port = client_port::callers;
    refusal_reason reason = refusal_reason::held_memory;
    std::uint64_t count = 0;

    friend bool operator==(const refusal_count&, const refusal_count&) = default;
};

/// What a connection keeps in memory.
enum class held_part {
    input,   ///< of a message that is being received
    unread,  ///< input that waits in the socket
    session, ///< values and prepared statements
    answer   ///< that the client has yet to read
};

inline constexpr std::size_t held_part_count = 4;

/// A connection that the account can close.
class resource_holder {
public:
    virtual ~resource_holder() = default;

    /// Closes the connection soon. Called on the thread of any holder, without a lock.
    virtual void close_for(refusal_reason reason) = 0;
};

class resource_account;

/// The resources of one connection, for as long as it exists. Thread-safe.
class resource_holding {
public:
    /// Use resource_account::open().
    resource_holding(std::shared_ptr<resource_account> account, client_port port, std::uint64_t id);
    ~resource_holding();

    resource_holding(const resource_holding&) = delete;
    resource_holding& operator=(const resource_holding&) = delete;

    /// Records that the client has proved who it is. Connections of the same client share a part of
    /// each bound.
    void authenticate(const std::string& client);

    /// Records that the connection keeps `bytes` for this part. Closes other connections when the
    /// bound is reached; returns false when this one has to be closed.
    [[nodiscard]] bool hold(held_part part, std::size_t bytes);

    /// Counts a refusal that the account did not decide.
    void count_refusal(refusal_reason reason);

private:
    std::shared_ptr<resource_account> m_account;
    client_port m_port;
    std::uint64_t m_id;
};

/// Memory for the copies of one large statement or answer, until it ends. Thread-safe.
class running_memory {
public:
    /// Use resource_account::try_run().
    running_memory(std::shared_ptr<resource_account> account, running_kind kind, std::string client,
                   std::size_t bytes);
    ~running_memory();

    running_memory(const running_memory&) = delete;
    running_memory& operator=(const running_memory&) = delete;

private:
    std::shared_ptr<resource_account> m_account;
    running_kind m_kind;
    std::string m_client;
    std::size_t m_bytes;
};

/// Counts what the clients of the process hold, and decides who is closed when a bound is reached.
/// Only clients that hold more than an equal part of it are closed, so that one that makes the
/// process reach its bound cannot make it close the others. Of these, unauthenticated connections
/// go first, then those with an unfinished message, then those of the client that holds most, and
/// of that client the largest. Thread-safe.
class resource_account : public std::enable_shared_from_this<resource_account> {
public:
    explicit resource_account(const resource_bounds& bounds) : m_bounds(bounds) {}

    /// Opens the holding of a new connection. When the port has as many connections as it allows,
    /// closes another one: the oldest unauthenticated if there are too many of these, otherwise,
    /// at the port for callers, the newest of the client that has most. When there is none to
    /// close, returns nullptr, and the new connection has to be closed.
    [[nodiscard]] std::unique_ptr<resource_holding> open(client_port port,
                                                         std::weak_ptr<resource_holder> holder);

    /// Reserves memory for a statement of the client or for its answer; nullptr when there is none.
    /// One client gets at most half of what there is. What needs more than that gets all of it, so
    /// that a single large statement is always served.
    [[nodiscard]] std::unique_ptr<running_memory>
    try_run(running_kind kind, const std::string& client, std::size_t bytes);

    /// The refusals since the process started, of each port and reason that had any.
    [[nodiscard]] std::vector<refusal_count> refusals() const;

    [[nodiscard]] const resource_bounds& bounds() const noexcept { return m_bounds; }

    /// Bytes that the clients hold now.
    [[nodiscard]] std::size_t held_bytes() const;

    /// Bytes that are reserved for statements and answers now.
    [[nodiscard]] std::size_t running_bytes() const;

    /// Connections to the port now.
    [[nodiscard]] std::size_t connections(client_port port) const;

private:
    friend class resource_holding;
    friend class running_memory;

    /// Unauthenticated connections have no client, and share one part of each bound.
    using client_name = std::optional<std::string>;

    struct connection {
        client_port port = client_port::callers;
        client_name client;
        std::array<std::size_t, held_part_count> parts{};
        std::weak_ptr<resource_holder> holder;

        [[nodiscard]] std::size_t bytes() const noexcept;
    };

    /// Reserved bytes of one kind.
    struct running_total {
        std::size_t bytes = 0;
        std::map<std::string, std::size_t> by_client;
    };

    /// In the sequence in which they were opened.
    using connection_map = std::map<std::uint64_t, connection>;
    using holder_list = std::vector<std::weak_ptr<resource_holder>>;

    void authenticate(std::uint64_t id, const std::string& client);
    [[nodiscard]] bool hold(std::uint64_t id, held_part part, std::size_t bytes);
    void close(std::uint64_t id);
    void count_refusal(client_port port, refusal_reason reason);
    void end_run(running_kind kind, const std::string& client, std::size_t bytes);

    /// Stops counting connections until the held bytes are within the bound.
    [[nodiscard]] holder_list release_held();
    [[nodiscard]] connection_map::iterator largest_above_part();
    [[nodiscard]] bool is_full(client_port port) const;
    /// Stops counting one connection if the port has as many as it allows.
    [[nodiscard]] holder_list make_room(client_port port);
    [[nodiscard]] connection_map::iterator connection_to_replace(client_port port);
    /// Counts the refusal. Precondition: the mutex is locked.
    void add_refusal(client_port port, refusal_reason reason);
    void forget(connection_map::iterator position);

    const resource_bounds m_bounds;
    mutable std::mutex m_mutex;
    std::uint64_t m_last_id = 0;
    connection_map m_connections;
    std::array<std::size_t, client_port_count> m_open{}; ///< connections of each port
    std::size_t m_held = 0;
    std::map<client_name, std::size_t> m_held_by_client;
    std::array<running_total, running_kind_count> m_running;
    std::array<std::array<std::uint64_t, refusal_reason_count>, client_port_count> m_refusals{};
};

} // namespace oriole::machines
