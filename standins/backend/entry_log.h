#pragma once

#include "links/types/backend_messages.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace oriole::standins {

using links::log_entry;
using links::log_position;

/// The replication log of one backend server, with an index of request ids. Not thread-safe.
class entry_log {
public:
    /// Position of the last entry; (0, 0) when the log is empty.
    [[nodiscard]] log_position last_position() const;

    [[nodiscard]] bool contains(log_position position) const;

    /// Whether an entry at `position`, which the log does not contain, can still be received
    /// without first truncating entries of a higher term.
    [[nodiscard]] bool may_receive(log_position position) const;

    /// Precondition: 1 <= offset <= last_position().offset().
    [[nodiscard]] const log_entry& at(std::uint64_t offset) const { return m_entries[offset - 1]; }

    /// Null when no entry has this request id.
    [[nodiscard]] const log_entry* find_request(const std::string& request_id) const;

    /// The last position whose term is at most `term`.
    [[nodiscard]] log_position last_position_up_to_term(std::uint64_t term) const;

    /// Precondition: the entry's offset follows the last one, and its term is not lower.
    void append(log_entry entry);

    /// Removes all entries after `offset`.
    void truncate(std::uint64_t offset);

private:
    std::deque<log_entry> m_entries; ///< offset n is at index n - 1
    std::unordered_map<std::string, std::uint64_t> m_offset_by_request;
};

} // namespace oriole::standins
