#pragma once

#include "base/types/name.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace oriole::machines {

/// A database as configured by operators: a group of backend servers, one of which is the primary.
/// Immutable.
class database {
public:
    class builder;

    [[nodiscard]] const database_name& name() const noexcept { return m_name; }

    [[nodiscard]] const std::vector<server_name>& servers() const noexcept { return m_servers; }

    /// Limit on the statement connections of all instances together to all servers of the database.
    [[nodiscard]] std::uint32_t connections() const noexcept { return m_connections; }

    /// Time that it takes to open a statement connection.
    [[nodiscard]] std::chrono::milliseconds connect_time() const noexcept { return m_connect_time; }

    /// The number of servers that must accept a new term (fencing) or confirm a write.
    [[nodiscard]] std::size_t majority() const noexcept { return m_servers.size() / 2 + 1; }

    friend auto operator<=>(const database&, const database&) = default;

private:
    database() = default;

    database_name m_name;
    std::vector<server_name> m_servers;
    std::uint32_t m_connections = 0;
    std::chrono::milliseconds m_connect_time{0};
};

/// Builds a database. Not thread-safe.
class database::builder {
public:
    builder& name(database_name value) {
        m_value.m_name = std::move(value);
        return *this;
    }

    builder& servers(std::vector<server_name> value) {
        m_value.m_servers = std::move(value);
        return *this;
    }

    builder& connections(std::uint32_t value) {
        m_value.m_connections = value;
        return *this;
    }

    builder& connect_time(std::chrono::milliseconds value) {
        m_value.m_connect_time = value;
        return *this;
    }

    /// Precondition: name and at least one server have been set.
    [[nodiscard]] database build() const { return m_value; }

private:
    database m_value;
};

} // namespace oriole::machines
