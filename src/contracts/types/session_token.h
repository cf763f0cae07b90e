#pragma once

#include "base/types/name.h"
#include "machines/types/log_position.h"

#include <map>
#include <optional>
#include <utility>

namespace oriole::contracts {

/// Log position of a session's last confirmed write in each database. The caller passes the token
/// to each instance it uses, so that reads see the session's own writes. Immutable.
class session_token {
public:
    session_token() = default;

    explicit session_token(std::map<database_name, machines::log_position> positions)
        : m_positions(std::move(positions)) {}

    [[nodiscard]] const std::map<database_name, machines::log_position>&
    positions() const noexcept {
        return m_positions;
    }

    /// Log position that a read of `database` must include; none when the session has not written
    /// to it.
    [[nodiscard]] std::optional<machines::log_position>
    position(const database_name& database) const {
        const auto found = m_positions.find(database);
        if (found == m_positions.end()) {
            return std::nullopt;
        }
        return found->second;
    }

    /// Returns a token that also includes the write at `written`. An older position does not
    /// replace a newer one.
    [[nodiscard]] session_token with(const database_name& database,
                                     machines::log_position written) const {
        session_token next = *this;
        auto& slot = next.m_positions[database];
        if (slot < written) {
            slot = written;
        }
        return next;
    }

    friend bool operator==(const session_token&, const session_token&) = default;

private:
    std::map<database_name, machines::log_position> m_positions;
};

} // namespace oriole::contracts
